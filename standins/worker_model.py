"""Model of a worker with a lease, after the platform's protocol.

The model has no I/O and no clock: time is passed in (s).  It keeps a history
of all runs, which tests check.
"""

from collections import deque
from dataclasses import dataclass
from itertools import islice

MS_PER_S = 1000
# Ended runs that one reply lists, the oldest first.
ENDS_PAGE = 500


@dataclass(frozen=True, slots=True)
class RunSpan:
    """A run on a worker: its start, and its end (None while it runs)."""

    task: tuple
    number: int
    started_at: float
    ended: float | None = None
    how: str = ''


@dataclass(frozen=True, slots=True)
class TaskLoad:
    """A task's CPU (thousandths), memory (MiB) and run time ``work`` (s).

    ``fails`` tells whether it fails at the end of its run time.
    """

    cpu: int
    memory: int
    work: float
    fails: bool = False


class WorkerModel:
    """One worker process from its start to its end.

    ``fence`` is the newest fencing token.  ``lease`` is the end of the lease
    in seconds from ``born``, ``lapsed_at`` the time of the last lapse (s).
    ``acknowledged_ends`` holds task and run number of the ends that the leader
    acknowledged under the lease under which the run ended.  A reply lists at
    most ``ends_page`` ended runs.
    """

    def __init__(
        self,
        name: str,
        born: float,
        capacity: tuple[int, int],
        max_lease_s: float = 10.0,
        ends_page: int = ENDS_PAGE,
    ) -> None:
        """Create a worker started at ``born`` (s), with nothing running."""
        self.name = name
        self.born = born
        self.capacity = capacity
        self.max_lease_s = max_lease_s
        self.ends_page = ends_page
        self.fence = 0
        self.lease = 0.0
        self.running: dict[tuple, tuple[RunSpan, TaskLoad]] = {}
        self.highest_run_number: dict[tuple, int] = {}
        self.ends: deque[tuple[int, tuple, int, str]] = deque()
        self.position = 0
        self.history: list[RunSpan] = []
        self.peak_usage = (0, 0)
        self.lapsed_at = 0.0
        self.acknowledged_ends: set[tuple[tuple, int]] = set()


def clock_ms(worker: WorkerModel, now: float) -> int:
    """Return the worker's own clock: the time since its start (ms)."""
    return int((now - worker.born) * MS_PER_S)


def _end_run(worker: WorkerModel, task: tuple, at: float, how: str) -> None:
    span, _ = worker.running.pop(task)
    worker.position += 1
    worker.ends.append((worker.position, task, span.number, how))
    worker.history.append(RunSpan(task, span.number, span.started_at, at, how))
    worker.highest_run_number[task] = max(
        worker.highest_run_number.get(task, 0), span.number
    )


def advance_clock(worker: WorkerModel, now: float) -> None:
    """End the runs that are done, and those whose lease has lapsed."""
    lapsed_at = worker.born + worker.lease
    for task, (span, load) in list(worker.running.items()):
        finished_at = span.started_at + load.work
        if finished_at <= min(now, lapsed_at):
            _end_run(
                worker, task, finished_at, 'failed' if load.fails else 'done'
            )
        elif lapsed_at <= now:
            _end_run(worker, task, lapsed_at, 'lapsed')


def crash(worker: WorkerModel, now: float) -> None:
    """End all runs at ``now`` (s), as the worker's process has ended."""
    advance_clock(worker, now)
    for task in list(worker.running):
        _end_run(worker, task, now, 'crashed')


def _renew(worker: WorkerModel, now: float, deadline: int | None) -> None:
    if worker.born + worker.lease < now:
        worker.lapsed_at = worker.born + worker.lease
    if deadline is not None:
        longest = now - worker.born + worker.max_lease_s
        worker.lease = max(worker.lease, min(deadline / MS_PER_S, longest))


def resources_in_use(worker: WorkerModel) -> tuple[int, int]:
    """Return the cpu and memory that running tasks use."""
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
    """Handle a start order; return HTTP status and reason.

    ``order`` holds the task, run number, deadline (ms) and fencing token.
    """
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
    if known or number <= worker.highest_run_number.get(task, 0):
        return 409, 'old'
    worker.running[task] = (RunSpan(task, number, now), load)
    cpu, memory = resources_in_use(worker)
    worker.peak_usage = (
        max(worker.peak_usage[0], cpu),
        max(worker.peak_usage[1], memory),
    )
    return 200, ''


def stop(
    worker: WorkerModel, now: float, task: tuple, number: int, fence: int
) -> int:
    """Stop a run, or prevent its start if it is unknown; return the status."""
    advance_clock(worker, now)
    if fence < worker.fence:
        return 409
    worker.fence = fence
    known = worker.running.get(task)
    if known and known[0].number <= number:
        _end_run(worker, task, now, 'stopped')
    worker.highest_run_number[task] = max(
        worker.highest_run_number.get(task, 0), number
    )
    return 200


def _record_acknowledged_end(
    worker: WorkerModel, end: tuple[int, tuple, int, str]
) -> None:
    """Record that the leader acknowledged an end under the same lease.

    An end that is acknowledged after the lease has lapsed does not count:
    the task may have been started elsewhere in the meantime.
    """
    _, task, number, _ = end
    ended = next(
        span.ended
        for span in reversed(worker.history)
        if (span.task, span.number) == (task, number)
    )
    if worker.lapsed_at < ended:
        worker.acknowledged_ends.add((task, number))


def hold(
    worker: WorkerModel,
    now: float,
    fence: int,
    acknowledged: int,
    deadline: int | None,
) -> tuple[list[tuple], list[tuple]] | None:
    """Renew the lease; return running and ended tasks.

    The ended ones are a page of ``ends_page`` at most.  Ends up to the position
    ``acknowledged`` are dropped.  ``deadline`` (ms) is the new end of the lease
    on the worker's clock; None does not extend it.  Returns None if the fencing
    token is older than the newest one.
    """
    advance_clock(worker, now)
    if fence < worker.fence:
        return None
    worker.fence = fence
    _renew(worker, now, deadline)
    while worker.ends and worker.ends[0][0] <= acknowledged:
        _record_acknowledged_end(worker, worker.ends.popleft())
    active = [(task, span.number) for task, (span, _) in worker.running.items()]
    return active, list(islice(worker.ends, worker.ends_page))
