Feature: How work waits and is placed at a user's load

  Scenario: A gang on a free cell starts after one round of advice
    Given a cell of 60 targets whose advisor approves 3 of 10
    When a gang of 20 tasks that fill a third of a target is handed in
    Then it has started within 1.5 times one call about 30 targets

  Scenario: A gang that waits for room learns at once where it may wait
    Given a cell of 60 targets whose advisor approves 3 of 10
    And 2 thirds of every target are taken
    When a gang of 20 tasks that fill a third of a target is handed in
    Then after one call it knows of twice the room that it needs

  Scenario: A gang that is in doubt of its tickets renews them in time
    Given a cell of 60 targets whose advisor approves 3 of 10
    And 3 thirds of every target are taken
    When a gang of 20 tasks that fill a third of a target is handed in
    And the room comes free 6 seconds later
    Then it has started within 1.5 times one call about 30 targets

  Scenario: Paces are learned beside other tasks of the same step
    Given a cell of 60 targets of which every fourth is slow
    When jobs whose estimates are far off run for 20 seconds
    Then the slow targets are told from the fast ones

  Scenario: The load of Latas Vivas at its worst, seed 2
    When the load "latas-grown" is replayed for 14 s from seed 2
    Then "ok" jobs are in time in at least 95 of 100 cases
    And the worth earned is at least 0.71 of the worth owed
