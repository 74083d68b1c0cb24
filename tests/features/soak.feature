Feature: A short soak of a cell's processes

  Scenario: Signals and silent workers break no promise, seed 1
    When the processes are soaked for 8 seconds from seed 1
    Then nothing was broken
