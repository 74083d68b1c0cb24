Feature: A short soak test of a cell's processes

  Scenario: Faults, planned work and a loss of power violate no guarantee, seed 1
    When the soak test runs for 8 seconds from seed 1
    Then no guarantee was violated

  Scenario: Faults, planned work and a lost disk violate no guarantee, seed 2
    When the soak test runs for 8 seconds from seed 2
    Then no guarantee was violated
