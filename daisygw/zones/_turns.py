"""A leader's turns: its beginning, the passing of time, cancellations."""

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
from daisygw.zones._leader import (
    DomainLeader,
    keep_until,
    leased_tasks,
    record,
    send_message,
)
from daisygw.zones._orders import give_stop
from daisygw.zones._placing import place_waiting
from daisygw.zones._queue import end_queued, park, wait
from daisygw.zones._settle import on_report
from daisygw.zones._watch import rebuild_orders, sweep_leases

# How often leases, deadlines and outcomes are looked over, s.
_SWEEP_EVERY = 0.25


def initialize_leader(lead: DomainLeader) -> None:
    """Take over the replicated state: adopt leases, queue what waits."""
    rebuild_orders(lead)
    for job in list(lead.replicated.job_registry.jobs.values()):
        _adopt(lead, job)


def _adopt(lead: DomainLeader, job: Job) -> None:
    if job.open == 0:
        keep_until(lead, job)
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
    """Move the clock: ``now`` monotonic (s), ``wall`` since epoch (ms)."""
    lead.now = now
    lead.wall = max(wall, lead.wall)
    if now < lead.sweep_due:
        return
    lead.sweep_due = now + _SWEEP_EVERY
    sweep_leases(lead)
    _expire(lead)
    _forget(lead)
    _tally(lead)


def finish_turn(lead: DomainLeader) -> None:
    """Place what the events of this turn made possible."""
    place_waiting(lead)


def _expire(lead: DomainLeader) -> None:
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


def _forget(lead: DomainLeader) -> None:
    while lead.ended and lead.ended[0][0] <= lead.now:
        _, name = heapq.heappop(lead.ended)
        lead.holders.pop(name, None)
        record(lead, JobPurged(name))


def _tally(lead: DomainLeader) -> None:
    for (team, code), count in lead.refusals.items():
        record(lead, RefusalsCounted(team, code, count))
    lead.refusals.clear()


def on_cancel(lead: DomainLeader, cancel: Cancel, entry: str) -> None:
    """Cancel a wave of jobs; the cost is that of the jobs named."""
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
    send_message(lead, entry, SchedulerResponse(cancel.seq, code, reason))


def _stop_task(lead: DomainLeader, job: Job, index: int) -> None:
    task = job.tasks[index]
    key = TaskKey(job.contract.id, index)
    ordered = lead.orders[key]
    ordered.stopping = ResultCode.CANCELLED_RUNNING
    give_stop(lead, key, task.attempt, task.target, ordered.stopping)


def on_drain(lead: DomainLeader, drain: Drain, entry: str) -> None:
    """Close a target to new work, or open it again."""
    if drain.target not in lead.replicated.workers.by_name:
        answer = SchedulerResponse(
            drain.seq, ResultCode.UNKNOWN_TARGET, drain.target
        )
        send_message(lead, entry, answer)
        return
    record(lead, TargetDrained(drain.target, drain.drained))
    send_message(lead, entry, SchedulerResponse(drain.seq, ResultCode.ACCEPTED))


def on_order_rejected(
    lead: DomainLeader, abandoned: OrderRejected, entry: str
) -> None:
    """Give a job's orders to this entry no more; its order never left."""
    name = abandoned.key.job
    lead.holders.get(name, set()).discard(entry)
    report = TaskReport(
        abandoned.key, abandoned.attempt, ResultCode.NOT_STARTED
    )
    on_report(lead, report, entry)
    if not lead.holders.get(name) and name in lead.lanes.where:
        park(lead, name)


def entry_connected(lead: DomainLeader, entry: str) -> None:
    """Note an entry that is connected to this leader."""
    lead.entries[entry] = None


def entry_disconnected(lead: DomainLeader, entry: str) -> None:
    """Note that an entry is gone, and park what only it held."""
    lead.entries.pop(entry, None)
    for name, holders in lead.holders.items():
        if entry not in holders:
            continue
        holders.discard(entry)
        job = lead.replicated.job_registry.jobs.get(name)
        if not holders and job and name in lead.lanes.where:
            park(lead, name)
