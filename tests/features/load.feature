Feature: Queueing and placement under a user's load

  Scenario: A gang on a free cell starts after one round of advice
    Given a cell of 60 targets whose advisor approves 3 of 10
    When a gang of 20 tasks that fill a third of a target is submitted
    Then it has started within 1.5 times the duration of one advisor call about 30 targets

  Scenario: A waiting gang gets approvals for enough targets with one advisor call
    Given a cell of 60 targets whose advisor approves 3 of 10
    And 2 thirds of every target are in use
    When a gang of 20 tasks that fill a third of a target is submitted
    Then after one advisor call it holds approvals for twice the capacity it needs

  Scenario: A waiting gang renews its approvals in time
    Given a cell of 60 targets whose advisor approves 3 of 10
    And 3 thirds of every target are in use
    When a gang of 20 tasks that fill a third of a target is submitted
    And the capacity is freed 6 seconds later
    Then it has started within 1.5 times the duration of one advisor call about 30 targets

  Scenario: A gang keeps its capacity from less urgent work while its tickets are renewed
    Given a cell of 60 targets whose advisor approves 3 of 10
    And 3 thirds of every target are in use
    When a gang of 20 tasks that fill a third of a target is submitted
    And 180 tasks of the same size that are less urgent are submitted
    And the capacity is freed 6 seconds later
    Then it has started within 1.5 times the duration of one advisor call about 30 targets
    And at least 120 of the other tasks have started before it

  Scenario: A gang starts with its second round of advice, although a call outlasts its tickets
    Given a cell of 60 targets whose advisor approves 3 of 10 and is slow
    When 8 gangs are submitted one by one while the leader expects 5 of 10 to be approved
    Then each has started within 2.2 times the duration of one call of the slow advisor

  Scenario: Renewed approvals do not raise the expected approval rate
    Given a cell of 60 targets whose advisor approves 3 of 10
    When 12 gangs of 20 tasks that fill a third of a target are submitted at once
    And all of them have ended
    Then it expects the advisor to approve between 2 and 4 of 10 targets

  Scenario: A gang asks for advice once enough targets have answered a new leader
    Given a cell of 60 targets whose advisor approves 3 of 10
    And only 2 targets have answered
    When a gang of 20 tasks that fill a third of a target is submitted
    And all targets have answered 0.1 seconds later
    Then it has started within 1.5 times the duration of one advisor call about 30 targets

  Scenario: A new leader makes no long call about the few targets that answered first
    Given a cell of 60 targets whose advisor approves 3 of 10
    And only 12 targets have answered the leader, which was elected just now
    When a gang of 20 tasks that fill a third of a target is submitted
    And all targets have answered 0.1 seconds later
    Then it has started within 1.5 times the duration of one advisor call about 30 targets

  Scenario: Gangs of a queue that come at the same time do not compete for the same targets
    Given a cell of 60 targets whose advisor approves 3 of 10 and is slow
    When 3 gangs of 20 tasks that fill a third of a target are submitted at once
    Then all have started within 2.2 times the duration of one call of the slow advisor

  Scenario Outline: No step stands still for 3 s beside free capacity, load <load>, seed <seed>
    When the load "<load>" is replayed for 8 s from seed <seed> and watched
    Then no step stood still for 3 s in a cell that is mostly free

    Examples:
      | load           | seed |
      | obrapase-grown | 3    |
      | obrapase-grown | 4    |
      | latas-grown    | 2    |
      | latas-grown    | 4    |

  Scenario: Relative speeds are learned from tasks of the same step
    Given a cell of 60 targets of which every fourth is slow
    When jobs whose estimates are far off run for 20 seconds
    Then the slow targets are distinguished from the fast ones

  Scenario: Relative speeds are learned within 5 s, from progress too, whatever the estimates
    Given a cell of 60 targets of which every fourth is slow
    When jobs whose estimates are far off run for 5 seconds
    Then the slow targets are distinguished from the fast ones
    And after 300 seconds without runs all are expected to be equally fast

  Scenario: A gang starts on slow targets rather than waiting for fast ones
    Given a cell of 60 targets of which every fourth is known to be slow
    And 3 thirds of every target are in use, but the slow ones have become free
    When a gang of 20 tasks that fill a third of a target is submitted
    Then after 3 seconds 20 of its tasks run on slow targets, and 0 on fast ones

  Scenario Outline: Slow targets are used last, but are not idle while delay-tolerant work waits, <count> tasks
    Given a cell of 60 targets of which every fourth is known to be slow
    When <count> tasks of the same size that are less urgent are submitted
    Then after 1 seconds <slow> of its tasks run on slow targets, and <fast> on fast ones

    Examples:
      | count | slow | fast |
      | 120   | 0    | 120  |
      | 190   | 45   | 135  |

  Scenario: A target that has returned gets few tasks at first, and more after one has ended
    Given a cell of 60 targets whose advisor approves 3 of 10
    When 1 targets answer again after a silence of 5 s
    And 190 tasks of the same size that are less urgent are submitted
    Then after 1 seconds the target runs 2 tasks, and 3 after one of them has ended

  Scenario: Targets that return all at the same time are used at once
    Given a cell of 60 targets whose advisor approves 3 of 10
    When 60 targets answer again after a silence of 5 s
    And 190 tasks of the same size that are less urgent are submitted
    Then after 1 seconds the target runs 3 tasks, and 3 after one of them has ended

  Scenario: The heaviest load of Latas Vivas, seed 2
    When the load "latas-grown" is replayed for 14 s from seed 2
    Then "ok" jobs are in time in at least 95 of 100 cases
    And the worth earned is at least 0.71 of the worth owed

  Scenario: In a burst of gangs the leader sends no call to the advisor that its caller gives up
    Given a cell of 60 targets whose advisor approves 3 of 10 and is slow
    And jobs are accepted however late the advisor answers
    And callers that wait 2 s for a call's turn
    When 60 gangs of 2 tasks that fill a third of a target are submitted at once
    And 12 seconds pass
    Then no call to the advisor was given up

  Scenario Outline: Gangs that the advisor has no time for are refused, and accepted ones do not stand still, seed <seed>
    When the load "slow-advice" is replayed for 8 s from seed <seed> and watched
    Then no step stood still for 3 s in a cell that is mostly free
    And at least 9 "slow" jobs were accepted, and the others refused at once with code 303
    And all "quick" jobs were accepted

    Examples:
      | seed |
      | 1    |
      | 3    |

  Scenario: Gangs that a customer's limit holds leave the advisor to others
    Given a cell of 60 targets whose advisor is slow, and a customer that may run one gang at a time
    When the customer submits 40 gangs one by one, and another customer one
    Then all of them were accepted
    And the advisor was asked about 2 of them

  Scenario: Without the refusals gangs stand still for more than 3 s
    Given jobs are accepted however late the advisor answers
    When the load "slow-advice" is replayed for 8 s from seed 1 and watched
    Then at least 10 steps stood still for 3 s

  Scenario: Refused gangs are told to return one after the other
    Given a cell of 60 targets whose advisor approves 3 of 10 and is slow
    When 30 gangs of 2 tasks that fill a third of a target are submitted at once
    Then the times to return of those refused rise to between 3 and 10 s
    And of those that return then, at least half are accepted
