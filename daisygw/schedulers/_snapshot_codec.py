"""Encoding and decoding of ``ReplicatedState`` for snapshots."""

from collections import Counter
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from daisygw.contracts import Contract, Job, JobRegistry, Size, Task, TaskKey
from daisygw.machines import TargetSpec, Worker, Workers, add_worker
from daisygw.report import Packing, Tally
from daisygw.zones import ReplicatedState

_JobRow = tuple[Contract, int, int, int, list[Task]]
_WorkerRow = tuple[
    TargetSpec,
    Size,
    list[tuple[TaskKey, Size]],
    bool,
    bool,
]
_JobRegistryRow = tuple[
    list[_JobRow],
    dict[str, Size],
    dict[str, Size],
    dict[str, float],
    int,
    int,
    dict[int, int],
]
_PackingTotalsRow = tuple[int, Size, Size, Size, Size]
_TallyRow = tuple[
    list[tuple[str, str, str]],
    list[tuple[str, int, int]],
    list[tuple[str, int, int]],
    _PackingTotalsRow,
]
_StateRow = tuple[_JobRegistryRow, list[_WorkerRow], _TallyRow, Size, Size]
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_StateRow).decode


def dump(replicated: ReplicatedState) -> bytes:
    """Encode a replicated state."""
    return _encode((
        _dump_job_registry(replicated.job_registry),
        [
            _dump_worker(worker)
            for worker in replicated.workers.by_name.values()
        ],
        _dump_tally(replicated.tally),
        replicated.capacity,
        replicated.held,
    ))


def _dump_job_registry(job_registry: JobRegistry) -> tuple[Any, ...]:
    jobs = [
        (job.contract, job.accepted, job.ended, job.open, job.tasks)
        for job in job_registry.jobs.values()
    ]
    return (
        jobs,
        job_registry.claimed,
        job_registry.held,
        job_registry.learned,
        job_registry.retried,
        job_registry.started,
        job_registry.ended,
    )


def _dump_worker(worker: Worker) -> tuple[Any, ...]:
    held = list(worker.held.items())
    return (worker.spec, worker.free, held, worker.drained, worker.aside)


def _dump_tally(tally: Tally) -> tuple[Any, ...]:
    waits = [
        (team, kind, histogram.encode().decode('ascii'))
        for (team, kind), histogram in tally.waits.items()
    ]
    packing_totals = tally.packing_totals
    return (
        waits,
        [(*key, count) for key, count in tally.refusals.items()],
        [(*key, count) for key, count in tally.outcomes.items()],
        (
            packing_totals.at,
            packing_totals.held,
            packing_totals.capacity,
            packing_totals.held_sum,
            packing_totals.capacity_sum,
        ),
    )


def load(state: bytes) -> ReplicatedState:
    """Decode a state that ``dump`` encoded; empty bytes give an empty one."""
    replicated = ReplicatedState()
    if not state:
        return replicated
    job_registry, workers, tally, replicated.capacity, replicated.held = (
        _decode(state)
    )
    _load_job_registry(replicated.job_registry, job_registry)
    for row in workers:
        _load_worker(replicated.workers, row)
    _load_tally(replicated.tally, tally)
    return replicated


def _load_job_registry(job_registry: JobRegistry, row: _JobRegistryRow) -> None:
    jobs, claimed, held, learned, retried, started, ended = row
    for contract, accepted, job_ended, open_tasks, tasks in jobs:
        job = Job(contract, accepted)
        job.ended = job_ended
        job.open = open_tasks
        job.tasks = tasks
        job_registry.jobs[contract.id] = job
    job_registry.claimed.update(claimed)
    job_registry.held.update(held)
    job_registry.learned = learned
    job_registry.retried = retried
    job_registry.started = started
    job_registry.ended = Counter(ended)


def _load_worker(workers: Workers, row: _WorkerRow) -> None:
    spec, free, held, drained, aside = row
    worker = Worker(spec)
    worker.free = free
    worker.held = dict(held)
    worker.drained = drained
    worker.aside = aside
    add_worker(workers, worker)


def _load_tally(tally: Tally, row: _TallyRow) -> None:
    waits, refusals, outcomes, packing_totals = row
    for team, kind, encoded in waits:
        tally.waits[team, kind] = HdrHistogram.decode(encoded)
    for team, code, count in refusals:
        tally.refusals[team, code] = count
    for team, code, count in outcomes:
        tally.outcomes[team, code] = count
    tally.packing_totals = Packing()
    (
        tally.packing_totals.at,
        tally.packing_totals.held,
        tally.packing_totals.capacity,
        tally.packing_totals.held_sum,
        tally.packing_totals.capacity_sum,
    ) = packing_totals
