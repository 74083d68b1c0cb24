"""A leader's events that are neither submissions nor target announcements.

These are its election, the passing of time, cancellations, drained targets,
and entries that connect and disconnect.
"""

import heapq

from daisygw.contracts import (
    Cancel,
    Drain,
    Job,
    JobPurged,
    OrderRejected,
    RefusalsCounted,
    ResultCode,
    SchedulerResponse,
    TaskKey,
    TaskReport,
    TaskState,
)
from daisygw.machines import TargetDrained
from daisygw.zones._announcements import adopt_leases, expire_leases
from daisygw.zones._attempts import on_task_report
from daisygw.zones._leader import (
    DomainLeader,
    leased_tasks,
    record,
    schedule_purge,
    send_to_entry,
)
from daisygw.zones._orders import send_stop
from daisygw.zones._placement import place_waiting
from daisygw.zones._queue import end_queued, park, wait

# Interval at which leases, deadlines and kept outcomes are checked.
_SWEEP_INTERVAL_S = 0.25


def start_leading(lead: DomainLeader) -> None:
    """Build a new leader's working state: leases, queues and deadlines."""
    adopt_leases(lead)
    for job in list(lead.replicated.job_registry.jobs.values()):
        _adopt_waiting(lead, job)


def _adopt_waiting(lead: DomainLeader, job: Job) -> None:
    if job.open == 0:
        schedule_purge(lead, job)
        return
    queued = [
        task.index for task in job.tasks if task.state is TaskState.QUEUED
    ]
    if queued:
        wait(lead, job, queued)
    if job.contract.deadline:
        due = (lead.now + job.contract.deadline, job.contract.id)
        heapq.heappush(lead.deadlines, due)


def advance_clock(lead: DomainLeader, now: float, wall: int) -> None:
    """Set the clock and end what is due by then.

    ``now`` is monotonic (s), ``wall`` since the epoch (ms); ``wall`` never
    goes back.
    """
    lead.now = now
    lead.wall = max(wall, lead.wall)
    if now < lead.sweep_due:
        return
    lead.sweep_due = now + _SWEEP_INTERVAL_S
    expire_leases(lead)
    _end_expired_jobs(lead)
    _purge_ended_jobs(lead)
    _record_refusals(lead)


def finish_turn(lead: DomainLeader) -> None:
    """Place waiting tasks; called once the events of a turn are handled."""
    place_waiting(lead)


def _end_expired_jobs(lead: DomainLeader) -> None:
    jobs = lead.replicated.job_registry.jobs
    while lead.deadlines and lead.deadlines[0][0] <= lead.now:
        _, name = heapq.heappop(lead.deadlines)
        job = jobs.get(name)
        if job and job.open:
            end_queued(lead, job, ResultCode.DEADLINE_PASSED)
    for name, until in list(lead.parked.items()):
        job = jobs.get(name)
        if job is None or lead.now >= until:
            lead.parked.pop(name)
            if job:
                end_queued(lead, job, ResultCode.CALLER_GONE)


def _purge_ended_jobs(lead: DomainLeader) -> None:
    while lead.ended and lead.ended[0][0] <= lead.now:
        _, name = heapq.heappop(lead.ended)
        lead.serving_entries.pop(name, None)
        record(lead, JobPurged(name))


def _record_refusals(lead: DomainLeader) -> None:
    for (team, code), count in lead.refusals.items():
        record(lead, RefusalsCounted(team, code, count))
    lead.refusals.clear()


def on_cancel(lead: DomainLeader, cancel: Cancel, entry: str) -> None:
    """Cancel several jobs; the cost depends only on how many are named."""
    unknown = 0
    for name in cancel.jobs:
        job = lead.replicated.job_registry.jobs.get(name)
        if job is None:
            unknown += 1
            continue
        end_queued(lead, job, ResultCode.CANCELLED)
        for index in leased_tasks(job):
            _stop_task(lead, job, index)
    code = ResultCode.ACCEPTED
    if unknown == len(cancel.jobs):
        code = ResultCode.UNKNOWN_JOB
    reason = f'{len(cancel.jobs) - unknown} cancelled, {unknown} unknown'
    send_to_entry(lead, entry, SchedulerResponse(cancel.seq, code, reason))


def _stop_task(lead: DomainLeader, job: Job, index: int) -> None:
    task = job.tasks[index]
    key = TaskKey(job.contract.id, index)
    outstanding = lead.orders[key]
    outstanding.stopping = ResultCode.CANCELLED_RUNNING
    send_stop(lead, key, task.attempt, task.target, outstanding.stopping)


def on_drain(lead: DomainLeader, drain: Drain, entry: str) -> None:
    """Stop or resume placing tasks on a target."""
    if drain.target not in lead.replicated.workers.by_name:
        answer = SchedulerResponse(
            drain.seq, ResultCode.UNKNOWN_TARGET, drain.target
        )
        send_to_entry(lead, entry, answer)
        return
    record(lead, TargetDrained(drain.target, drain.drained))
    send_to_entry(
        lead, entry, SchedulerResponse(drain.seq, ResultCode.ACCEPTED)
    )


def on_order_rejected(
    lead: DomainLeader, rejected: OrderRejected, entry: str
) -> None:
    """Handle an entry's message that it no longer serves a job's callers.

    That entry did not send the order for this attempt to the target.
    """
    name = rejected.key.job
    lead.serving_entries.get(name, set()).discard(entry)
    report = TaskReport(rejected.key, rejected.attempt, ResultCode.NOT_STARTED)
    on_task_report(lead, report, entry)
    if not lead.serving_entries.get(name) and name in lead.lanes.where:
        park(lead, name)


def entry_connected(lead: DomainLeader, entry: str) -> None:
    """Record that an entry has connected to this leader.

    It may have restarted: then it does not know which orders it has sent.
    """
    lead.entries[entry] = None
    for outstanding in lead.orders.values():
        if entry in outstanding.entries:
            outstanding.sender_unknown = True


def entry_disconnected(lead: DomainLeader, entry: str) -> None:
    """Record that an entry has disconnected; park jobs it alone served."""
    lead.entries.pop(entry, None)
    for name, serving_entries in lead.serving_entries.items():
        if entry not in serving_entries:
            continue
        serving_entries.discard(entry)
        job = lead.replicated.job_registry.jobs.get(name)
        if not serving_entries and job and name in lead.lanes.where:
            park(lead, name)
