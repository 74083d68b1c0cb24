Feature: A group's state is what its log says

  Scenario: What a leader decided as it was deposed is undone
    Given a group whose leader has committed all that it decided
    When it hears of a next term, and decides once more before its turn
    Then its state is that of the committed log

  Scenario: A disk that refuses to write lets nothing out until it writes
    Given a follower whose disk refuses the next 2 writes
    When it is sent entries and takes 3 turns
    Then it answers only after the third, once
    And its journal holds each entry once

  Scenario: A peer that lags costs a bounded number of entries
    Given a leader with 2000 entries that a peer lacks
    When the peer answers 100 appends that did not join on
    Then fewer than 600 entries were sent again
    And the peer has them all after answering each

  Scenario Outline: A process that is gone is replaced, <case>
    Given an open group of three hosts
    When <case>
    Then three live voters lead on, and the gone one is none of them

    Examples:
      | case                                                    |
      | a host loses its disk and comes back                    |
      | a host is gone for good and one at another address comes |

  Scenario: A host that was removed while it was cut off joins again
    Given an open group of three hosts
    When a host is cut off, replaced, and reached again
    Then it is a member again

  Scenario: A leader sends entries before its own sync, not its commit
    Given a group with a disk whose leader has decided something
    When it carries out its turn with both peers silent
    Then its entries left before it synced
    And nothing of it counts as committed

  Scenario: A leader that others can do without syncs a moment later
    Given a group with a disk whose leader has decided something
    When it carries out its turn with both peers answering
    Then its entries left and it has not synced
    And what one peer holds is not committed, and what both hold is
    And it has synced 0.3 seconds later

  Scenario: A follower answers only after its sync
    Given a group with a disk that follows
    When it takes an entry from its leader
    Then its answer left after it synced

  Scenario: A question that binds nobody leaves before the commit
    Given a group with a disk whose leader has decided something
    And it has a question to ask and an answer to give
    When it carries out its turn with both peers answering
    Then the question has left and the answer has not

  Scenario: What was decided before a pause leaves once the lease holds again
    Given a group with a disk whose leader has decided something
    And it has a question to ask and an answer to give
    When it carries out its turn with both peers answering
    And it pauses, and late answers of its peers commit the turn
    Then the question has left and the answer has not
    And the answer leaves once they answer its heartbeat
