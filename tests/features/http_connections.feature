Feature: What one connection of an HTTP server holds, and for how long

  Scenario: Time between requests does not count as time of a header section
    When a client pauses for 1.2 seconds within a header section that follows a request in its packet
    Then all 2 requests are answered

  Scenario: Time in which the server does not read does not count either
    When a client has two requests behind a slow one, the last one cut in its header section
    Then all 3 requests are answered

  Scenario: Whole requests before a refused one count until they are answered
    When a client sends two slow requests of 2000 bytes and a malformed one
    Then the budget held at least 4000 bytes, then none
    And the answers are 200, 200, 400

  Scenario: A request whose client has gone counts until it has run
    When 5 clients send a slow request of 2000 bytes and reset the connection
    Then the budget held at least 10000 bytes, then none

  Scenario Outline: A client that does not read its answers is disconnected after <what>
    When a client reads none of its two large answers and sends <what>
    Then the server closes the connection

    Examples:
      | what                |
      | a part of a request |
      | a malformed request |
      | an upgrade          |

  Scenario Outline: Answers that clients do not read count as held
    When 6 clients read none of their <count> large answers at a server with a budget of 20000000 bytes
    Then the server never kept more than 20000000 bytes of answers

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario: Clients that send a byte now and then do not keep others out
    When as many clients as a server accepts send their bodies byte by byte
    Then an ordinary client is answered

  Scenario: Received requests are not read faster than they are served
    When a client sends 1500 requests at once
    Then the budget held at most 600000 bytes, and all 1500 requests are answered

  Scenario: Evicting connections logs no line each
    When 20 connections with unfinished bodies make way for others
    Then no line tells of requests that were cut off

  Scenario: A server that stops accepts no more connections than it has descriptors for
    When a server with a budget of 20 connections stops while 300 clients wait to be accepted
    Then it had at most 60 connections open
