@fixture.platform_cell
Feature: A cell of real processes as the platform runs it

  Scenario: Nothing is served before the first configuration
    Then a job submitted at an entry is answered 503
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

  Scenario: A job is completed and shown by every entry
    When a job of 3 tasks is submitted at one entry
    Then every entry shows it as "completed" in the end
    And its tasks ran once each

  Scenario: Invalid requests are refused, and the entry keeps serving
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

  Scenario: Odd messages are refused at once, and end no process
    When a worker, an operator and a caller send each odd message
    Then each was answered with a status from 400 to 422 within 1 second
    And no process has ended, lost its leader or logged an error
    And a job of 2 tasks is still completed

  Scenario: Heartbeats that contradict sound workers end none of their runs
    When a job of 6 tasks runs, and each worker's heartbeats are contradicted
    Then those of an unknown service were answered 400, the others 200
    And no process has ended, lost its leader or logged an error
    And the job is completed, and each of its tasks ran once

  Scenario: A job of as many tasks as are allowed costs the cell no leader
    When a job of 10000 small tasks is submitted and cancelled
    Then no process has ended, lost its leader or logged an error
    And a job of 2 tasks is still completed

  Scenario: A leader that is paused for seconds does nothing on what it was allowed before
    When the leader is paused for 3 seconds while 6 jobs of 3 tasks are submitted
    Then all of them are completed, and each of their tasks ran once
    And the paused process gave no order after it woke up

  Scenario: A cancelled job stops
    When a job that takes long is submitted and cancelled
    Then it is shown as "cancelled" and none of its tasks runs

  Scenario: The leader is killed while a job runs
    When the leader is killed while a job of 2 tasks runs
    Then the job is shown as "completed" in the end
    And its tasks ran once each

  Scenario: All schedulers are killed at once
    When all schedulers are killed while a job of 2 tasks runs, and restarted
    Then the job is shown as "completed" in the end
    And the configuration of version 3 is still in force

  Scenario: An entry that receives SIGTERM becomes unready before it stops
    When an entry receives SIGTERM
    Then it is not ready, still answers, and exits with status 0

  Scenario: A stopping entry drops requests behind its last response
    When 3 requests are sent at once on a connection to a stopping entry
    Then each has a complete answer, and then the connection is closed

  Scenario: A stopping entry answers 500 while no scheduler answers it
    When no scheduler answers the last request to a stopping entry
    Then it is answered 504, and the entry exits with status 0 in time

  Scenario: A leader that receives SIGTERM hands over its leadership
    When the leader receives SIGTERM
    Then another host leads before the process has ended

  Scenario: The log shows a job's events under its id
    When a job of 1 tasks is submitted at one entry
    Then the log lines with its id show "accepted", "placed" and "job over"
    And every line of every process is a JSON object

  Scenario: Schedulers and entries export metrics
    Then the metrics of a scheduler count "accepted" and "placed"
    And the metrics of an entry include its answer times

  Scenario: SIGHUP ends a process that is starting or exiting
    When processes receive SIGHUP while they load, serve and exit
    Then they serve, and exit with status 0 after SIGTERM

  Scenario: An entry that receives SIGHUP while it starts keeps running
    When an entry receives SIGHUP 0.2 seconds after it was started
    Then it serves callers in the end

  Scenario: A request in progress when an entry ends is answered 504
    When an entry receives a job 2 seconds after SIGTERM, while all schedulers are paused
    Then the job is answered 504

  @fixture.restarting_workers
  Scenario: A restarted worker that takes a late renewal runs no task twice
    Given 12 workers run tasks of 15 to 30 seconds, and short ones that leave half of them free
    When a third of the workers crash, are back 0.6 seconds later and take a late renewal
    And they are cut off for longer than a lease while tasks run there
    Then no task ran twice at the same time, or again after its end was acknowledged

  Scenario: A cancel that overtakes its job on the way through a paused entry holds
    When 5 jobs are sent to an entry that is paused for 3.5 seconds, and cancelled at another one
    Then the cancels were answered 410, and none of the jobs has run or is known

  Scenario: A job that waited past its deadline in a paused entry does not run
    When 5 jobs with a deadline of 1 second are sent to an entry that is paused for 3.5 seconds
    Then the entry has refused them as not run, and none of the jobs has run or is known
    And the entry accepts a job that is sent now

  Scenario: A cancel that overtakes its job holds when all schedulers are killed
    When 5 unknown jobs are cancelled, and all schedulers are killed and restarted
    Then the jobs are answered 503 when they arrive, and none of them has run or is known

  @fixture.slow_stops
  Scenario: Tasks of jobs that are cancelled together stop in time, and no other task lapses
    Given a long-running job of 16 tasks, and 30 jobs of 10 small tasks each, on 3 workers that take 0.35 seconds for a stop
    When the 30 jobs are cancelled at the same moment
    Then none of their tasks runs 3.4 seconds after its cancel was acknowledged
    And all tasks of the long-running job still run
    And no worker had more than 64 connections
