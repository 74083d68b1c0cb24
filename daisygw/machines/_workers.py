"""The record of capacity: what each worker has and what it holds.

Changed only by records of the log, the same way on every replica.
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
    """One target, its free capacity and the attempts that hold the rest."""

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

    ``touched`` collects the names whose free capacity or state changed, for
    whoever keeps an index; ``shapes`` counts workers by their capacity.
    """

    def __init__(self) -> None:
        """Begin with none."""
        self.by_name: dict[str, Worker] = {}
        self.touched: set[str] = set()
        self.shapes: Counter[Size] = Counter()


def add_worker(workers: Workers, worker: Worker) -> None:
    """Put a worker into the replicated state."""
    workers.by_name[worker.spec.name] = worker
    workers.shapes[worker.spec.capacity] += 1
    workers.touched.add(worker.spec.name)


def upsert_target(workers: Workers, record: TargetListed) -> Size:
    """Enter a target, or what is new about it; return the capacity added."""
    spec = record.spec
    known = workers.by_name.get(spec.name)
    workers.touched.add(spec.name)
    if known is None:
        add_worker(workers, Worker(spec))
        return spec.capacity
    if known.spec.incarnation != spec.incarnation:
        known.aside = False
    workers.shapes += Counter({spec.capacity: 1})
    workers.shapes -= Counter({known.spec.capacity: 1})
    freed = minus(spec.capacity, known.spec.capacity)
    known.spec = spec
    known.free = plus(known.free, freed)
    return freed


def drop_target(workers: Workers, record: TargetDropped) -> Size:
    """Remove a target that is gone; return the capacity lost."""
    known = workers.by_name.get(record.name)
    if known is None or known.spec.incarnation != record.incarnation:
        return ZERO_SIZE
    workers.by_name.pop(record.name)
    workers.shapes -= Counter({known.spec.capacity: 1})
    workers.touched.add(record.name)
    return known.spec.capacity


def drain_target(workers: Workers, record: TargetDrained) -> None:
    """Close or open a target to new work."""
    known = workers.by_name.get(record.name)
    if known:
        known.drained = record.drained
        workers.touched.add(record.name)


def quarantine_target(workers: Workers, record: TargetQuarantined) -> None:
    """Set a failing target aside, or take it back."""
    known = workers.by_name.get(record.name)
    if known:
        known.aside = record.aside
        workers.touched.add(record.name)


def reserve_capacity(
    workers: Workers, name: str, key: TaskKey, size: Size
) -> None:
    """Take ``size`` out of a worker's free capacity for one task."""
    worker = workers.by_name[name]
    worker.held[key] = size
    worker.free = minus(worker.free, size)
    workers.touched.add(name)


def release_capacity(workers: Workers, name: str, key: TaskKey) -> None:
    """Give back what a task held, if it held anything."""
    worker = workers.by_name.get(name)
    if worker is None:
        return
    size = worker.held.pop(key, None)
    if size is not None:
        worker.free = plus(worker.free, size)
        workers.touched.add(name)
