"""Reservation for a gang that has waited: some workers run empty for it.

Work that ends before the gang could start may still go there (backfill).
"""

from daisygw.contracts import QueuedTasks, count_fitting, expected_run_time
from daisygw.machines import Worker
from daisygw.zones._leader import DomainLeader, Reservation, is_open


def reserve(lead: DomainLeader, waiting: QueuedTasks) -> None:
    """Reserve workers for a gang, once it has waited long enough."""
    gang = waiting.contract
    if lead.reserved and lead.reserved.job in lead.lanes.where:
        return
    if lead.now - waiting.since < lead.policy.gang_patience:
        return
    names = _enough(lead, waiting)
    due = max((_free_at(lead, name) for name in names), default=lead.now)
    lead.reserved = Reservation(gang.id, frozenset(names), due)


def _enough(lead: DomainLeader, waiting: QueuedTasks) -> list[str]:
    workers = [
        worker
        for worker in lead.replicated.workers.by_name.values()
        if is_open(lead, worker)
    ]
    workers.sort(key=lambda worker: -worker.free.slots)
    names = []
    room = 0
    for worker in workers:
        if room >= len(waiting.indexes):
            break
        room += count_fitting(waiting.size, worker.spec.capacity)
        names.append(worker.spec.name)
    return names


def _free_at(lead: DomainLeader, name: str) -> float:
    worker = lead.replicated.workers.by_name[name]
    job_registry = lead.replicated.job_registry
    ends = [
        lead.orders[key].at
        + expected_run_time(job_registry, job_registry.jobs[key.job].contract)
        for key in worker.held
        if key in lead.orders
    ]
    return max(ends, default=lead.now)


def may_use(lead: DomainLeader, waiting: QueuedTasks, worker: Worker) -> bool:
    """Tell whether work may go to a worker, reserved or not."""
    reserved = lead.reserved
    if reserved is None or worker.spec.name not in reserved.workers:
        return True
    mine = waiting.contract.id == reserved.job
    return mine or lead.now + waiting.run <= reserved.due


def end_reservation(lead: DomainLeader) -> None:
    """Give the workers back once the gang waits no more."""
    reserved = lead.reserved
    if reserved and reserved.job not in lead.lanes.where:
        lead.reserved = None
