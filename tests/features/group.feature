Feature: A group's state follows its log

  Scenario: The decisions of a deposed leader are undone
    Given a group whose leader has committed all its decisions
    When it learns of a newer term, and decides once more before its next turn
    Then its state equals the committed log

  Scenario: A follower sends nothing while its disk refuses writes
    Given a follower whose disk refuses the next 2 writes
    When it receives entries and runs 3 turns
    Then it answers once, after the third turn
    And its journal holds each entry once

  Scenario: A lagging peer causes a bounded number of resent entries
    Given a leader with 2000 entries that a peer lacks
    When the peer answers 100 appends with a mismatch
    Then fewer than 600 entries were sent again
    And the peer holds all entries after acknowledging each append

  Scenario Outline: A lost process is replaced, <case>
    Given an open group of three hosts
    When <case>
    Then a leader has 3 live voters, and the lost one is not among them

    Examples:
      | case                                                    |
      | a host loses its disk and comes back                    |
      | a host is gone for good and one at another address comes |

  Scenario: A host that lost its disk joins again although no seed leads
    Given an open group of five hosts whose leader is not a seed
    When a host loses its disk and comes back
    Then a leader has 5 live voters, and the lost one is not among them

  Scenario: A group outlives the loss of two more disks when all hosts restart
    Given an open group of five hosts whose leader is not a seed
    And a host loses its disk and comes back
    When two other hosts lose their disks and all restart
    Then a leader has 5 live voters, and it has every committed record

  Scenario: A host that was removed while it was cut off joins again
    Given an open group of three hosts
    When a host is cut off, replaced, and reached again
    Then it is a member again

  Scenario: A leader sends entries before its own sync, without committing them
    Given a group with a disk whose leader has decided a record
    When it runs its turn with both peers silent
    Then its entries were sent before it synced
    And the newest of them is not committed

  Scenario: A leader defers its sync while both peers answer
    Given a group with a disk whose leader has decided a record
    When it runs its turn with both peers answering
    Then its entries were sent and it has not synced
    And an entry that one peer holds is not committed, one that both hold is
    And it has synced 0.3 seconds later

  Scenario: A follower answers only after its sync
    Given a follower with a disk
    When it receives an entry from its leader
    Then its answer was sent after it synced

  Scenario: A request that need not wait is sent before the commit
    Given a group with a disk whose leader has decided a record
    And it has a request and a response to send
    When it runs its turn with both peers answering
    Then the request was sent and the response was not

  Scenario: A response held back during a pause is sent once the lease is renewed
    Given a group with a disk whose leader has decided a record
    And it has a request and a response to send
    When it runs its turn with both peers answering
    And it pauses, and late acknowledgements of its peers commit the turn
    Then the request was sent and the response was not
    And the response is sent once the peers answer its heartbeat

  Scenario: A host that lost its disk votes again although no seed leads
    Given an open group of five hosts, led by one that is not a seed
    When a seed loses its disk and comes back
    Then it votes again 4 seconds later, and its lost replica does not

  Scenario: While a host is replaced, it and another one may be lost
    Given an open group of five hosts
    When a host loses its disk, comes back and votes again
    Then at no time would the loss of it and another host have left no majority

  Scenario: Parts of two snapshots are never joined
    Given a leader that sends its snapshot in 3 parts to a peer
    When it takes a newer snapshot before the second part is acknowledged
    Then the peer installs the newer snapshot, whole

  Scenario: A leader whose lease has run out answers nothing
    Given a group with a disk whose leader has decided a record
    When it runs its turn with both peers answering
    And its turn is committed, and it is asked once its lease has run out
    Then it answers only after its peers have answered a heartbeat

  Scenario: A learner does not vote before it has the committed entries
    Given an open group of five hosts
    When a host loses its disk and comes back, and gets no entries for 5 seconds
    Then it does not vote, and its lost replica is still a voter
    And it votes again 4 seconds after it gets entries

  Scenario: Each membership change adds or removes one voter, as two hosts are replaced
    Given an open group of five hosts
    When two hosts lose their disks and catch up at the same time
    Then no change added or removed more than one voter
