Feature: The product from end to end

  Scenario: The demo gets every expected outcome
    When the demo is run
    Then it ends with status 0 and leaves no process behind

  Scenario: The single binary runs and starts no child process
    When the binary is built and runs a scheduler
    Then it has one thread and no child process
    And it logs a dump on SIGUSR1, and stops with status 0 on SIGTERM
