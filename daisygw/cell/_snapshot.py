"""Snapshots of a cell's replicated state, as records that rebuild it."""

from collections.abc import Iterator
from typing import Any

from daisygw.cell._state import Cell, CellJob, StepState
from daisygw.contracts import (
    CancelNoted,
    ConfigStored,
    EndsAcknowledged,
    InstanceClosed,
    JobCancelled,
    JobStarted,
    QueueRetained,
    StepSnapshot,
)
from daisygw.machines import InstanceListed


def snapshot(cell: Cell) -> Iterator[Any]:
    """Yield records that rebuild the same state in an empty cell."""
    if cell.cfg:
        yield ConfigStored(cell.cfg)
        configured = {(queue.host, queue.prefix) for queue in cell.cfg.queues}
        for key, queue in cell.queues.items():
            if key not in configured:
                yield QueueRetained(queue)
    for target in cell.targets.values():
        yield InstanceListed(target.instance)
        if not target.open:
            yield InstanceClosed(target.key)
        yield EndsAcknowledged(target.key, target.position)
    for job in cell.jobs.values():
        yield from _job_records(job)
    for customer, names in cell.early_cancels.items():
        for name in names:
            yield CancelNoted(name, customer)


def _job_records(job: CellJob) -> Iterator[Any]:
    yield job.enqueued
    if job.cancelled:
        yield JobCancelled(job.spec.id)
    if job.started:
        yield JobStarted(job.spec.id)
    for state in filter(_was_placed, job.steps.values()):
        yield _step_snapshot(job, state)


def _was_placed(state: StepState) -> bool:
    return bool(state.numbers or state.done)


def _step_snapshot(job: CellJob, state: StepState) -> StepSnapshot:
    return StepSnapshot(
        state.key,
        tuple(sorted(state.done)),
        tuple(state.numbers.items()),
        tuple(state.failures.items()),
        tuple(state.checkpoints.items()),
        tuple(
            (run.index, run.number, run.instance) for run in state.runs.values()
        ),
        job.failed,
        state.failed_run,
    )
