Feature: The shape of the code

  Scenario: Decisions import nothing of I/O, encoding or time
    Then the decision packages import only what decides

  Scenario: Packages use only each other's public face
    Then no package imports another's private modules

  Scenario: One folder knows the platform
    Then the platform's names stand in its own folder only

  Scenario: Every data class is frozen
    Then every data class of the product is frozen

  Scenario: One loop on one thread, no child process
    Then the product starts no thread, no second loop and no process

  Scenario: Classes hold state
    Then every class of the product holds state or names values

  Scenario: Tests are under a third of the code
    Then the tests are under a third of all code
