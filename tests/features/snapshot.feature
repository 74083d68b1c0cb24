Feature: A cell restored from a snapshot continues as the cell would have

  Scenario Outline: Snapshots at random points change nothing, seed <seed>
    When 150 random sequences of records are applied from seed <seed>, to one cell that is restored from a snapshot after each record and to one that is not
    Then both cells have the same state at each point
    And the records have changed each field of the state

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: A gang run that fails once counts once across a snapshot
    Given a cell with a gang of 2 tasks whose job may fail twice
    When both tasks of its first run fail, with a snapshot restored in between
    Then the job has not failed

  Scenario: A step snapshot from a version without the newest failed run
    When a step snapshot without its last field is decoded
    Then the field has its default

  Scenario: A job whose queue is removed fails only after all its attempts
    Given a cell with a gang of 1 tasks whose job may fail twice
    When its queue is removed, a snapshot is restored, and its first run fails
    Then the job has not failed
    And it has failed after another failed run

  Scenario: A replica that cannot read a committed entry asks for a snapshot
    Given a group of three replicas whose third cannot read one entry
    When the entry is committed, and 20 others after it
    Then the third replica has the state of the others, and has logged the entry
    And it did not lead or apply a later entry before it had the snapshot

  Scenario: A replica that cannot read an entry does not lead
    Given a group of three replicas whose third cannot read one entry
    When the entry is committed, and the two others fall silent
    Then the third replica does not become a candidate

  Scenario: A committed record that cannot be applied changes no replica
    Given a group of three replicas whose third cannot read one entry
    When a record that no state machine can apply is committed, and 3 others
    Then all replicas have the state of the 3 others, and have logged the record
