"""A worker under leases, as the platform's protocol describes it.

The model has no I/O and no clock: time is passed in (s).  It keeps a history
of what ran, which tests judge.
"""

from collections import deque
from dataclasses import dataclass

MS = 1000


@dataclass(frozen=True, slots=True)
class RunSpan:
    """A run's time on a worker: from its start to its end (none: runs)."""

    task: tuple
    number: int
    started_at: float
    ended: float | None = None
    how: str = ''


@dataclass(frozen=True, slots=True)
class TaskLoad:
    """What a task asks of a worker: cpu, memory, and its work (s)."""

    cpu: int
    memory: int
    work: float
    fails: bool = False


class WorkerModel:
    """One life of a worker."""

    def __init__(
        self,
        name: str,
        born: float,
        capacity: tuple[int, int],
        hold_max: float = 10.0,
    ) -> None:
        """Start at ``born`` (s) with nothing running."""
        self.name = name
        self.born = born
        self.capacity = capacity
        self.hold_max = hold_max
        self.fence = 0
        self.lease = 0.0
        self.running: dict[tuple, tuple[RunSpan, TaskLoad]] = {}
        self.highest: dict[tuple, int] = {}
        self.ends: deque[tuple[int, tuple, int, str]] = deque()
        self.position = 0
        self.history: list[RunSpan] = []
        self.peak_usage = (0, 0)
        self.lapse = 0.0
        self.noted: set[tuple[tuple, int]] = set()


def clock_ms(worker: WorkerModel, now: float) -> int:
    """Return the worker's own clock."""
    return int((now - worker.born) * MS)


def _end(worker: WorkerModel, task: tuple, at: float, how: str) -> None:
    span, _ = worker.running.pop(task)
    worker.position += 1
    worker.ends.append((worker.position, task, span.number, how))
    worker.history.append(RunSpan(task, span.number, span.started_at, at, how))
    worker.highest[task] = max(worker.highest.get(task, 0), span.number)


def advance_clock(worker: WorkerModel, now: float) -> None:
    """End what is done, and kill what has no lease any more."""
    lapse = worker.born + worker.lease
    for task, (span, load) in list(worker.running.items()):
        over = span.started_at + load.work
        if over <= min(now, lapse):
            _end(worker, task, over, 'failed' if load.fails else 'done')
        elif lapse <= now:
            _end(worker, task, lapse, 'lapsed')


def _renew(worker: WorkerModel, now: float, deadline: int | None) -> None:
    if worker.born + worker.lease < now:
        worker.lapse = worker.born + worker.lease
    if deadline is not None:
        longest = now - worker.born + worker.hold_max
        worker.lease = max(worker.lease, min(deadline / MS, longest))


def used(worker: WorkerModel) -> tuple[int, int]:
    """Return the cpu and memory in use."""
    loads = [load for _, load in worker.running.values()]
    return (
        sum(load.cpu for load in loads),
        sum(load.memory for load in loads),
    )


def start(
    worker: WorkerModel,
    now: float,
    order: tuple[tuple, int, int, int],
    load: TaskLoad,
) -> tuple[int, str]:
    """Take an order (task, run number, deadline, fence); status, reason."""
    task, number, deadline, fence = order
    advance_clock(worker, now)
    if fence < worker.fence:
        return 409, 'fence'
    worker.fence = fence
    if deadline <= clock_ms(worker, now):
        return 409, 'late'
    _renew(worker, now, deadline)
    known = worker.running.get(task)
    if known and known[0].number == number:
        return 200, ''
    if known or number <= worker.highest.get(task, 0):
        return 409, 'old'
    worker.running[task] = (RunSpan(task, number, now), load)
    cpu, memory = used(worker)
    worker.peak_usage = (
        max(worker.peak_usage[0], cpu),
        max(worker.peak_usage[1], memory),
    )
    return 200, ''


def stop(
    worker: WorkerModel, now: float, task: tuple, number: int, fence: int
) -> int:
    """Stop a run, or bar it from starting; return the status."""
    advance_clock(worker, now)
    if fence < worker.fence:
        return 409
    worker.fence = fence
    known = worker.running.get(task)
    if known and known[0].number <= number:
        _end(worker, task, now, 'stopped')
    worker.highest[task] = max(worker.highest.get(task, 0), number)
    return 200


def _note(worker: WorkerModel, end: tuple[int, tuple, int, str]) -> None:
    """Remember that the leader knows of an end, under the same lease.

    An end that is noted after the lease has lapsed proves nothing: the task
    may have been started elsewhere meanwhile.
    """
    _, task, number, _ = end
    ended = next(
        span.ended
        for span in reversed(worker.history)
        if (span.task, span.number) == (task, number)
    )
    if worker.lapse < ended:
        worker.noted.add((task, number))


def hold(
    worker: WorkerModel,
    now: float,
    fence: int,
    noted: int,
    deadline: int | None,
) -> tuple[list[tuple], list[tuple]] | None:
    """Renew; return what runs and what has ended, none for an old fence."""
    advance_clock(worker, now)
    if fence < worker.fence:
        return None
    worker.fence = fence
    _renew(worker, now, deadline)
    while worker.ends and worker.ends[0][0] <= noted:
        _note(worker, worker.ends.popleft())
    active = [(task, span.number) for task, (span, _) in worker.running.items()]
    return active, list(worker.ends)
