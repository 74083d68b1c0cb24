Feature: Calls to the leader, on a virtual clock

  Scenario: A call is refused at once when the leader has long been silent
    Given a process that heard from its leader 5 seconds ago
    When it calls the leader
    Then the answer is NO_LEADER after 0 seconds, with a retry after 1 s

  Scenario: A call waits for the end of an election
    Given a process that heard from its leader 1 seconds ago
    When it calls the leader and another one leads 0.2 seconds later
    Then the answer comes from the next leader

  Scenario: A call waits for the successor of a leader that hands over
    Given a process whose leader has just handed over
    When it calls the leader and another one leads 0.2 seconds later
    Then the answer comes from the next leader

  Scenario: A call that was sent is repeated to the next leader
    Given a process that heard from its leader 0 seconds ago
    When it calls the leader and another one leads 1.8 seconds later
    Then the answer comes from the next leader
    And it was sent twice

  Scenario: A call that was sent and never answered has an unknown outcome
    Given a process that heard from its leader 0 seconds ago
    When it calls the leader
    Then the answer is OUTCOME_UNKNOWN after 2.2 seconds, with a retry after 1 s

  Scenario: A response to an earlier process of the same name is ignored
    Given a process that heard from its leader 0 seconds ago
    When it calls the leader, which answers a call of the process before it
    Then the answer is OUTCOME_UNKNOWN after 2.2 seconds, with a retry after 1 s

  Scenario: An answer to a process that was restarted is not taken for the next one's
    Given a process that heard from its leader 0 seconds ago
    When it is restarted, calls the leader, and its predecessor's answer arrives
    Then the answer is OUTCOME_UNKNOWN after 2.7 seconds, with a retry after 1 s

  Scenario: A repeated report of a draining worker is not acknowledged before it is durable
    Given a scheduler that leads and can commit nothing
    When a worker reports twice that it is ready, and twice that it drains
    Then none of its reports is acknowledged
