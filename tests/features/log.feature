Feature: The replicated log keeps its guarantees under failures

  Scenario Outline: Random failures violate no guarantee, seed <seed>
    Given a group of three replicas
    When it goes through <examples> random sequences of losses, crashes, pauses, cuts and wipes from seed <seed>
    Then no term had two leaders, and no committed record was lost or changed

    Examples:
      | seed | examples |
      | 1    | 150      |
      | 2    | 150      |

  Scenario Outline: Random failures with deferred syncs violate no guarantee, seed <seed>
    Given a group of three replicas whose leaders defer syncs where they may
    When it goes through <examples> random sequences of losses, crashes, pauses, cuts and wipes from seed <seed>
    Then no term had two leaders, and no committed record was lost or changed

    Examples:
      | seed | examples |
      | 3    | 100      |
      | 4    | 100      |

  Scenario: A second host is lost right after a repair
    Given a group of three replicas
    When 50 records are committed
    And host a is wiped, and the group is repaired
    And host b is wiped, and the group is repaired
    Then every replica holds all 50 records

  Scenario: A host that returns without its disk joins as a new replica
    Given a group of three replicas
    When 5 records are committed
    And host b is wiped, and the group is repaired
    Then the members name b's new instance and not the old one

  Scenario: The tie-breaker hands leadership back to another host
    Given a group of three replicas
    When hosts a and b are down until the group has no leader
    And both restart
    Then a or b leads

  Scenario: A leader that is cut off holds no lease when another leads
    Given a group of three replicas
    When the leader is cut off from both others
    Then it loses its lease before another leads
