Feature: Limits on what a customer has running

  Scenario: No sequence of faults and of new limits brings a customer above its limit
    When 25 random sequences of jobs, faults, new leaders and limits are run from seed 1
    Then in each of them no start exceeded its customer's limit, and gangs started whole
    And what ran was always counted
    And all jobs ended once there were no limits

  Scenario: Steps start in their customer's order, and as soon as its limit allows
    When 25 random sequences of jobs are run without faults from seed 2
    Then no customer had a first step that its limit and free capacity allowed to start
    And each customer's equal steps began in the order of their submission
    And all jobs ended

  Scenario: A limit that is lowered far below what runs stops nothing
    Given a cell of 6 targets with customers
    When a customer has 8 tasks running, and its limit is lowered to 1
    Then all 8 run on to their end, and nothing starts before fewer than 1 run

  Scenario: A raised limit takes effect in the next turn
    Given a cell of 6 targets with customers
    When a customer waits at its limit of 2 tasks, and the limit is raised to 5
    Then 3 more tasks run 0.5 s later

  Scenario: The jobs of a removed customer continue without a limit
    Given a cell of 6 targets with customers
    When a customer waits at its limit of 2 tasks, and is removed
    Then all its tasks run 0.5 s later

  Scenario Outline: What exceeds a limit by itself is refused at once, <what>
    Given a cell of 6 targets with customers
    When a customer with a limit of 4 tasks submits <what>
    Then the answer has code <code>

    Examples:
      | what                      | code |
      | a gang of 5 tasks         | 302  |
      | a gang of 4 tasks         | 101  |
      | 5 tasks                   | 101  |
      | a task as large as 5      | 302  |
      | a gang of 5 as nobody     | 101  |

  Scenario: A step starts in waves within its customer's limit
    Given a cell of 6 targets with customers
    When a customer with a limit of 3 tasks submits 10 tasks
    Then 3 of them run at a time, and all end

  Scenario: Steps that a limit holds do not delay other customers' steps
    Given a cell of 6 targets with customers
    When a customer at its limit has 100 urgent gangs waiting
    And another customer submits a task
    Then that task starts within 0.2 s
    And no call to the advisor was made for the gangs
    And a line "held" names the limit of the gangs' customer
    And 4 s later the lines "step waits" of the gangs have the cause "held"
    And the metrics have 4 cores of 4 in use and 100 steps held by customer "one", until it is removed

  Scenario: Small tasks do not use up what the limit leaves free for a gang
    Given a cell of 6 targets with customers
    When a customer with a limit of 6 tasks has a gang of 5 waiting behind small tasks, and submits small tasks all the time
    Then the gang starts within 6 s

  Scenario: A gang that waits behind a long-running task does not block its customer
    Given a cell of 6 targets with customers
    When a customer with a limit of 4 tasks has a long-running one, and a gang of 4 waits
    Then later tasks of that customer start within 0.5 s

  Scenario: Everything accepted ends, also what exceeds its customer's rate
    When 15 random sequences of jobs beyond their customers' rates are run from seed 3
    Then some of the jobs were surplus
    And all jobs ended
