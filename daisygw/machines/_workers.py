"""Replicated capacity: what each worker offers and what its attempts hold.

Only log records change it, in the same way on every replica.
"""

from collections import Counter

from daisygw.contracts import ZERO_SIZE, Size, TaskKey, minus, plus
from daisygw.machines._target import (
    TargetDrained,
    TargetDropped,
    TargetListed,
    TargetQuarantined,
    TargetSpec,
)


class Worker:
    """One target, its free capacity and the attempts that hold the rest.

    ``aside`` tells whether it is quarantined.
    """

    def __init__(self, spec: TargetSpec) -> None:
        """Begin with all of the announced capacity free."""
        self.spec = spec
        self.free = spec.capacity
        self.held: dict[TaskKey, Size] = {}
        self.drained = False
        self.aside = False

    @property
    def open(self) -> bool:
        """Whether new work may be placed here."""
        return not (self.spec.leaving or self.drained or self.aside)


class Workers:
    """All workers of a failure domain by name.

    ``touched`` collects the names whose free capacity or state changed since
    the index was refreshed; ``shapes`` counts workers by total capacity.
    """

    def __init__(self) -> None:
        """Begin without workers."""
        self.by_name: dict[str, Worker] = {}
        self.touched: set[str] = set()
        self.shapes: Counter[Size] = Counter()


def add_worker(workers: Workers, worker: Worker) -> None:
    """Add a worker to the replicated state."""
    workers.by_name[worker.spec.name] = worker
    workers.shapes[worker.spec.capacity] += 1
    workers.touched.add(worker.spec.name)


def upsert_target(workers: Workers, record: TargetListed) -> Size:
    """Add or update a target; return the change of total capacity."""
    spec = record.spec
    worker = workers.by_name.get(spec.name)
    workers.touched.add(spec.name)
    if worker is None:
        add_worker(workers, Worker(spec))
        return spec.capacity
    if worker.spec.incarnation != spec.incarnation:
        worker.aside = False
    workers.shapes += Counter({spec.capacity: 1})
    workers.shapes -= Counter({worker.spec.capacity: 1})
    added = minus(spec.capacity, worker.spec.capacity)
    worker.spec = spec
    worker.free = plus(worker.free, added)
    return added


def drop_target(workers: Workers, record: TargetDropped) -> Size:
    """Remove a target; return the capacity lost."""
    worker = workers.by_name.get(record.name)
    if worker is None or worker.spec.incarnation != record.incarnation:
        return ZERO_SIZE
    workers.by_name.pop(record.name)
    workers.shapes -= Counter({worker.spec.capacity: 1})
    workers.touched.add(record.name)
    return worker.spec.capacity


def drain_target(workers: Workers, record: TargetDrained) -> None:
    """Close a target to new work, or reopen it."""
    worker = workers.by_name.get(record.name)
    if worker:
        worker.drained = record.drained
        workers.touched.add(record.name)


def quarantine_target(workers: Workers, record: TargetQuarantined) -> None:
    """Quarantine a failing target, or release it."""
    worker = workers.by_name.get(record.name)
    if worker:
        worker.aside = record.aside
        workers.touched.add(record.name)


def reserve_capacity(
    workers: Workers, name: str, key: TaskKey, size: Size
) -> None:
    """Reserve ``size`` of a worker's free capacity for one task."""
    worker = workers.by_name[name]
    worker.held[key] = size
    worker.free = minus(worker.free, size)
    workers.touched.add(name)


def release_capacity(workers: Workers, name: str, key: TaskKey) -> None:
    """Release the capacity that a task holds, if any."""
    worker = workers.by_name.get(name)
    if worker is None:
        return
    size = worker.held.pop(key, None)
    if size is not None:
        worker.free = plus(worker.free, size)
        workers.touched.add(name)
