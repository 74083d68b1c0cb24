Feature: HTTP servers that stop

  Scenario: A server that stops resets connections with unread requests
    When requests reach a server on idle and new connections until it stops
    Then each of them has a complete answer

  Scenario: A server that has no time left cuts a request off unnoticed
    When a server stops at once with 2 requests on one connection
    Then it logs that it has cut off 1 request
