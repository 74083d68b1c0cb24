Feature: A group of five hosts survives the loss of two disks and all power

  Scenario Outline: Nothing acknowledged is lost with two disks and all power, seed <seed>
    When 25 groups of five hosts go through wipes, kills, cuts and losses of power from seed <seed>, and lose two disks and all power right after an acknowledgement
    Then each has a leader with all that was acknowledged within 12 seconds
    And each of the five hosts votes again and has the same state

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A leader is elected soon after all hosts have lost power
    Given 20 groups of five hosts whose processes load for 0.3 seconds
    When all hosts of each lose power, and are back 2 seconds later
    Then at least 19 have a leader within 0.5 seconds, and all within 2
