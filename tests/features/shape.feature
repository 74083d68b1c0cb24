Feature: The shape of the code

  Scenario: Decisions import nothing of I/O, encoding or time
    Then the decision packages import no I/O, encoding or clock

  Scenario: Packages use only each other's public modules
    Then no package imports another's private modules

  Scenario: Only one folder depends on the platform's format
    Then the platform's field names occur in its own folder only

  Scenario: Every data class is frozen
    Then every data class of the product is frozen

  Scenario: One loop on one thread, no child process
    Then the product starts no thread, no second loop and no process

  Scenario: Classes hold state
    Then every class of the product holds state or is an enumeration

  Scenario: Tests are under a third of the code
    Then the tests are under a third of all code
