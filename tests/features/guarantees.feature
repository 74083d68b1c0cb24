Feature: Guarantees that hold during failures

  Scenario Outline: The guarantees hold while <what>
    Given a relayed cell of santander and oviedo with 3 targets each
    When mixed work is submitted for 10 s, seed <seed>, while <what>
    Then the history of callers and targets violates no guarantee
    And at least 90 percent of the submissions were answered

    Examples:
      | what                                     | seed |
      | a leading scheduler is killed            | 11   |
      | an entry is killed                       | 12   |
      | a leading scheduler is frozen for 9 s    | 13   |
      | an entry is frozen for 9 s               | 14   |
      | a host is cut off silently               | 15   |
      | oviedo is cut off                        | 16   |
      | a target is frozen for 9 s               | 17   |

  Scenario: Answers are complete although connections break
    Given a cell of santander with 2 targets
    When 40 answers of up to 2000000 bytes are requested while connections break
    Then every answer is complete and belongs to its request

  Scenario: A leaving target starts no task after 3 s
    Given a cell of santander with 2 targets
    When a target starts to leave, under load for 6 s
    Then it starts no task after 3 s, and every request is answered

  Scenario: A drained target starts no task after 3 s
    Given a cell of santander with 2 targets
    When a target is drained by an operator, under load for 6 s
    Then it starts no task after 3 s, and every request is answered

  Scenario Outline: A graceful stop of <kind> interrupts no request
    Given a cell of santander and oviedo with 2 targets
    When <kind> is stopped gracefully, under load for 6 s
    Then no request was interrupted, and it ended with status 0

    Examples:
      | kind                  |
      | an entry              |
      | the leading scheduler |

  Scenario: A second host is lost right after a repair
    Given a cell of santander and oviedo without disks, with 2 targets
    When 20 requests that are not repeatable are answered
    And a host of santander loses all state, and is repaired
    And the other host of santander loses all state, and is repaired
    Then a resend of each gets the same answer, and nothing ran twice

  Scenario: The history checker rejects bad histories
    Then each bad history is rejected, and each good one is accepted
