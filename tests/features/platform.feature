@fixture.platform_cell
Feature: A cell of real processes as the platform runs it

  Scenario: Nothing is served before the first configuration
    Then a job handed in is answered 503 with a time to come back
    And a read of the configuration is answered 503

  Scenario: Invalid configurations are refused
    Then these configurations are answered 400
      | fault                |
      | unreadable           |
      | unknown service      |
      | same place twice     |
      | no timeout           |
      | no version           |

  Scenario: A configuration is acknowledged and read back as it was sent
    When the configuration of version 3 is sent
    Then every scheduler shows it as it was sent
    And an older one is acknowledged and changes nothing

  Scenario: A job is done and shown by every entry
    When a job of 3 tasks is handed in at one entry
    Then every entry shows it as "completed" in the end
    And its tasks ran once each

  Scenario: Bad input is refused, and the process goes on
    Then these requests are answered with these statuses
      | request            | status |
      | unreadable job     | 400    |
      | job without steps  | 400    |
      | negative size      | 400    |
      | id that is no id   | 400    |
      | unknown queue      | 404    |
      | unknown job        | 410    |
      | unreadable beat    | 400    |
      | beat of no state   | 400    |
    And the entry still answers

  Scenario: A cancelled job stops
    When a job that takes long is handed in and cancelled
    Then it is shown as "cancelled" and none of its tasks runs

  Scenario: The leader is killed while a job runs
    When the leader is killed while a job of 2 tasks runs
    Then the job is shown as "completed" in the end
    And its tasks ran once each

  Scenario: All schedulers are killed at once
    When all schedulers are killed while a job of 2 tasks runs, and start again
    Then the job is shown as "completed" in the end
    And the configuration of version 3 is still in force

  Scenario: An entry that is told to stop sends callers elsewhere first
    When an entry is told to stop
    Then it is not ready, still answers, and ends well

  Scenario: A leader that is told to stop hands over
    When the leader is told to stop
    Then another leads before its process has ended

  Scenario: The log leads from a job's id to what became of it
    When a job of 1 tasks is handed in at one entry
    Then the lines with its id tell of "accepted", "placed" and "job over"
    And every line of every process is a JSON object

  Scenario: Every process shows its metrics
    Then the metrics of a scheduler count "accepted" and "placed"
    And the metrics of an entry tell the time of its answers
