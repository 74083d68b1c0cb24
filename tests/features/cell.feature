Feature: A cell's decisions when orders are lost, delayed or repeated

  Scenario Outline: Random faults violate no invariant, seed <seed>
    When a cell runs with random faults from seed <seed>
    Then no task ran twice, out of order, over its attempts or over capacity
    And every accepted job has ended after a time without faults
    And a replica that applied the log has the leader's state

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

  Scenario Outline: Random faults violate no invariant with long leases, seed <seed>
    When a cell with leases of 10 s runs with random faults from seed <seed>
    Then no task ran twice, out of order, over its attempts or over capacity
    And every accepted job has ended after a time without faults
    And a replica that applied the log has the leader's state

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |

  Scenario Outline: Random faults violate no invariant with ends in pages, seed <seed>
    When a cell whose targets list 2 ends a reply runs with random faults from seed <seed>
    Then no task ran twice, out of order, over its attempts or over capacity
    And every accepted job has ended after a time without faults
    And a replica that applied the log has the leader's state

    Examples:
      | seed |
      | 21   |
      | 22   |
      | 23   |
      | 24   |

  Scenario: Ends beyond the first page of a target's reply are not taken for lost runs
    Given a cell of one target that accepts leases of 10 s
    When it is cut off while 600 small tasks end there
    Then no task started again after it was done, and the job has ended

  Scenario: The next leader waits for the last page of a target's ended runs
    Given a cell of one target that accepts leases of 10 s
    When it is cut off while 600 small tasks end there, and the leader changes
    Then no task started again after it was done, and the job has ended

  Scenario: A start without an answer is repeated and runs once
    Given a cell that loses most orders or their answers
    When a job of 3 tasks is submitted and time passes
    Then each of its tasks ran once

  Scenario: A target that leaves a start unanswered gets nothing new
    Given a cell of one target that is cut off
    When a job of 1 tasks is submitted and its first starts stay unanswered
    Then the target is suspected
    And another job is not placed there

  Scenario: Tasks of a target that is cut off run elsewhere after its lease
    Given a cell of one target
    When it is cut off with a task running and another target joins
    Then the task runs elsewhere, after its lease has expired

  Scenario: A restarted target runs its lost task again on the new instance
    Given a cell of one target
    When it crashes with a task running and restarts
    Then the task runs again on the new instance

  Scenario: The next leader keeps what already runs
    Given a cell of one target
    When the leader changes with a task running
    Then the task keeps running and ends once

  Scenario: A target that joins long after the leader started gets work
    Given a cell that has had a leader but no targets for a minute
    When a target joins and a job of 1 tasks is submitted
    Then each of its tasks ran

  Scenario: A late report of an earlier instance changes nothing
    Given a cell of one target
    When it restarts after a crash, and a report of the old instance arrives late
    Then only the new instance is known

  Scenario Outline: A wrong report ends no run of the target that it contradicts, <what>
    Given a cell of one target that accepts leases of 10 s
    When a report <what> arrives while its task runs
    Then the answer to the report has code <code>
    And the task keeps running and ends once
    And the target starts another task within 1 s

    Examples:
      | what                                                | code |
      | of an unknown service at its address                | 212  |
      | of another name at its address                      | 101  |
      | of a later start at its address                     | 101  |
      | of a later start at an address that does not answer | 101  |
      | of the same start at another address                | 213  |
      | of the same start with an unknown service           | 213  |

  Scenario Outline: A wrong report does not keep the next leader from what runs, <what>
    Given a cell of one target that accepts leases of 10 s
    When a report <what> arrives while its task runs, and the leader changes
    Then the task keeps running and ends once

    Examples:
      | what                                                |
      | of another name at its address                      |
      | of a later start at its address                     |
      | of a later start at an address that does not answer |

  Scenario: A target drains although a wrong report has its name
    Given a cell of one target
    When a report of a later start at an address that does not answer arrives while its task runs
    And the target drains
    Then it is closed to new work

  Scenario: A target is used although the first report about it was wrong
    Given a cell of one target
    When a report with a wrong address arrives before the first one of another target
    Then the other target is listed at its own address within 1 s

  Scenario: Nothing is started on an instance while another one disputes it
    Given a cell of one target
    When it is cut off, and a report of a later start at its address arrives
    Then no start is sent to either before one of them has answered

  Scenario: The members of a gang start in one turn or not at all
    Given a cell of one target
    When a gang that does not fit beside other work is submitted
    Then all its members start in the same turn

  Scenario: A job that can never fit is refused at once
    Given a cell of one target
    When a gang larger than the cell is submitted
    Then it is refused with NEVER_FITS

  Scenario: A resent job gets the same answer and runs once
    Given a cell of one target
    When a job is submitted again after a change of the leader
    Then it is one job, accepted twice

  Scenario: A cancelled job starts nothing more and stops what runs
    Given a cell of one target
    When a job is cancelled while it runs
    Then none of its tasks runs a second later

  Scenario: A cell's state survives its snapshot
    When a cell runs with random faults from seed 9
    Then a cell rebuilt from its snapshot has the same state

  Scenario: A target whose jobs keep failing is quarantined
    Given a cell of one target
    When jobs that fail are submitted
    Then the target is quarantined

  Scenario: A task survives a short cut when leases are long
    Given a cell of one target that accepts leases of 10 s
    When it is cut off for 6 seconds with a task running
    Then each of its tasks ran once, and has ended when the cut heals

  Scenario: A target that reports but answers no renewal for a while keeps its task
    Given a cell of one target that accepts leases of 10 s
    When it answers no renewals for 6 seconds, but reports, with a task running
    Then each of its tasks ran once, and has ended when the cut heals

  Scenario: A target whose reports stay away keeps its tasks
    Given a cell of one target that accepts leases of 10 s
    When it sends no reports for 60 seconds while it answers renewals
    Then each of its tasks ran once, and has ended when the cut heals

  Scenario: A target with a lasting task gets a short lease
    Given a cell of one target that accepts leases of 10 s
    When a lasting task is submitted
    Then its lease is 4 seconds, that of an idle one 8.5

  Scenario: The next leader waits for the longest lease of an unreachable target
    Given a cell of one target that accepts leases of 10 s
    When it is cut off with a task running and the leader changes
    Then no task runs twice at a time, and it ends elsewhere

  Scenario: A start that was lost on its way out of the leader is sent again
    Given a cell of one target
    When a job of 3 tasks is submitted and all orders of the leader are lost for a second
    Then each of its tasks ran once

  Scenario Outline: An accepted job ends although its queue is removed, <case>
    Given a cell of one target
    When the queue of a job of two steps is removed while its first step runs
    And <case>
    Then both steps of the job are completed, and its queue accepts no other

    Examples:
      | case                      |
      | the leader stays          |
      | the leader changes        |
      | the leader changes twice  |

  Scenario: A checkpoint that a target lists is used after the target is lost
    Given a cell of one target
    When a gang that saves checkpoints loses its target and another one joins
    Then its next run starts from the checkpoint that was listed last
    And a replica that applied the log has the leader's state

  Scenario: A gang resumes from the checkpoint of the member that ended last
    Given a cell of one target
    When one member of a gang ends with a newer checkpoint than a lost one
    Then its next run starts from the newer checkpoint
    And a replica that applied the log has the leader's state

  Scenario: Advice that an earlier leader asked for denies nothing to the next
    Given a cell of one target
    When the leader changes during a call, whose answer reaches the next leader
    Then each of its tasks ran

  Scenario: A step that waits long is logged with what it lacks
    Given a cell of 6 targets
    When a gang of 9 tasks is submitted, and 8 fit on its approved targets
    Then 7 s later it was logged twice, with room for 8 of 9 tasks

  Scenario: A start that stays unconfirmed is logged
    Given a cell of one target that is cut off
    When a job of 1 tasks is submitted and its first starts stay unanswered
    Then 3 s later its start was logged as unconfirmed, once

  Scenario: A step that fits starts behind 64 more urgent ones that do not
    Given a cell of 6 targets
    When 64 gangs wait that do not fit on their approved targets
    And a less urgent job of 1 tasks is submitted
    Then the less urgent job starts within 1 s

  Scenario: More steps than one placement pass looks at all get their turn
    Given a cell of 6 targets
    When 64 gangs wait that do not fit on their approved targets
    And 60 less urgent jobs are submitted
    Then all less urgent jobs start within 3 s

  Scenario: Advice for an earlier leader is not taken for another step's
    Given a cell of one target
    When the leader changes while the advisor is asked about a step
    And the advisor denies the target to that step, after the next leader asked about another
    Then the other step's job ends within 5 s

  Scenario: A gang with a refused member is free before the next renewal
    Given a cell of 6 targets that wait 2 seconds for an end
    When a gang starts on three targets, and one leaves its start unanswered
    And that target then refuses the start for its ticket
    Then all members of the gang are over within 0.3 s
    And the gang ends within 15 s

  Scenario: A target that refuses every start is not chosen again at once
    Given a cell of 2 targets without an advisor
    When a job of 2 tasks is submitted, and the target tried first has no room
    Then the job ends within 5 s
    And at most 4 starts were refused

  Scenario: A gang is not placed again on a target that refuses its starts
    Given a cell of 4 targets without an advisor
    When a gang is submitted, and a target that it is placed on has no room
    Then the job ends within 8 s
    And at most 8 starts were refused

  Scenario: Jobs that fail everywhere do not close all targets
    Given a cell of 6 targets
    When 12 jobs of 6 tasks that fail have run
    And a less urgent job of 1 tasks is submitted
    Then the less urgent job starts within 0.5 s

  Scenario: A target that answers renewals but no orders keeps a task for 3 s at most
    Given a cell of 3 targets without an advisor, and leases of 10 s
    When a job of 1 tasks is submitted, and its target answers no orders
    Then the job ends within 4.5 s

  Scenario: A gang's run fails once, also on a replica that read a snapshot
    Given a cell of 6 targets
    When one of a gang's members fails, a replica reads a snapshot, and another member fails
    Then the gang has failed once on each replica

  Scenario: A step that waits follows its queue to another service
    Given a cell of one target
    When a job waits for room, and its queue moves to a service with a free target
    Then the waiting job ends within 5 s

  Scenario: A queue loses its advisor while a call about one of its steps is open
    Given a cell of one target
    When the advisor is asked about a step that lacks room, and its queue then has none
    Then the waiting job ends within 8 s

  Scenario: A step whose queue has moved does not start on the earlier service
    Given a cell of one target
    When a job has a ticket, its queue moves, and the ticket's target has room again
    Then the waiting job does not start within 2 s

  Scenario: A gang starts although the calls to the advisor wait longer than a ticket is used
    Given a cell of 3 targets
    And 2 more targets that the advisor denies
    When a gang waits for 4 targets that it may use, and has approvals for 2
    And calls to the advisor wait 1.4 s behind others, and 2 more such targets join
    Then the waiting job starts within 6 s

  Scenario Outline: A job placed on a target that does not answer counts as waiting, <what>
    Given a cell of one target that accepts leases of 10 s
    When a job is placed on the target, <what>
    Then the job is shown as queued, and its queue counts one job, for 8 s
    And a cell rebuilt from its snapshot has the same state

    Examples:
      | what                                      |
      | which has crashed                         |
      | which is cut off                          |
      | which leaves orders unanswered            |
      | which has crashed, and the leader changes |

  Scenario Outline: A job does not count as waiting any more once a target has started a task, <what>
    Given a cell of one target that accepts leases of 10 s
    When a job starts on the target, <what>
    Then the job is shown as running, and its queue counts no job
    And a cell rebuilt from its snapshot has the same state

    Examples:
      | what                                             |
      | which answers                                    |
      | which lists it without having answered the start |
      | which then crashes                               |
      | which then crashes, and the leader changes       |

  Scenario Outline: A cancel that overtakes its job holds when the job arrives, <when>
    Given a cell of one target
    When a job is cancelled before it is known, and arrives <when>
    Then the cancel was answered with UNKNOWN_JOB, and the job is refused with CANCELLED
    And the job has run nowhere
    And a cell rebuilt from its snapshot has the same state

    Examples:
      | when                                   |
      | at once                                |
      | 4 s later                              |
      | twice                                  |
      | after a change of the leader           |
      | after two changes of the leader        |
      | in a configuration without its queue's advisor |

  Scenario: A cancel of an unknown job holds for 120 s
    Given a cell of one target
    When a job is cancelled before it is known, and arrives 121 s later
    Then the job is accepted, and no cancel is kept

  Scenario: A cancel of an unknown job holds for its customer only
    Given a cell of one target whose customers are acme and beta
    When beta cancels a job that is not known, and acme submits it
    Then the job is accepted

  Scenario: A cancel that cannot be noted is refused
    Given a cell of one target that has 100 customers
    When a customer cancels 1000 unknown jobs, and another one
    Then the last cancel is refused with OVERLOADED, to be sent again
    And a cancel of another customer is noted

  Scenario: A job that was accepted and cancelled stays cancelled when it arrives again
    Given a cell of one target
    When a job is cancelled while it runs, and arrives again
    Then the job is accepted as before, and shown as cancelled

  Scenario: A job whose deadline has passed is refused, unless it was accepted before
    Given a cell of one target
    When a job arrives overdue, then in time, and then overdue again
    Then the answers are DEADLINE_PASSED, ACCEPTED and ACCEPTED, and it has run once
