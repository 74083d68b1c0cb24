Feature: Links between processes

  Scenario: A cancellation is passed on while a link's work ends
    When a link's work takes a moment to end, and the link is cancelled then
    Then the link ends at once

  Scenario: Connections on loopback take no port that a cell is given
    When 5 ports for a cell are taken by connections before it listens
    Then the cell can listen at all of them
