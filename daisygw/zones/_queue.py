"""How tasks come to wait, park and leave the queue of a leader."""

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
    keep_until,
    record,
    send_to_waiting_entries,
)


def is_held(lead: DomainLeader, contract: Contract) -> bool:
    """Tell whether some entry could carry the job's orders out."""
    if contract.kind is Kind.SERVICE:
        return True
    return bool(lead.holders.get(contract.id))


def wait(lead: DomainLeader, job: Job, indexes: Iterable[int]) -> None:
    """Let tasks wait in their lane, or park them where no entry holds them."""
    contract = job.contract
    if not is_held(lead, contract):
        park(lead, contract.id)
        return
    run = expected_run_time(lead.replicated.job_registry, contract)
    lane = lead.lane_of(contract, run)
    enqueue(
        lead.lanes, lane, QueuedTasks(contract, run, lead.now), iter(indexes)
    )


def park(lead: DomainLeader, job: str) -> None:
    """Take a job out of the queue until an entry holds it again."""
    remove_job(lead.lanes, job)
    lead.parked.setdefault(job, lead.now + lead.policy.park)


def unpark(lead: DomainLeader, job: Job) -> None:
    """Let a parked job's tasks wait again."""
    if lead.parked.pop(job.contract.id, None) is None:
        return
    queued = [
        task.index for task in job.tasks if task.state is TaskState.QUEUED
    ]
    if queued:
        wait(lead, job, queued)


def end_queued(lead: DomainLeader, job: Job, code: ResultCode) -> None:
    """End every task of a job that was not started, as not run."""
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
    """End one task for good and tell the entries that hold its callers."""
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
    send_to_waiting_entries(lead, contract.id, settled)
    if job.open == 0:
        keep_until(lead, job)


def address_of(lead: DomainLeader, target: str) -> str:
    """Return a target's address, empty where it is not known."""
    worker = lead.replicated.workers.by_name.get(target)
    return worker.spec.address if worker else ''
