"""What must hold of a played cell, read from what its workers did."""

import itertools
from collections import defaultdict
from typing import Any

from daisygw.contracts import (
    StepKey,
)
from standins import worker_model as workers
from tests.cell_world import (
    CPUS,
    MEMORY,
    World,
)


def spans(world: World) -> dict[tuple, list[workers.RunSpan]]:
    """Return what ran, by task, in order of time."""
    found: dict[tuple, list[workers.RunSpan]] = defaultdict(list)
    for worker in (*world.past, *world.workers.values()):
        for span in worker.history:
            found[span.task].append(span)
        for span, _ in worker.running.values():
            found[span.task].append(span)
    for rows in found.values():
        rows.sort(key=lambda span: span.started_at)
    return found


def check_history(world: World) -> None:
    """Check what must always hold; raises AssertionError."""
    ended: dict[StepKey, float] = {}
    found = spans(world)
    for task, rows in found.items():
        done = [span for span in rows if span.how == 'done']
        for earlier, later in itertools.pairwise(rows):
            assert earlier.ended is not None, (task, rows)
            assert earlier.ended <= later.started_at + 1e-6, (
                'twice',
                task,
                rows,
            )
        if done:
            ended[task] = done[0].ended
    _check_workers(world)
    _check_order(world, found, ended)
    _check_budget(world, found)
    _check_cancelled(world, found)


def _check_workers(world: World) -> None:
    for worker in (*world.past, *world.workers.values()):
        assert worker.peak_usage[0] <= CPUS, ('over capacity', worker.name)
        assert worker.peak_usage[1] <= MEMORY, ('over capacity', worker.name)


def _check_order(world: World, found: Any, ended: Any) -> None:
    for (key, index), rows in found.items():
        job = world.jobs[key.job]
        for earlier in job.steps[key.step].after:
            before = StepKey(key.job, key.occurrence, earlier)
            step = job.steps[earlier]
            times = [ended.get((before, other)) for other in range(step.count)]
            known = [time for time in times if time is not None]
            whole = step.gang or len(known) == step.count
            assert known and whole, ('order', key, index)
            assert rows[0].started_at >= min(known), ('order', key, index)


def _check_budget(world: World, found: Any) -> None:
    for (key, index), rows in found.items():
        if world.jobs[key.job].steps[key.step].gang:
            continue
        failed = sum(span.how == 'failed' for span in rows)
        assert failed <= 3, ('budget', key, index, rows)


def _check_cancelled(world: World, found: Any) -> None:
    for (key, _), rows in found.items():
        at = world.cancelled.get(key.job)
        if at is not None:
            assert rows[-1].started_at <= at + 12.1, ('cancelled', key, rows)


def all_over(world: World) -> list[str]:
    """Return the jobs that were accepted and are not over."""
    return [job.spec.id for job in world.cell.jobs.values() if not job.over]
