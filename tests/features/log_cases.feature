Feature: Known hard cases of the replicated log

  Each scenario but the first fails when the rule that it tests is removed.
  The first does not: a leader sends its own first entry along with earlier
  ones, so that no follower acknowledges the earlier ones alone.

  Background:
    Given a group of three replicas

  Scenario: An entry of an earlier term is not committed by counting holders
    When an entry of term 2 is on two of three replicas, and one of them leads a later term
    Then it is not committed before an entry of the later term is

  Scenario: A replica cut off from the leader does not depose it while a majority hears it
    When the link between the leader and a or b is cut for many election timeouts
    Then the leader and the term stay as they were

  Scenario: A voter that restarts grants no vote while a lease may run
    When the voter that acknowledged the leader restarts, cut off from it
    Then at no time did two replicas hold a leader lease

  Scenario: A leader that hands over gives up its lease first
    When the tie-breaker leads and hands over, and is then cut off from the next leader
    Then at no time did two replicas hold a leader lease

  Scenario: Replaced entries stay replaced after a restart
    When a cut-off leader's entries are replaced, and it restarts from its disk
    Then every replica holds the same committed records
