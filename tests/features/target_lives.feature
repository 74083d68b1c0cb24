Feature: What was meant for one life of a target or entry does not count for the next

  A domain leader with a simulated clock; a target as in standins/_runs.py.

  Scenario Outline: An announcement of another incarnation ends no attempt of a sound target, <case>
    Given a repeatable task that runs on a restarted target, and another target
    When an announcement of another incarnation comes, <case>
    Then the task goes on, and the target keeps its lease

    Examples:
      | case                                      |
      | late                                      |
      | late, after a change of the leader        |
      | late, of one that was never seen          |
      | each second, from another host            |

  Scenario Outline: A target that is cut off runs on while another one has its name, <case>
    Given a repeatable task that runs on a restarted target, and another target
    When the target is cut off, and another host announces its name, <case>
    Then the task is ordered again, but not before the lease of the first run has ended

    Examples:
      | case                             |
      | under one leader                 |
      | and the leader changes           |

  Scenario Outline: A restarted target runs nothing that was ordered from the one before, <kind>
    Given a <kind> task that runs on a restarted target, and another target
    When the target restarts once more
    Then it refuses the order of before, and is listed again within 12 s
    And the task has <orders> further order

    Examples:
      | kind           | orders |
      | repeatable     | 1      |
      | not repeatable | 0      |

  Scenario: A drained target that restarts with work stays drained
    Given a repeatable task that runs on a restarted target, and another target
    When the target is drained, and restarts once more
    Then it is listed again within 12 s, and is drained

  Scenario: A lease is renewed by acknowledgements of its own incarnation only
    When an acknowledgement for the incarnation before reaches the entry
    Then the announcement of the next incarnation stays unanswered

  Scenario Outline: A restarted entry does not know what it sent before, <case>
    Given a not repeatable task that runs on a restarted target, and another target
    When the entry reconnects <case>, and reports the order as not sent
    Then the task has 0 further order

    Examples:
      | case                                    |
      | after its link was lost                 |
      | before its lost link was noticed        |
      | after its link was lost, without the job |

  Scenario: The end of an entry's earlier link is not that of its new one
    When an entry connects anew to a scheduler before its earlier link ends
    Then it is connected until its new link ends
