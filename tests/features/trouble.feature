Feature: Partitions, failing targets, cancellations, deadlines and quotas

  Scenario: A failure domain that is cut off serves its own requests
    Given a relayed cell of santander and oviedo with 2 targets each
    When oviedo is cut off
    Then a request without an id is answered at oviedo, by its own targets
    And one whose home is santander gets code 501 there, and does not run
    And santander answers requests too
    When the network is restored
    Then the request whose home is santander is answered through oviedo

  Scenario: A target whose tasks all fail is quarantined
    Given a cell of santander with 2 targets
    When every task fails on one target, and 60 repeatable requests are submitted
    Then all of them are answered
    And that target is quarantined after at most 12 failures

  Scenario: A job that fails on every target ends with a failure code
    Given a cell of santander with 2 targets
    When a repeatable job that always fails is submitted
    Then it ends with a code of the failed class, after at most 3 starts

  Scenario: A failed job that is not repeatable is not retried
    Given a cell of santander with 2 targets
    When a job that always fails and is not repeatable is submitted
    Then it ends with code 401, after at most 1 starts

  Scenario: 1000 jobs are cancelled in one call
    Given a cell of santander with 2 targets
    When 1000 long jobs are submitted, and all are cancelled in one call
    Then every one of them is answered as not run or stopped
    And no job that was answered as not run was started

  Scenario: A deadline that passes in the queue
    Given a cell of santander with 2 targets
    When the cell is full and a request with a deadline of 1 s waits
    Then the waiting request gets code 304, and was not started

  Scenario: A service restarts on another target when its target is killed
    Given a cell of santander with 2 targets
    When a service runs and the process of its target is killed
    Then it runs on another target within 20 s

  Scenario: A quota limits how many tasks of a team run at once
    Given a cell of santander with a quota of 4 slots for patio
    When a job of 40 tasks of patio is run
    Then never more than 4 of them ran at once
