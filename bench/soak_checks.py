"""Checks of a soak run, made on the history that the workers recorded."""

from collections import defaultdict
from collections.abc import Iterator
from itertools import accumulate, pairwise

# Capacity of a worker and need of a task (CPU, thousandths).
WORKER_CPU = 8000
TASK_CPU = 1000


def _runs_by_task(rows) -> dict[str, list[tuple]]:
    """Return each task's runs in the order of their starts.

    A run is (started_at, ended, how, noted), times in s; ``noted`` tells
    whether its end was acknowledged under the worker's lease.
    """
    runs = defaultdict(list)
    for _, task, _, how, started_at, ended, noted in rows:
        runs[task].append((started_at, ended, how, noted))
    return {task: sorted(spans) for task, spans in runs.items()}


def repeats(rows) -> list[tuple[str, tuple, tuple]]:
    """Return consecutive runs of a task: (task, earlier run, later run)."""
    return [
        (task, earlier, later)
        for task, spans in _runs_by_task(rows).items()
        for earlier, later in pairwise(spans)
    ]


def repeated_runs(rows) -> Iterator[str]:
    """Yield tasks that ran twice at the same time, or again after done.

    A task counts as done once the leader acknowledged its end under the
    worker's lease.  If the lease lapses before that, the leader may start
    the task again.
    """
    for task, earlier, later in repeats(rows):
        if earlier[1] is None or earlier[1] > later[0]:
            yield f'ran concurrently: {task} {earlier} {later}'
        elif earlier[2] == 'done' and earlier[3]:
            yield f'ran again after done: {task} {earlier} {later}'


def overcommitted_workers(rows) -> Iterator[str]:
    """Yield workers whose running tasks exceeded their CPU capacity."""
    changes = defaultdict(list)
    for worker, _, _, _, started_at, ended, _ in rows:
        changes[worker].append((started_at, TASK_CPU))
        if ended is not None:
            changes[worker].append((ended, -TASK_CPU))
    for worker, steps in changes.items():
        used = accumulate(amount for _, amount in sorted(steps))
        if max(used) > WORKER_CPU:
            yield f'over capacity: {worker}'
