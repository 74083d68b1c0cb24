Feature: What must always hold, under failure

  Scenario Outline: Histories stay sound while <what>
    Given a relayed cell of santander and oviedo with 3 targets each
    When mixed work is submitted for 10 s, seed <seed>, while <what>
    Then the history breaks no promise, by callers and targets
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

  Scenario: Answers are whole though connections break
    Given a cell of santander with 2 targets
    When 40 answers of up to 2000000 bytes are asked for while connections break
    Then every answer is whole and its own

  Scenario: A leaving target gets nothing new after 3 s
    Given a cell of santander with 2 targets
    When a target says that it leaves, under load for 6 s
    Then it started nothing from 3 s on, and all was answered

  Scenario: A drained target gets nothing new after 3 s
    Given a cell of santander with 2 targets
    When a target is drained by an operator, under load for 6 s
    Then it started nothing from 3 s on, and all was answered

  Scenario Outline: A graceful stop of <kind> cuts no request
    Given a cell of santander and oviedo with 2 targets
    When <kind> is stopped gracefully, under load for 6 s
    Then no request was cut, and it ended with status 0

    Examples:
      | kind                  |
      | an entry              |
      | the leading scheduler |

  Scenario: A second host is lost right after a repair
    Given a cell of santander and oviedo without disks, with 2 targets
    When 20 requests that are not repeatable are answered
    And a host of santander loses its memory, and is repaired
    And the other host of santander loses its memory, and is repaired
    Then a resend of each gets the same answer, and nothing ran twice

  Scenario: The history checker objects to bad histories
    Then each bad history is objected to, and a good one is not
