@fixture.limited_cell
Feature: Clients that respect no limits end no process

  The hosts have 128 MB and 512 descriptors.  Memory includes what has been
  received and not read.

  Scenario Outline: <count> clients send an entry <what>
    When <count> clients send an entry <amount> bytes each of <what>
    Then the entry held at most 128 MiB and 512 descriptors
    And an ordinary job is accepted by the entry beside them
    And no process of the cell has ended

    Examples: Sections without end
      | count | amount  | what                         |
      | 40    | 5242880 | header lines without end     |
      | 40    | 5242880 | a header line without end    |
      | 40    | 5242880 | a request target without end |
      | 40    | 5242880 | empty lines without end      |
      | 40    | 5242880 | trailers without end         |
      | 40    | 5242880 | a chunk extension without end |

    Examples: Bodies of permitted size, and connections without any request
      | count | amount | what                                        |
      | 400   | 250000 | bodies that lack their last byte            |
      | 400   | 250000 | bodies in small chunks without the last one |
      | 700   | 0      | nothing                                     |

  Scenario: Clients send a scheduler bodies that lack their last byte
    When 40 clients send a scheduler 4000000 bytes each of bodies of a PUT that lack their last byte
    Then the scheduler held at most 128 MiB and 512 descriptors
    And an ordinary job is accepted by the entry beside them
    And no process of the cell has ended

  Scenario: A single request within the limits is served
    When the configuration of version 3 is sent
    Then a job of 262144 bytes is accepted
    And a request with a header section of 16384 bytes is answered
    And a heartbeat of 4 MiB and a configuration of 8 MiB are read
