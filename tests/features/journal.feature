Feature: A replica's journal on disk

  Scenario: Saved entries are read again
    Given a journal with 20 entries in 5 saves
    Then 20 entries, the term and the vote are read again

  Scenario: An incomplete last record is truncated
    Given a journal with 20 entries in 5 saves
    When the file loses its last 3 bytes
    Then 19 entries, the term and the vote are read again
    And the file ends with a complete record

  Scenario Outline: A flipped bit <where> is an error, and the replica starts empty
    Given a journal with 20 entries in 5 saves
    When a bit is flipped <where>
    Then reading ends with code 703, and the next start finds no journal

    Examples:
      | where                 |
      | in the middle         |
      | in the last record    |
      | in a record's length  |

  Scenario: A snapshot replaces the log before it
    Given a journal with 20 entries in 5 saves
    When a snapshot is saved up to entry 18
    Then the snapshot and 2 entries are read again

  Scenario: Replaced entries stay replaced
    Given a journal with 20 entries in 5 saves
    When the entries from 11 on are replaced by 3 others
    Then 13 entries, the term and the vote are read again

  Scenario: A full disk ends the process with an error code
    Given a running scheduler whose disk takes no more than 40000 bytes
    Then it ends with code 705 in its log

  Scenario: A configuration snapshot from a version that listed no changes
    When a configuration snapshot without a change list is read
    Then its version is restored, and its change list is empty

  Scenario: A torn save never takes replaced entries for committed ones
    Given a journal with 20 entries in 5 saves
    When the entries from 11 on are replaced by 3 others, all committed, and the save is torn at any byte
    Then no restored replica has an entry of the old term among its committed ones

  Scenario: A second loss of power after a torn save damages nothing
    Given a journal with 20 entries in 5 saves
    When its last save was torn, it is opened, and the next save is torn at any byte
    Then 19 entries or more are read again each time

  Scenario Outline: The name of a journal's folder is synced, <case>
    Given a journal with 20 entries in 5 saves
    When <case>
    Then the folder that holds it was synced after that

    Examples:
      | case                          |
      | another journal is created    |
      | a damaged journal is set aside |

  Scenario: A save of which any sector was not written is dropped
    Given a journal with 20 entries in 5 saves
    When a save of 100 entries follows, and any of its sectors reads as zeros
    Then 20 entries or more are read again each time

  Scenario: A sector of zeros before a complete save is an error
    Given a journal with 20 entries in 5 saves
    When a save of 100 entries follows, and the sector before it reads as zeros
    Then reading ends with code 703, and the next start finds no journal

  Scenario: A seed that restarts before its group has formed still forms it
    Given a seed that has started for the first time
    When it is killed and started again
    Then it is the same replica, and it may form the group

  Scenario: A seed that restarts after its group has formed forms no other
    Given a seed that has started for the first time
    When its group forms, and it is killed and started again
    Then it is the same replica, and it may not form a group

  Scenario: A flipped bit in the last save is an error, wherever the save ends
    Given a journal with 20 entries in 5 saves
    When a vote is saved at the end of files of any length, and a bit of it is flipped
    Then none of them is read again

  Scenario: A replica outside a group asks the hosts that a scheduler names to join
    Given a scheduler whose only seed has no scheduler any more
    When another scheduler tells it the hosts of the group
    Then it sends them join requests
