Feature: Lease renewals of a leader's targets, on a virtual clock

  Scenario: A run ends on a target that was removed and listed again at once
    Given a leader that renews the lease of a target
    When the target is removed and listed again between two checks
    And a job of 1 tasks is submitted
    Then the job ends within 4 s, and none of its runs was stopped

  Scenario: A renewal that crashes is followed by another
    Given a leader that renews the lease of a target
    When a renewal crashes
    And a job of 1 tasks is submitted
    Then the job ends within 4 s, and none of its runs was stopped

  Scenario: A target that has failed thousands of times is asked again
    Given a leader that renews the lease of a target
    When the target has left 5000 calls without an answer
    Then it is asked again after 1 s

  Scenario Outline: A reply with a full page of ended runs may have a next page, <rows> rows
    When a worker's reply with <rows> ended runs is read
    Then more ended runs may follow: <more>

    Examples:
      | rows | more |
      | 499  | no   |
      | 500  | yes  |
