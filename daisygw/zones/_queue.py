"""Queueing of tasks: waiting in a lane, parking, and ending."""

from collections.abc import Iterable

from daisygw.contracts import (
    Contract,
    Job,
    Kind,
    QueuedTasks,
    ResultCode,
    TaskEnded,
    TaskKey,
    TaskSettled,
    TaskState,
    enqueue,
    expected_run_time,
    remove_job,
)
from daisygw.zones._leader import (
    DomainLeader,
    record,
    schedule_purge,
    send_to_serving_entries,
)


def has_serving_entry(lead: DomainLeader, contract: Contract) -> bool:
    """Tell whether some entry can send the job's orders.

    Every entry can send those of a service.
    """
    if contract.kind is Kind.SERVICE:
        return True
    return bool(lead.serving_entries.get(contract.id))


def wait(lead: DomainLeader, job: Job, indexes: Iterable[int]) -> None:
    """Queue tasks in their lane, or park the job if no entry serves it."""
    contract = job.contract
    if not has_serving_entry(lead, contract):
        park(lead, contract.id)
        return
    run = expected_run_time(lead.replicated.job_registry, contract)
    lane = lead.lane_of(contract, run)
    enqueue(
        lead.lanes, lane, QueuedTasks(contract, run, lead.now), iter(indexes)
    )


def park(lead: DomainLeader, job: str) -> None:
    """Take a job out of its lane until an entry serves its callers again.

    It ends as ``CALLER_GONE`` if that takes longer than ``policy.park``.
    """
    remove_job(lead.lanes, job)
    lead.parked.setdefault(job, lead.now + lead.policy.park)


def unpark(lead: DomainLeader, job: Job) -> None:
    """Queue a parked job's tasks again."""
    if lead.parked.pop(job.contract.id, None) is None:
        return
    queued = [
        task.index for task in job.tasks if task.state is TaskState.QUEUED
    ]
    if queued:
        wait(lead, job, queued)


def end_queued(lead: DomainLeader, job: Job, code: ResultCode) -> None:
    """End the queued tasks of a job with ``code``; leased ones go on."""
    contract = job.contract
    remove_job(lead.lanes, contract.id)
    lead.parked.pop(contract.id, None)
    for task in list(job.tasks):
        if task.state is TaskState.QUEUED:
            end_task(lead, job, task.index, code)


def end_task(
    lead: DomainLeader,
    job: Job,
    index: int,
    code: int,
    run: int = 0,
) -> None:
    """Record a task's final outcome and send it to the job's entries.

    ``run`` is the run time of its last attempt (ms).
    """
    contract = job.contract
    task = job.tasks[index]
    ended = TaskEnded(contract.id, index, task.attempt, code, lead.wall, run)
    record(lead, ended)
    key = TaskKey(contract.id, index)
    settled = TaskSettled(
        key,
        task.attempt,
        code,
        address_of(lead, task.target),
    )
    send_to_serving_entries(lead, contract.id, settled)
    if job.open == 0:
        schedule_purge(lead, job)


def address_of(lead: DomainLeader, target: str) -> str:
    """Return a target's address, or an empty string if it is unknown."""
    worker = lead.replicated.workers.by_name.get(target)
    return worker.spec.address if worker else ''
