Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a relayed cell of santander and oviedo with 2 targets each

  Scenario: Operators race to change one version and resend after lost answers
    When 6 operators race to change version 0 through all entries
    Then one change is accepted, and the others are refused with code 602
    And a resend of the winning change is accepted as the same version
    And version 1 is in force at every entry within 5 s
    And an operator is shown the winning change, by whom and when

  Scenario: Restart after 500 changes, and a leader killed during a change
    When 500 changes are applied one after the other
    And the leader of the configuration is killed during the next change
    And all processes are killed and restarted
    Then every accepted change is in force at every entry within 5 s
    And no entry ever showed an older version after a newer one
    And a restart reads a snapshot instead of the whole log
    And an operator is shown the newest 100 changes

  Scenario: A site that was cut off adopts the newest version and restores no older one
    When oviedo is cut off
    And a change is accepted that still waits for oviedo
    And the network is restored
    Then every accepted change is in force at every entry within 5 s
    And no entry ever showed an older version after a newer one

  Scenario: An invalid overlay rejects the whole configuration change
    When a change with an invalid overlay of a site is submitted
    Then it is refused with code 601 and names the site and the key
