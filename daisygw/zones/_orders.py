"""Orders to targets: given once a lease is recorded, safe to repeat."""

from daisygw.contracts import (
    Fence,
    Job,
    Kind,
    StopOrder,
    Task,
    TaskKey,
    TaskStartOrder,
)
from daisygw.zones._leader import DomainLeader, Ordered, send_message


def _fence(lead: DomainLeader, task: Task) -> Fence:
    observation = lead.observations[task.target]
    return Fence(lead.term, task.incarnation, observation.number)


def _entries_for(lead: DomainLeader, job: Job) -> list[str]:
    contract = job.contract
    holders = lead.holders.get(contract.id, set())
    if contract.kind is not Kind.SERVICE:
        return sorted(holders)
    connected = [entry for entry in lead.entries if entry in holders]
    return (connected or list(lead.entries))[:1]


def give_order(lead: DomainLeader, job: Job, key: TaskKey) -> None:
    """Order a task's present attempt from the entries that hold it."""
    task = job.tasks[key.index]
    ordered = lead.orders.get(key)
    if ordered is None or ordered.attempt != task.attempt:
        ordered = Ordered(task.attempt, lead.now)
        lead.orders[key] = ordered
    ordered.at = lead.now
    ordered.proof = 0
    for entry in _entries_for(lead, job):
        _tell_order(lead, job, key, entry, ordered)


def _tell_order(
    lead: DomainLeader,
    job: Job,
    key: TaskKey,
    entry: str,
    ordered: Ordered,
) -> None:
    task = job.tasks[key.index]
    worker = lead.replicated.workers.by_name.get(task.target)
    if worker is None:
        return
    ordered.entries.add(entry)
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
    send_message(lead, entry, order)


def reorder(lead: DomainLeader, job: Job, key: TaskKey, entry: str) -> None:
    """Give the order of a leased task to one more entry.

    The target runs an attempt once, whoever orders it; a repeat attaches.
    """
    task = job.tasks[key.index]
    ordered = lead.orders.get(key)
    if ordered is None:
        return
    observation = lead.observations.get(task.target)
    if observation is None or observation.number == 0:
        return
    ordered.at = lead.now
    ordered.proof = 0
    _tell_order(lead, job, key, entry, ordered)


def give_stop(
    lead: DomainLeader,
    key: TaskKey,
    attempt: int,
    target: str,
    code: int,
) -> None:
    """Have a target stop an attempt, through any entry at hand."""
    worker = lead.replicated.workers.by_name.get(target)
    observation = lead.observations.get(target)
    if worker is None or observation is None or not lead.entries:
        return
    holders = lead.holders.get(key.job, set())
    connected = [entry for entry in lead.entries if entry in holders]
    entry = (connected or list(lead.entries))[0]
    fence = Fence(lead.term, worker.spec.incarnation, observation.number)
    address = worker.spec.address
    send_message(lead, entry, StopOrder(key, attempt, address, fence, code))
