"""Orders to targets, sent by way of entries.

An order is sent only after the lease of its task is recorded in the log.  It
is idempotent: a target runs an attempt once, however often it is ordered.
"""

from daisygw.contracts import (
    Fence,
    Job,
    Kind,
    Task,
    TaskKey,
    TaskStartOrder,
    TaskStopOrder,
)
from daisygw.zones._leader import DomainLeader, OutstandingOrder, send_to_entry


def _fence(lead: DomainLeader, task: Task) -> Fence:
    observation = lead.observations[task.target]
    return Fence(lead.term, task.incarnation, observation.number)


def _entries_for(lead: DomainLeader, job: Job) -> list[str]:
    contract = job.contract
    serving_entries = lead.serving_entries.get(contract.id, set())
    if contract.kind is not Kind.SERVICE:
        return sorted(serving_entries)
    connected = [entry for entry in lead.entries if entry in serving_entries]
    return (connected or list(lead.entries))[:1]


def send_order(lead: DomainLeader, job: Job, key: TaskKey) -> None:
    """Send the order for a task's current attempt through its entries."""
    task = job.tasks[key.index]
    outstanding = lead.orders.get(key)
    if outstanding is None or outstanding.attempt != task.attempt:
        outstanding = OutstandingOrder(task.attempt, lead.now)
        lead.orders[key] = outstanding
    outstanding.at = lead.now
    outstanding.absent_since = 0
    for entry in _entries_for(lead, job):
        _send_order_through(lead, job, key, entry, outstanding)


def _send_order_through(
    lead: DomainLeader,
    job: Job,
    key: TaskKey,
    entry: str,
    outstanding: OutstandingOrder,
) -> None:
    task = job.tasks[key.index]
    worker = lead.replicated.workers.by_name.get(task.target)
    if worker is None:
        return
    outstanding.entries.add(entry)
    order = TaskStartOrder(
        key,
        task.attempt,
        task.target,
        worker.spec.address,
        _fence(lead, task),
        lead.policy.lease,
        job.contract.size,
        job.contract.spec,
    )
    send_to_entry(lead, entry, order)


def repeat_order(
    lead: DomainLeader, job: Job, key: TaskKey, entry: str
) -> None:
    """Send the order of a leased task through one more entry.

    The target does not run the attempt again: the new order attaches to the
    run that is under way.
    """
    task = job.tasks[key.index]
    outstanding = lead.orders.get(key)
    if outstanding is None:
        return
    observation = lead.observations.get(task.target)
    if observation is None or observation.number == 0:
        return
    outstanding.at = lead.now
    outstanding.absent_since = 0
    _send_order_through(lead, job, key, entry, outstanding)


def send_stop(
    lead: DomainLeader,
    key: TaskKey,
    attempt: int,
    target: str,
    code: int,
) -> None:
    """Have a target stop an attempt, through any connected entry.

    Entries that serve the job's callers are preferred.
    """
    worker = lead.replicated.workers.by_name.get(target)
    observation = lead.observations.get(target)
    if worker is None or observation is None or not lead.entries:
        return
    serving_entries = lead.serving_entries.get(key.job, set())
    connected = [entry for entry in lead.entries if entry in serving_entries]
    entry = (connected or list(lead.entries))[0]
    fence = Fence(lead.term, worker.spec.incarnation, observation.number)
    address = worker.spec.address
    send_to_entry(
        lead, entry, TaskStopOrder(key, attempt, address, fence, code)
    )
