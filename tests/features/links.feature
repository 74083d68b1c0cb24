Feature: Links between processes

  Scenario: A cancellation is passed on while a link's work ends
    When a link's work takes a moment to end, and the link is cancelled then
    Then the link ends at once
