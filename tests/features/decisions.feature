Feature: The decisions on recorded arrivals, with a clock given to them

  The bounds are the stated targets.  The same seed gives the same figures.

  Scenario: Short work beside stragglers of 30 times its length, at 70 percent
    When the arrivals "head_of_line" are played
    Then beside_s is at most 2 times alone_s

  Scenario: A crest of 3 times capacity
    When the arrivals "crest" are played
    Then urgent_started_share is at least 0.95
    And urgent_longest_s is at most 5.4
    And refused is at least 1

  Scenario: Queues are back to normal within 5 s after the crest
    When the arrivals "crest" are played
    Then normal_p99_from_5s_after_s is at most 2 times normal_p99_before_s

  Scenario: Gangs of half the cell start, and never in part
    When the arrivals "gangs" are played
    Then started is at least 3
    And started_in_parts is at most 0
    And slots_leased_share is at least 0.9

  Scenario: Work goes to the faster targets
    When the arrivals "speeds" are played
    Then share_to_fast_targets is at least 0.9

  Scenario: A team at 10 times its share beside 19 others
    When the arrivals "fairness" are played
    Then beside_s is at most 1.5 times alone_s

  Scenario Outline: The same with other luck
    When the arrivals "fairness" are played with seed <seed>
    Then beside_s is at most 1.5 times alone_s

    Examples:
      | seed |
      | 6    |
      | 7    |
      | 8    |
      | 9    |

  Scenario: Candidates looked at do not grow with the workers
    When 1000 tasks are placed on 24, 290 and 2900 workers
    Then as many candidates are looked at in a decision, whatever the workers

  Scenario: An entry that has let a job go gets no more orders for it
    When an order is given, and its entry has let the job go
    Then the capacity is free again, and no further order is given
    And the job ends as not run once it was parked long enough

  Scenario: Urgent work takes the place of work that can checkpoint
    When a full cell of checkpointing work gets an urgent request
    Then one task is told to stop, and the urgent one is placed when it has
