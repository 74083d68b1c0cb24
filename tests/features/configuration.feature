Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a relayed cell of santander and oviedo with 2 targets each

  Scenario: Operators race with equal versions and resend after lost answers
    When 6 operators race to change version 0 through all entries
    Then one wins, and the others are refused with code 602
    And a resend of the winning change is accepted as the same version
    And version 1 is in force at every entry within 5 s
    And an operator is shown the winning change, by whom and when

  Scenario: Restarts after 500 changes, and a leader killed in mid-change
    When 500 changes are applied one after the other
    And the leader of the configuration is killed during the next change
    And all processes are killed and started again
    Then every accepted change is in force at every entry within 5 s
    And no entry ever showed an older version after a newer one
    And a start reads a snapshot and not the history
    And an operator is shown the newest 100 changes

  Scenario: A site that was cut off takes the newest, and brings none back
    When oviedo is cut off
    And a change is accepted that still waits for oviedo
    And the links are mended
    Then every accepted change is in force at every entry within 5 s
    And no entry ever showed an older version after a newer one

  Scenario: A faulty configuration is refused whole
    When a change with a fault in the overlay of a site is asked for
    Then it is refused with code 601 and names the site and the key
