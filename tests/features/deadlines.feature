Feature: Requests that waited before they were read

  Scenario Outline: A request that waited during a pause counts all of it, <connection>
    Given an HTTP server that notes how long its requests have waited
    When a request is sent over <connection> as the process pauses for 0.8 s
    Then it has waited for 0.8 s, and one that is sent 0.5 s later for 0 s

    Examples:
      | connection                          |
      | a new connection                    |
      | a connection that was used before   |
      | one of 60 new connections           |

  Scenario: A request behind a slow one on its connection has waited
    Given an HTTP server that notes how long its requests have waited
    When a request is sent behind one that takes 1.5 s
    Then it has waited for 1.5 s

  Scenario: Two pauses that follow each other count as one
    When a process pauses for 1 s, runs for 0.1 s and pauses for 2 s
    Then bytes that are read afterwards may have waited for 3.1 s

  Scenario: A process that runs without pauses delays nothing
    When a process runs for 10 s with ticks that are late by up to 0.2 s
    Then bytes that are read at any time have waited for 0 s
