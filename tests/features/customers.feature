Feature: Callers use their customer's keys, and only its jobs

  Scenario: A queue that is not public needs the key of a customer
    Given a cell with the customers acme: k1 k2, beta: k3
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | submit | /a/1 |     | 214  |
      | submit | /a/1 | no  | 214  |
      | show   | /a/1 |     | 214  |
      | cancel | /a/1 | no  | 214  |
      | count  | /a/  |     | 214  |
      | count  | /a/  | k3  | 100  |
      | show   | /x/1 | no  | 210  |
      | show   | /a/1 | k1  | 604  |
    And no job is known, and no refusal has a retry time

  Scenario: The key is checked before the job
    Given a cell with the customers acme: k1
    Then an invalid job is answered 214 without a key, and 201 with the key k1

  Scenario: A customer's job is as unknown to others as no job
    Given a cell with the customers acme: k1 k2, beta: k3
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | submit | /a/1 | k1  | 101  |
      | submit | /a/1 | k2  | 101  |
      | show   | /a/1 | k2  | 100  |
      | show   | /a/1 | k3  | 604  |
      | cancel | /a/1 | k3  | 604  |
      | submit | /a/1 | k3  | 208  |
      | show   | /p/1 |     | 604  |
      | cancel | /p/1 |     | 604  |
      | submit | /p/1 |     | 208  |
    And job 1 belongs to acme and is running in the end
    And these requests are answered with these codes
      | verb   | path | key | code |
      | cancel | /a/1 | k2  | 100  |

  Scenario: Keys are added, replaced and removed at once, also the last one
    Given a cell with the customers acme: k1, beta: k3
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | submit | /a/1 | k1  | 101  |
    When the customers become acme: k1 k2, beta: k3
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | show   | /a/1 | k1  | 100  |
      | show   | /a/1 | k2  | 100  |
    When the customers become acme: k4, beta: k3
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | show   | /a/1 | k1  | 214  |
      | submit | /a/2 | k2  | 214  |
      | show   | /a/1 | k4  | 100  |
    When the customers become acme:, beta: k3
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | show   | /a/1 | k4  | 214  |
      | show   | /a/1 | k3  | 604  |
    And job 1 belongs to acme and is running in the end

  Scenario: A key that moves to another customer gives no access to the job
    Given a cell with the customers acme: k1, beta: k3
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | submit | /a/1 | k1  | 101  |
    When the customers become acme: k3, beta: k1
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | show   | /a/1 | k1  | 604  |
      | show   | /a/1 | k3  | 100  |

  Scenario: An empty list of customers admits nobody, except to public queues
    Given a cell with no customer in its list
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | submit | /a/1 | k1  | 214  |
      | submit | /p/1 |     | 101  |

  Scenario: Without customers no key is needed, and none is refused
    Given a cell without customers
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | submit | /a/1 |     | 101  |
      | submit | /a/1 | no  | 101  |
      | show   | /b/1 |     | 100  |
      | cancel | /a/1 | no  | 100  |
      | count  | /a/  |     | 100  |

  Scenario: Jobs of a public queue are readable without a key while it is public
    Given a cell with the customers acme: k1, beta: k3
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | submit | /p/1 |     | 101  |
      | submit | /p/2 | no  | 101  |
      | submit | /p/3 | k1  | 101  |
      | show   | /p/3 |     | 100  |
      | count  | /p/  |     | 100  |
    And job 3 belongs to nobody and is running in the end
    When the queue /b/ becomes the only public one
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | show   | /p/1 |     | 214  |
      | show   | /b/1 |     | 604  |
      | cancel | /b/1 |     | 604  |
      | submit | /b/1 |     | 208  |
      | show   | /p/1 | k3  | 100  |

  Scenario: Jobs from before there were customers stay in reach of their callers
    Given a cell without customers
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | submit | /a/1 |     | 101  |
    When the customers become acme: k1
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | show   | /a/1 |     | 214  |
      | submit | /a/1 | k1  | 101  |
      | show   | /a/1 | k1  | 100  |

  Scenario Outline: Keys, owners and public queues outlast <event>
    Given a cell with the customers acme: k1 k2, beta: k3
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | submit | /a/1 | k1  | 101  |
      | submit | /p/2 |     | 101  |
    When the customers become acme: k2, beta: k3
    And there is <event>
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | submit | /a/1 | k1  | 214  |
      | submit | /a/1 | k2  | 101  |
      | show   | /a/1 | k3  | 604  |
      | submit | /a/1 | k3  | 208  |
      | show   | /p/2 |     | 100  |
    And job 1 belongs to acme and is running in the end

    Examples:
      | event                        |
      | a change of the leader       |
      | a restart from the log       |
      | a restart from the snapshot  |

  Scenario: A log from before there were customers is read as one without
    Given a cell without customers
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | submit | /a/1 |     | 101  |
    When there is a restart from a log of the version before
    Then these requests are answered with these codes
      | verb   | path | key | code |
      | show   | /a/1 |     | 100  |
      | submit | /a/2 |     | 101  |
    And job 1 belongs to nobody and is running in the end

  Scenario: 10,000 keys cost a request one lookup
    Given a cell with 20 customers who have 500 keys each
    When a request with the last key is handled
    Then it was answered 604 after one lookup of a key
