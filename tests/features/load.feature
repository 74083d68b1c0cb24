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

  Scenario: Renewed approvals do not raise the expected approval rate
    Given a cell of 60 targets whose advisor approves 3 of 10
    When 12 gangs of 20 tasks that fill a third of a target are submitted at once
    And all of them have ended
    Then it expects the advisor to approve between 2 and 4 of 10 targets

  Scenario: Relative speeds are learned from tasks of the same step
    Given a cell of 60 targets of which every fourth is slow
    When jobs whose estimates are far off run for 20 seconds
    Then the slow targets are distinguished from the fast ones

  Scenario: The heaviest load of Latas Vivas, seed 2
    When the load "latas-grown" is replayed for 14 s from seed 2
    Then "ok" jobs are in time in at least 95 of 100 cases
    And the worth earned is at least 0.71 of the worth owed
