Feature: Calls to the placement advisor by other processes, on a virtual clock

  Scenario: Advice that comes late is used
    Given a leader that lets an entry call the advisor for 1.3 s
    When the entry answers after 2.8 seconds
    Then the leader has the answer of the entry, and took no call for failed

  Scenario: A call is given up soon after its caller was heard last
    Given a leader that lets an entry call the advisor for 1.3 s
    When the entry is not heard after 0.2 seconds
    Then the call has failed within 1.3 seconds

  Scenario: A call is given up when its caller's link is lost
    Given a leader that lets an entry call the advisor for 1.3 s
    When the link to the entry is lost after 0.2 seconds
    Then the call has failed within 0.4 seconds

  Scenario: A call is given up when its caller has connected again
    Given a leader that lets an entry call the advisor for 1.3 s
    When the entry connects again after 0.2 seconds
    Then the call has failed within 0.4 seconds

  Scenario: A call that is never answered fails in the end
    Given a leader that lets an entry call the advisor for 1.3 s
    When the entry never answers
    Then the call has failed within 4 seconds

  Scenario: A pause of the leader's process makes no call fail
    Given a leader that lets an entry call the advisor for 1.3 s
    When the leader's process pauses for 0.9 seconds
    Then the leader has the answer of the entry, and took no call for failed

  Scenario: A caller whose answer is overdue gets no further call
    Given a leader that lets an entry call the advisor for 1.3 s
    When the answer of the entry is overdue, and the leader needs more advice
    Then the call goes to the other entry
