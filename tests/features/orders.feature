Feature: Orders to targets, on a virtual clock

  Scenario Outline: Stops of many tasks are all sent in time, <tasks> on each of <targets> targets
    Given a leader of <targets> targets that take 0.4 s for each stop
    When <tasks> tasks on each of the targets are stopped at once
    Then each stop was confirmed within 3 s, and sent once
    And no target had more than 60 open orders

    Examples:
      | tasks | targets |
      | 300   | 1       |
      | 120   | 16      |

  Scenario Outline: A target that accepts few connections gets no more, <connections>
    Given a leader of 1 targets that take 0.1 s for each stop
    And a configuration with <connections> connections for each target
    When 20 tasks on each of the targets are stopped at once, and 20 others started
    Then each stop was confirmed within 5 s, and sent once
    And no target had more than <orders> open orders

    Examples:
      | connections | orders |
      | 16          | 12     |
      | 6           | 2      |
      | 1           | 2      |

  Scenario Outline: Targets that leave orders unanswered do not hold up those of others, <silent> of <targets>
    Given a leader of <targets> targets that take 0.4 s for each stop
    When <tasks> tasks on each of the targets are stopped at once, and <silent> targets answer nothing
    Then each stop of the others was confirmed within 3 s

    Examples:
      | targets | silent | tasks |
      | 20      | 15     | 40    |
      | 100     | 40     | 20    |
      | 250     | 90     | 10    |

  Scenario: Targets that leave starts unanswered do not hold up the starts of others
    Given a leader of 60 targets that take 0.01 s for each start
    When 30 tasks on each of the targets are started at once, and 40 targets answer nothing
    Then each start of the others was confirmed within 1 s

  Scenario: A target that is busy once the others are done gets more orders at a time
    Given a leader of 16 targets that take 0.4 s for each stop
    When 5 tasks on each of the targets are stopped at once, and 250 more on one of them
    Then each stop was confirmed within 3 s, and sent once

  Scenario: Starts and probes of a target do not wait for its stops
    Given a leader of 1 targets that take 0.4 s for each stop
    When 300 tasks on each of the targets are stopped at once, and 10 others started
    Then each start was sent within 0.1 s, and the target was probed within 0.1 s

  Scenario: Many probes of a target leave connections for its renewal
    Given a leader of 1 targets that take 0.4 s for each stop
    When it is to be probed 20 times at once
    Then it had 4 open renewals at most, and was probed after the last request
