Feature: A short soak test of a cell's processes

  Scenario: Signals and unresponsive workers violate no guarantee, seed 1
    When the soak test runs for 8 seconds from seed 1
    Then no guarantee was violated
