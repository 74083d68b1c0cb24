Feature: Links between processes

  Scenario: A link can be cancelled while its task is still ending
    When a link is cancelled while its task is still ending
    Then the link ends at once

  Scenario: An error of a message's handler is logged, and the link goes on
    When a link receives two messages, and the handler of the first raises an error
    Then the log names the error, the peer and the kind of message
    And the second message is handled, over the same connection

  Scenario: A link that is kept for later has fewer heartbeats, and is quick when it is needed
    When a link is idle for 2 seconds, and then needed for 2 seconds
    Then it had 4 to 8 heartbeats in the first, and 16 to 24 in the second
    And the first of the second came within 0.1 seconds
    And the link was never lost

  Scenario: Loopback connections do not block the ports of a cell
    When 5 ports for a cell are used by connections before it listens
    Then the cell can listen at all of them

  Scenario: A port is not allocated twice
    When 400 ports are requested 10 times
    Then no port was returned twice

  Scenario: A slow process does not use up the time for its cell's start
    When a process of a cell is suspended before it opens its port
    Then the cell counts as started only after the process resumes

  Scenario: A cell that does not start in time names its processes and logs
    When a cell waits for a target that is never started
    Then the timeout error names each process, and the logs are kept
