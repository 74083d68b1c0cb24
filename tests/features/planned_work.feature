Feature: Planned work on the processes of a platform cell

  Scenario: Requests lose their answers during planned work, seed 1
    When callers use both entries for 6 seconds of planned work, seed 1
    Then no request lacks a complete answer after 200 ms
    And none is answered 500, and each stopped entry exits with status 0
    And no process logs that it has cut off a request
