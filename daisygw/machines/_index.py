"""An index of the workers open to new work, by speed and free capacity.

Its buckets are sorted by speed, free accelerators and free processors, so the
first worker that fits is fast and a tight fit.  A placement decision therefore
considers a bounded number of candidates, independent of the number of workers.
"""

from collections.abc import Callable, Iterator
from itertools import islice
from typing import TypeAlias

from sortedcontainers import SortedDict

from daisygw.contracts import Size, fits
from daisygw.machines._workers import Worker, Workers

# Slowness level, free accelerators and level of free processors.
Level: TypeAlias = tuple[int, int, int]

# Millicores per core, the unit of ``Size.cpus``.
_MILLICORES_PER_CORE = 1000
# Slowness levels for each multiple of the fastest run time: a target that takes
# a quarter longer is one level slower.
_SLOWNESS_LEVELS = 4


class FreeIndex:
    """Open workers with a free slot, in buckets by level.

    ``looked_at`` counts the workers that searches have considered.
    """

    def __init__(self) -> None:
        """Begin empty."""
        self.buckets: SortedDict = SortedDict()
        self.level_of: dict[str, Level] = {}
        self.slowness: dict[str, int] = {}
        self.looked_at = 0


def _cpu_level(cpus: int) -> int:
    return (cpus // _MILLICORES_PER_CORE).bit_length()


def _level(index: FreeIndex, worker: Worker) -> Level:
    slow = index.slowness.get(worker.spec.name, 0)
    return (slow, worker.free.accelerators, _cpu_level(worker.free.cpus))


def set_speed(index: FreeIndex, name: str, relative: float) -> bool:
    """Set a worker's relative run time: 1 is the fastest, 2 twice as long.

    Returns whether its place in the index changes.
    """
    level = round((max(relative, 1) - 1) * _SLOWNESS_LEVELS)
    level = min(level, _SLOWNESS_LEVELS * _SLOWNESS_LEVELS)
    changed = index.slowness.get(name, 0) != level
    index.slowness[name] = level
    return changed


def _remove(index: FreeIndex, name: str) -> None:
    level = index.level_of.pop(name, None)
    if level is None:
        return
    bucket = index.buckets[level]
    bucket.pop(name, None)
    if not bucket:
        index.buckets.pop(level)


def refresh(
    index: FreeIndex,
    workers: Workers,
    is_open: Callable[[Worker], bool],
) -> None:
    """Update the index with the workers that changed since the last call."""
    for name in workers.touched:
        worker = workers.by_name.get(name)
        if worker is None or worker.free.slots <= 0 or not is_open(worker):
            _remove(index, name)
            continue
        level = _level(index, worker)
        if index.level_of.get(name) != level:
            _remove(index, name)
            index.level_of[name] = level
            index.buckets.setdefault(level, {})[name] = worker
    workers.touched.clear()


def candidates(
    index: FreeIndex,
    need: Size,
    limit: int,
) -> Iterator[Worker]:
    """Yield up to ``limit`` workers that can hold ``need``, best level first.

    Counts each worker considered in ``looked_at``.
    """
    fitting = (
        worker
        for worker in _possible_workers(index, need)
        if fits(need, worker.free)
    )
    yield from islice(fitting, limit)


def _possible_workers(index: FreeIndex, need: Size) -> Iterator[Worker]:
    need_cpu = _cpu_level(need.cpus)
    for level, bucket in index.buckets.items():
        if level[1] < need.accelerators or level[2] < need_cpu:
            continue
        for worker in bucket.values():
            index.looked_at += 1
            yield worker
