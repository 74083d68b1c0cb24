Feature: HTTP servers that stop

  Scenario: A server that stops resets connections with unread requests
    When requests reach a server on idle and new connections until it stops
    Then each of them has a complete answer
