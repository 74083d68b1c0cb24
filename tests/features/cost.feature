Feature: What it costs callers to delay a step

  Scenario: A delay costs more, the nearer its next limit
    Then for any stake the cost is higher with less slack until a limit is passed

  Scenario: A delay costs less, the more work it takes to avoid it
    Then for any stake the cost is lower with more work

  Scenario: A delay costs less at a lower priority
    Then for any job the cost is lower at a lower priority

  Scenario: No estimate raises or is negative, whatever its figures
    Then for any figures the cost is a number that is 0 or above

  Scenario: Patient work does not come before urgent work that is a little late
    Given a stake of urgent work that is 0.5 s late, and one of patient work that has 11 s left
    Then the cost of delaying the urgent work is at least 5 times higher
