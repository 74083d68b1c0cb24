Feature: A budget for what HTTP clients make a process hold

  Scenario: Bodies that stop short of their end are given up before others
    Given connections of a budget of 1000 bytes
      | name    | size | silent for | state      |
      | stalled | 100  | 5 s        | receiving  |
      | large   | 300  | 0 s        | receiving  |
      | larger  | 400  | 5 s        | receiving  |
      | whole   | 900  | 9 s        | processing |
    Then the connections given up for bytes are
      | needed | connections            |
      | 10     | larger                 |
      | 450    | larger, stalled        |
      | 600    | larger, stalled, large |
      | 900    |                        |

  Scenario: Connections that never had a request make way for new ones
    Given connections of a budget of 8 connections
      | name    | size | silent for | state      |
      | unused  | 0    | 1 s        | new        |
      | older   | 0    | 9 s        | served     |
      | stalled | 10   | 2 s        | receiving  |
      | active  | 10   | 0 s        | receiving  |
      | whole   | 10   | 9 s        | processing |
    Then the connections given up for new ones are stalled, unused, older, active in this order

  Scenario Outline: A request with <fault> is refused as a whole, and what follows it never runs
    When a request, one with <fault> and a third are sent on one connection
    Then the first is answered, the second refused with <status>, and the application saw only the first

    Examples:
      | fault                            | status |
      | two lengths                      | 400    |
      | a length and chunks              | 400    |
      | a signed length                  | 400    |
      | a list of lengths                | 400    |
      | bare line feeds                  | 400    |
      | a folded line                    | 400    |
      | a space before the colon         | 400    |
      | a chunk size that is no number   | 400    |
      | a chunk size of 70 bits          | 400    |
      | a chunk longer than its size     | 400    |
      | an encoding that is not chunked  | 400    |
      | a header section over the limit  | 431    |
      | trailers over the limit          | 431    |
      | a declared body over the limit   | 413    |
      | a chunked body over the limit    | 413    |

  Scenario: Requests arrive whole and in order however they are cut into packets
    Then 40 random sequences of requests in random pieces are answered

  Scenario: What random bytes make the server answer has a whole request behind it
    Then 150 random variations of requests have an answer per run

  Scenario: Clients that are too slow are refused or closed
    When a server with timeouts of 0.2 seconds has a client with half a header section, one with half a body and a silent one
    Then the first two are answered 408, and all are closed

  Scenario: Requests are refused while the budget is used up
    When 30 requests of 2000 bytes lack their last byte at a server with a budget of 20000 bytes
    Then the server never held more, and a small request is answered
    And the refused ones were answered 503 with a time to return, or closed

  Scenario: The limits of a configuration apply where they are tighter
    Then limits of the process, of a configuration and in force are
      | process | configured | in force |
      | 100     | 0          | 100      |
      | 100     | 50         | 50       |
      | 100     | 200        | 100      |
    And an entry keeps the limits of the newest configuration that it heard of
