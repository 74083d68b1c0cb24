Feature: Placement decisions on recorded arrivals, with a virtual clock

  The bounds are the stated performance goals.  The same seed gives the same figures.

  Scenario: Short work beside stragglers of 30 times its length, at 70 percent load
    When the arrivals "head_of_line" are replayed
    Then beside_s is at most 2 times alone_s

  Scenario: An arrival peak of 3 times capacity
    When the arrivals "crest" are replayed
    Then urgent_started_share is at least 0.95
    And urgent_longest_s is at most 5.4
    And refused is at least 1

  Scenario: Queues are back to normal within 5 s after the peak
    When the arrivals "crest" are replayed
    Then normal_p99_from_5s_after_s is at most 2 times normal_p99_before_s

  Scenario: Gangs of half the cell start, and never in part
    When the arrivals "gangs" are replayed
    Then started is at least 3
    And started_in_parts is at most 0
    And slots_leased_share is at least 0.9

  Scenario: Work goes to the faster targets
    When the arrivals "speeds" are replayed
    Then share_to_fast_targets is at least 0.9

  Scenario: A team at 10 times its share beside 19 others
    When the arrivals "fairness" are replayed
    Then beside_s is at most 1.5 times alone_s

  Scenario Outline: A team at 10 times its share, with other seeds
    When the arrivals "fairness" are replayed with seed <seed>
    Then beside_s is at most 1.5 times alone_s

    Examples:
      | seed |
      | 6    |
      | 7    |
      | 8    |
      | 9    |

  Scenario: The number of candidates examined does not grow with the workers
    When 1000 tasks are placed on 24, 290 and 2900 workers
    Then a decision examines as many candidates, whatever the number of workers

  Scenario: An entry that has dropped a job gets no more orders for it
    When an order is sent, and its entry rejects it because it has dropped the job
    Then the capacity is free again, and no further order is sent
    And the job ends with CALLER_GONE after the longest time it may be parked

  Scenario: Urgent work preempts work that can checkpoint
    When a full cell of checkpointing work gets an urgent request
    Then one task is ordered to stop, and the urgent one is placed when it has
