Feature: Customers' shares and rates in a full cell

  Scenario: A customer's rate is what its weight says, however much it sends
    When 200 random sequences of submissions are counted from seed 1
    Then no span of time had more jobs within the rate than rate and burst allow
    And a job was surplus only when a span before it had as many

  Scenario: A surge does not take a customer's rate away from it
    When a customer of weight 33 submits 4 times its rate for 10 s
    Then in each second its rate was within the rate

  Scenario: A customer that keeps to its rate sends no surplus
    When customers of weights 0.1, 1, 2.5 and 33 submit evenly just below their rates for 60 s
    Then none of their jobs is surplus

  Scenario: The next leader counts the jobs that it finds in the log
    Given a cell of 6 targets with customers of weight 1
    When a customer submits 7 jobs, the leader changes, and it submits 5 more
    Then its jobs 6, 7, 9, 10, 11 and 12 are surplus, on each replica
    And 6 s later it may submit 5 jobs within its rate

  Scenario: Surplus starts at once where there is capacity
    Given a cell of 6 targets with customers of weight 1
    When a customer submits 9 jobs at once
    Then all of them run 0.5 s later

  Scenario: Surplus waits until all other work has started
    Given a cell of 6 targets with customers of weight 1
    When the cell is full, and surplus was accepted before other jobs
    Then the surplus starts after them when the cell is free again

  Scenario: Surplus is refused at once while other work waits for capacity
    Given a cell of 6 targets with customers of weight 1
    When the cell is full, and a job within the rate waits for capacity
    And a customer submits 12 jobs at once
    Then 5 are accepted, and the others refused with code 303
    And the refused ones are told to return one after the other, within 10 s
    And a resubmitted job is accepted, and so are the other customer's jobs

  Scenario: Among equally urgent steps the customer with the smaller share starts first
    Given a cell of 6 targets with customers of weight 1
    When a customer fills the cell, and both customers wait with equal jobs
    Then each start is one of the customer that has less running

  Scenario: Customers without a weight stop no turn
    Given a cell of 6 targets with customers of weight 0
    When a customer submits 9 jobs at once
    Then all of them run 0.5 s later

  Scenario Outline: The others lose little by a surge of one customer, <customer>
    When the load "lakeshore" is replayed from seeds 1 to <seeds>, with and without a surge of customer <customer>, <factor> times its rate
    Then during the surge the others earn at least 0.85 of what they earn without it

    Examples:
      | customer | factor | seeds |
      | 0        | 4.4    | 2     |
      | 17       | 7      | 1     |

  Scenario Outline: Without customers in the configuration they lose more, <order>
    Given the configuration has no customers, and steps are placed <order>
    When the load "lakeshore" is replayed from seeds 1 to <seeds>, with and without a surge of customer 0, 4.4 times its rate
    Then during the surge the others earn less than 0.8 of what they earn without it

    Examples:
      | order                   | seeds |
      | by cost                 | 2     |
      | first come first served | 1     |
