Feature: A cell's decisions, with orders that get lost, late and doubled

  Scenario Outline: Random faults break no promise, seed <seed>
    When a cell is played with faults from seed <seed>
    Then no task ran twice, out of order, over its attempts or over capacity
    And every accepted job is over after a calm time

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |

  Scenario Outline: Random faults break no promise with long leases, <seed>
    When a cell with leases of 10 s is played with faults from seed <seed>
    Then no task ran twice, out of order, over its attempts or over capacity
    And every accepted job is over after a calm time

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |

  Scenario: A start without an answer is repeated and runs once
    Given a cell whose orders are carried out without an answer
    When a job of 3 tasks is handed in and time passes
    Then each of its tasks ran once

  Scenario: A target that leaves a start unanswered gets nothing new
    Given a cell of one target that is cut off
    When a job of 1 tasks is handed in and a second passes
    Then the target is in doubt
    And another job is not placed there

  Scenario: Tasks of a target that is cut off run elsewhere after its lease
    Given a cell of one target
    When it is cut off with a task running and another target comes
    Then the task runs elsewhere, after the lease

  Scenario: A target that comes back under its name runs nothing of before
    Given a cell of one target
    When it crashes with a task running and starts again
    Then the task runs again in the new life

  Scenario: A next leader takes up what runs
    Given a cell of one target
    When the leader changes with a task running
    Then the task runs on and is done once

  Scenario: A target that comes long after the leader is taken in
    Given a cell without targets that has been led for a minute
    When a target comes and a job of 1 tasks is handed in
    Then each of its tasks ran

  Scenario: A report of an earlier life that comes late changes nothing
    Given a cell of one target
    When it crashes and starts again, and a report of before comes late
    Then only the new life is known

  Scenario: The members of a gang start in one turn or not at all
    Given a cell of one target
    When a gang of more than fits beside other work is handed in
    Then all its members start in the same turn

  Scenario: A job that can never fit is refused at once
    Given a cell of one target
    When a gang of more than the cell can hold is handed in
    Then it is refused with NEVER_FITS

  Scenario: A resend gets the answer of the first
    Given a cell of one target
    When a job is handed in twice
    Then it is one job, accepted twice

  Scenario: A cancelled job starts nothing more and stops what runs
    Given a cell of one target
    When a job is cancelled while it runs
    Then nothing of it runs a second later

  Scenario: A cell's state survives its snapshot
    When a cell is played with faults from seed 9
    Then its snapshot builds the same state

  Scenario: A target on which jobs fail one after the other is set aside
    Given a cell of one target
    When jobs that fail are handed in
    Then the target is set aside

  Scenario: A task behind a cut that heals soon goes on, where leases are long
    Given a cell of one target that takes leases of 10 s
    When it is cut off for 6 seconds with a task running
    Then each of its tasks ran once, and is done when the cut heals

  Scenario: A target with a lasting task gets a short lease
    Given a cell of one target that takes leases of 10 s
    When a lasting task is handed in
    Then its lease is 4 seconds, that of an empty one 8.5

  Scenario: A next leader waits for the longest lease of a target out of reach
    Given a cell of one target that takes leases of 10 s
    When it is cut off with a task running and the leader changes
    Then no task runs twice at a time, and it runs elsewhere in the end

  Scenario: A start that never left the leader is sent again
    Given a cell of one target
    When a job of 3 tasks is handed in and all that leaves the leader is lost for a second
    Then each of its tasks ran once
