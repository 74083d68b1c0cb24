Feature: A full cell delays and refuses what costs its callers least

  Scenario: Urgent work that is a little late starts before patient work
    Given a cell of 60 targets that are full, with an urgent and a patient queue
    When an urgent job waits until it is 1 s late, and 180 patient tasks are submitted
    And room for 3 tasks is freed on target 7
    Then the urgent job has started within 0.1 s

  Scenario: Urgent work starts on whichever target room is freed
    Given a cell of 60 targets that are full, with an urgent and a patient queue
    When an urgent job has waited for 0.12 s
    And room for 3 tasks is freed on target 50
    Then the urgent job has started within 0.04 s

  Scenario: A job that cannot end in time is refused at once, and most that return when told are accepted
    Given a cell of 60 targets that are full, with an urgent and a patient queue
    When 16 jobs are submitted that each need the whole cell for 2 s
    Then the first are accepted, and the others refused at once with code 313 and rising times
    And of those that return then while the cell works, at least half are accepted
    And no refused job has run

  Scenario: Nothing is refused for want of time while less than half of the cell is in use
    Given a cell of 60 targets that are free, whose advisor approves none of them
    When 16 jobs are submitted that each need the whole cell for 2 s
    Then all of them are accepted

  Scenario: A crest of 2.5 times the capacity
    When a third of the load "lakeshore" is replayed at 2.5 times the capacity for 5 s
    Then at least 80 of 100 "spot" jobs have earned a worth
    And no accepted job still waits 60 s later, and no refused one has run

  Scenario: Neither gangs nor small work starve beside each other
    When a third of the load "lakeshore" is replayed at 0.9 times the capacity for 10 s
    Then at least 80 of 100 "spot" jobs have earned a worth
    And at least 60 of 100 "audit" jobs have earned a worth
    And the largest jobs of each kind are served at least half as often as their kind
