"""Reservation of workers for a gang that has waited for long.

The reserved workers run empty, except for tasks that are expected to end
before the gang can start (backfill).
"""

from daisygw.contracts import QueuedTasks, count_fitting, expected_run_time
from daisygw.machines import Worker
from daisygw.zones._leader import DomainLeader, Reservation, is_open


def reserve_workers(lead: DomainLeader, waiting: QueuedTasks) -> None:
    """Reserve workers for a gang that has waited ``gang_patience`` seconds.

    Only one gang at a time holds a reservation.
    """
    gang = waiting.contract
    if lead.reservation and lead.reservation.job in lead.lanes.where:
        return
    if lead.now - waiting.since < lead.policy.gang_patience:
        return
    names = _choose_workers(lead, waiting)
    due = max(
        (_expected_free_at(lead, name) for name in names), default=lead.now
    )
    lead.reservation = Reservation(gang.id, frozenset(names), due)


def _choose_workers(lead: DomainLeader, waiting: QueuedTasks) -> list[str]:
    workers = [
        worker
        for worker in lead.replicated.workers.by_name.values()
        if is_open(lead, worker)
    ]
    workers.sort(key=lambda worker: -worker.free.slots)
    names = []
    capacity = 0
    for worker in workers:
        if capacity >= len(waiting.indexes):
            break
        capacity += count_fitting(waiting.size, worker.spec.capacity)
        names.append(worker.spec.name)
    return names


def _expected_free_at(lead: DomainLeader, name: str) -> float:
    worker = lead.replicated.workers.by_name[name]
    job_registry = lead.replicated.job_registry
    ends = [
        lead.orders[key].at
        + expected_run_time(job_registry, job_registry.jobs[key.job].contract)
        for key in worker.held
        if key in lead.orders
    ]
    return max(ends, default=lead.now)


def may_use_worker(
    lead: DomainLeader, waiting: QueuedTasks, worker: Worker
) -> bool:
    """Tell whether the reservation, if any, lets a job use a worker."""
    reservation = lead.reservation
    if reservation is None or worker.spec.name not in reservation.workers:
        return True
    owns_reservation = waiting.contract.id == reservation.job
    return owns_reservation or lead.now + waiting.run <= reservation.due


def end_reservation(lead: DomainLeader) -> None:
    """Release the reserved workers once their gang is no longer waiting."""
    reservation = lead.reservation
    if reservation and reservation.job not in lead.lanes.where:
        lead.reservation = None
