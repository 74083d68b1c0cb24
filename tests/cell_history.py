"""Check the invariants of a cell against the history of its workers."""

import itertools
from collections import defaultdict
from typing import Any

from daisygw.contracts import (
    JobState,
    StepKey,
)
from standins import worker_model as workers
from tests.cell_world import (
    ATTEMPTS,
    WORKER_CPUS,
    WORKER_MEMORY_MIB,
    World,
)


def spans(world: World) -> dict[tuple, list[workers.RunSpan]]:
    """Return the spans of each task, ordered by start time."""
    found: dict[tuple, list[workers.RunSpan]] = defaultdict(list)
    for worker in (*world.ended_workers, *world.workers.values()):
        for span in worker.history:
            found[span.task].append(span)
        for span, _ in worker.running.values():
            found[span.task].append(span)
    for rows in found.values():
        rows.sort(key=lambda span: span.started_at)
    return found


def check_waiting_jobs(world: World) -> None:
    """Raise AssertionError if a job is shown as begun that no worker has."""
    begun = {key.job for key, _ in spans(world)}
    confirmed = world.lead.notes.started
    for name, job in world.cell.jobs.items():
        queued = job.state is JobState.QUEUED and name not in confirmed
        assert job.over or name in begun or queued, (
            'shown as begun',
            name,
            job.state,
        )


def check_history(world: World) -> None:
    """Raise AssertionError where the history violates an invariant."""
    ended: dict[StepKey, float] = {}
    found = spans(world)
    for task, rows in found.items():
        done = [span for span in rows if span.how == 'done']
        for earlier, later in itertools.pairwise(rows):
            assert earlier.ended is not None, (task, rows)
            assert earlier.ended <= later.started_at + 1e-6, (
                'overlapping runs',
                task,
                rows,
            )
        if done:
            ended[task] = done[0].ended
    _check_workers(world)
    _check_done(world, found)
    _check_order(world, found, ended)
    _check_budget(world, found)
    _check_cancelled(world, found)
    _check_checkpoints(world)


def _check_workers(world: World) -> None:
    for worker in (*world.ended_workers, *world.workers.values()):
        assert worker.peak_usage[0] <= WORKER_CPUS, (
            'over capacity',
            worker.name,
        )
        assert worker.peak_usage[1] <= WORKER_MEMORY_MIB, (
            'over capacity',
            worker.name,
        )


def _acknowledged_ends(world: World) -> set[tuple[tuple, int]]:
    """Return task and run number of the ends that a leader acknowledged."""
    every_worker = (*world.ended_workers, *world.workers.values())
    return set().union(*(one.acknowledged_ends for one in every_worker))


def _check_done(world: World, found: Any) -> None:
    """Expect no start of a task after an end ``done`` was acknowledged.

    That holds also for a start before the acknowledgement.
    """
    noted = _acknowledged_ends(world)
    for task, rows in found.items():
        for earlier, later in itertools.pairwise(rows):
            completed = earlier.how == 'done'
            assert not completed or (task, earlier.number) not in noted, (
                'start after its task was done',
                task,
                earlier,
                later,
            )


def _check_order(world: World, found: Any, ended: Any) -> None:
    for (key, index), rows in found.items():
        job = world.jobs[key.job]
        for earlier in job.steps[key.step].after:
            before = StepKey(key.job, key.occurrence, earlier)
            step = job.steps[earlier]
            times = [ended.get((before, other)) for other in range(step.count)]
            known = [time for time in times if time is not None]
            whole = step.gang or len(known) == step.count
            assert known and whole, (
                'before its dependency',
                key,
                index,
            )
            assert rows[0].started_at >= min(known), (
                'before its dependency',
                key,
                index,
            )


def _check_budget(world: World, found: Any) -> None:
    """Expect no start after the failures that the attempts allow.

    A failure counts if the leader acknowledged it under the lease under which
    it happened; it can not know of others.
    """
    noted = _acknowledged_ends(world)
    for (key, index), rows in found.items():
        if world.jobs[key.job].steps[key.step].gang:
            continue
        failures = 0
        for span in rows:
            assert failures < ATTEMPTS, (
                'start after the last attempt',
                key,
                index,
                rows,
            )
            failures += (
                span.how == 'failed' and (span.task, span.number) in noted
            )


def _check_checkpoints(world: World) -> None:
    """Expect all members of a gang's run to start from one checkpoint."""
    for (key, number), names in world.start_checkpoints.items():
        if world.jobs[key.job].steps[key.step].gang:
            assert len(names) == 1, ('several checkpoints', key, number, names)


def _check_cancelled(world: World, found: Any) -> None:
    for (key, _), rows in found.items():
        assert key.job not in world.callers.overtaken, ('cancelled first', key)
        at = world.callers.cancelled.get(key.job)
        if at is not None:
            # A delayed order arrives up to 12 s after it was sent.
            assert rows[-1].started_at <= at + 12.1, (
                'started after its cancellation',
                key,
                rows,
            )


def unfinished_jobs(world: World) -> list[str]:
    """Return the ids of the accepted jobs that have not ended."""
    return [job.spec.id for job in world.cell.jobs.values() if not job.over]
