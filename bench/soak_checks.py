"""What must hold in a soak, judged from what the workers saw."""

from collections import defaultdict
from collections.abc import Iterator
from itertools import accumulate, pairwise

WORKER_CPU = 8000
TASK_CPU = 1000


def _spans(rows) -> dict[str, list[tuple]]:
    """Return what ran by task: begun, ended, how, and whether noted."""
    runs = defaultdict(list)
    for _, task, _, how, begun, ended, noted in rows:
        runs[task].append((begun, ended, how, noted))
    return {task: sorted(spans) for task, spans in runs.items()}


def repeats(rows) -> list[tuple[str, tuple, tuple]]:
    """Return the runs that began after another one of the task."""
    return [
        (task, one, other)
        for task, spans in _spans(rows).items()
        for one, other in pairwise(spans)
    ]


def doubled(rows) -> Iterator[str]:
    """Yield tasks that ran twice at a time, or again after they were done.

    Done means here that the leader had noted the end while the worker's
    lease held: with a lapse between, the task may be started again.
    """
    for task, one, other in repeats(rows):
        if one[1] is None or one[1] > other[0]:
            yield f'two at a time: {task} {one} {other}'
        elif one[2] == 'done' and one[3]:
            yield f'again after done: {task} {one} {other}'


def overfull(rows) -> Iterator[str]:
    """Yield workers that held more than they have."""
    changes = defaultdict(list)
    for worker, _, _, _, begun, ended, _ in rows:
        changes[worker].append((begun, TASK_CPU))
        if ended is not None:
            changes[worker].append((ended, -TASK_CPU))
    for worker, steps in changes.items():
        used = accumulate(amount for _, amount in sorted(steps))
        if max(used) > WORKER_CPU:
            yield f'over capacity: {worker}'
