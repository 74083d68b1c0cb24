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
