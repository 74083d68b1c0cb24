"""The replicated state of a failure domain, changed only by log records."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from daisygw.contracts import (
    ZERO_SIZE,
    JobAccepted,
    JobPurged,
    JobRegistry,
    RefusalsCounted,
    Size,
    TaskEnded,
    TaskKey,
    TaskPlaced,
    TaskRequeued,
    apply_job_accepted,
    apply_job_purged,
    apply_task_ended,
    apply_task_placed,
    apply_task_requeued,
    minus,
    plus,
)
from daisygw.machines import (
    TargetDrained,
    TargetDropped,
    TargetListed,
    TargetQuarantined,
    Workers,
    drain_target,
    drop_target,
    quarantine_target,
    release_capacity,
    reserve_capacity,
    upsert_target,
)
from daisygw.report import Tally, record_packing, record_wait


class ReplicatedState:
    """Jobs, workers and counters of one failure domain."""

    def __init__(self) -> None:
        """Begin empty."""
        self.job_registry = JobRegistry()
        self.workers = Workers()
        self.tally = Tally()
        self.capacity = ZERO_SIZE
        self.held = ZERO_SIZE


def apply(replicated: ReplicatedState, record: Any) -> None:
    """Apply one log record to the replicated state."""
    _BY_TYPE[type(record)](replicated, record)


def _accept(replicated: ReplicatedState, record: JobAccepted) -> None:
    apply_job_accepted(replicated.job_registry, record)


def _place(replicated: ReplicatedState, record: TaskPlaced) -> None:
    job = replicated.job_registry.jobs[record.job]
    previous = job.tasks[record.index]
    size = apply_task_placed(replicated.job_registry, record)
    key = TaskKey(record.job, record.index)
    reserve_capacity(replicated.workers, record.target, key, size)
    if record.attempt == 1:
        contract = job.contract
        wait = record.at - previous.ready
        record_wait(replicated.tally, contract.team, contract.kind, wait)
    _set_held(replicated, plus(replicated.held, size), record.at)


def _set_held(replicated: ReplicatedState, held: Size, at: int) -> None:
    replicated.held = held
    record_packing(
        replicated.tally.packing_totals, at, held, replicated.capacity
    )


def _release_capacity(
    replicated: ReplicatedState, target: str, key: TaskKey, at: int
) -> None:
    size = replicated.job_registry.jobs[key.job].contract.size
    release_capacity(replicated.workers, target, key)
    _set_held(replicated, minus(replicated.held, size), at)


def _end(replicated: ReplicatedState, record: TaskEnded) -> None:
    previous = apply_task_ended(replicated.job_registry, record)
    contract = replicated.job_registry.jobs[record.job].contract
    replicated.tally.outcomes[contract.team, record.code] += 1
    if previous.target:
        key = TaskKey(record.job, record.index)
        _release_capacity(replicated, previous.target, key, record.at)


def _requeue(replicated: ReplicatedState, record: TaskRequeued) -> None:
    previous = apply_task_requeued(replicated.job_registry, record)
    key = TaskKey(record.job, record.index)
    _release_capacity(replicated, previous.target, key, record.at)


def _purge(replicated: ReplicatedState, record: JobPurged) -> None:
    apply_job_purged(replicated.job_registry, record)


def _upsert_target(replicated: ReplicatedState, record: TargetListed) -> None:
    added = upsert_target(replicated.workers, record)
    replicated.capacity = plus(replicated.capacity, added)


def _drop(replicated: ReplicatedState, record: TargetDropped) -> None:
    lost = drop_target(replicated.workers, record)
    replicated.capacity = minus(replicated.capacity, lost)


def _drain(replicated: ReplicatedState, record: TargetDrained) -> None:
    drain_target(replicated.workers, record)


def _quarantine(replicated: ReplicatedState, record: TargetQuarantined) -> None:
    quarantine_target(replicated.workers, record)


def _count_refusals(
    replicated: ReplicatedState, record: RefusalsCounted
) -> None:
    replicated.tally.refusals[record.team, record.code] += record.count


_BY_TYPE: Mapping[type, Callable[[ReplicatedState, Any], None]] = (
    MappingProxyType({
        JobAccepted: _accept,
        JobPurged: _purge,
        RefusalsCounted: _count_refusals,
        TargetDrained: _drain,
        TargetDropped: _drop,
        TargetListed: _upsert_target,
        TargetQuarantined: _quarantine,
        TaskEnded: _end,
        TaskPlaced: _place,
        TaskRequeued: _requeue,
    })
)
