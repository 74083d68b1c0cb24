Feature: The product from end to end

  Scenario: The demo ends with every outcome right
    When the demo is run
    Then it ends with status 0 and leaves no process behind

  Scenario: The one binary runs and starts no child process
    When the binary is built and runs a scheduler
    Then it has one thread and no child process
    And it answers a signal with a dump, and stops when told to
