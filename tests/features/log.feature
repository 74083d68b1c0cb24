Feature: The replicated log keeps its promises whatever happens

  Scenario Outline: Replicas driven at random through failures, seed <seed>
    Given a group of three replicas
    When it is driven through <examples> runs of losses, crashes, pauses, cuts and wipes from seed <seed>
    Then no term had two leaders, and no committed record was lost or changed

    Examples:
      | seed | examples |
      | 1    | 150      |
      | 2    | 150      |

  Scenario Outline: Leaders that sync later, driven at random, seed <seed>
    Given a group of three replicas whose leaders sync later where they may
    When it is driven through <examples> runs of losses, crashes, pauses, cuts and wipes from seed <seed>
    Then no term had two leaders, and no committed record was lost or changed

    Examples:
      | seed | examples |
      | 3    | 100      |
      | 4    | 100      |

  Scenario: A second host is lost right after a repair
    Given a group of three replicas
    When 50 records are committed
    And host a is wiped, and the group is whole again
    And host b is wiped, and the group is whole again
    Then every replica holds all 50 records

  Scenario: A host that returns without its disk is another replica
    Given a group of three replicas
    When 5 records are committed
    And host b is wiped, and the group is whole again
    Then the members name b's new instance and not the old one

  Scenario: The tie-breaker hands the lead back to a host at home
    Given a group of three replicas
    When hosts a and b are down for long enough that only t is left
    And both return
    Then a host at home leads

  Scenario: A leader that is cut off has no authority when another leads
    Given a group of three replicas
    When the leader is cut off from both others
    Then it gives up before another leads
