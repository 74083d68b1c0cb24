Feature: Links between processes

  Scenario: A cancellation is passed on while a link's work ends
    When a link's work takes a moment to end, and the link is cancelled then
    Then the link ends at once

  Scenario: Connections on loopback take no port that a cell is given
    When 5 ports for a cell are taken by connections before it listens
    Then the cell can listen at all of them

  Scenario: A port that was handed out is not handed out again
    When 400 ports are asked for 10 times
    Then no port was given twice

  Scenario: A process that is slow to start does not use up its cell's time
    When a process of a cell is held up before it opens its port
    Then the cell counts as started only after it goes on

  Scenario: A cell that is not up in time tells why
    When a cell waits for a target that is never started
    Then what it raises names each process, and its logs are kept
