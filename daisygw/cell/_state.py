"""The replicated state of a cell: configuration, jobs and targets.

It changes only by records of the log; ``apply`` takes one.  Nothing here
knows who leads or what time it is.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from daisygw.contracts import (
    ZERO_SIZE,
    CellConfig,
    ConfigStored,
    EndsAcknowledged,
    InstanceClosed,
    InstanceEnded,
    JobCancelled,
    JobEnqueued,
    JobsPurged,
    JobState,
    RunEnd,
    RunFinished,
    RunsPlaced,
    Size,
    Step,
    StepKey,
    StepSnapshot,
    minus,
    plus,
)
from daisygw.machines import InstanceListed, TargetInstance, instance_key

# The index under which a gang's failures are counted.
GANG = -1


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a task, which holds room on a target's life."""

    step: StepKey
    index: int
    number: int
    instance: str


class StepState:
    """Where one step of one occurrence stands."""

    def __init__(self, key: StepKey, step: Step) -> None:
        """Begin with nothing started."""
        self.key = key
        self.step = step
        self.done: set[int] = set()
        self.numbers: dict[int, int] = {}
        self.failures: dict[int, int] = {}
        self.failed_runs: set[int] = set()
        self.checkpoint: dict[int, str] = {}
        self.runs: dict[int, Run] = {}

    @property
    def complete(self) -> bool:
        """Whether all its tasks are done."""
        return len(self.done) == self.step.count


class JobRecord:
    """Where one job stands."""

    def __init__(self, entered: JobEnqueued) -> None:
        """Begin with no step started."""
        self.entered = entered
        self.spec = entered.job
        self.withdrawn = False
        self.failed = False
        self.started = False
        self.steps = {
            (occurrence, number): StepState(
                StepKey(self.spec.id, occurrence, number), step
            )
            for occurrence in range(max(self.spec.repeats, 1))
            for number, step in enumerate(self.spec.steps)
        }
        self.open_steps = len(self.steps)

    @property
    def state(self) -> JobState:
        """What a caller may see."""
        if self.withdrawn:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if self.open_steps == 0:
            return JobState.COMPLETED
        return JobState.RUNNING if self.started else JobState.QUEUED

    @property
    def over(self) -> bool:
        """Whether nothing of it may start any more."""
        return self.withdrawn or self.failed or self.open_steps == 0


class TargetState:
    """One life of a target, and the runs that hold room there."""

    def __init__(self, instance: TargetInstance) -> None:
        """Begin empty and open."""
        self.instance = instance
        self.key = instance_key(instance)
        self.open = True
        self.used: Size = ZERO_SIZE
        self.runs: dict[tuple[StepKey, int], Run] = {}
        self.position = 0

    @property
    def free(self) -> Size:
        """The room that no run holds."""
        return minus(self.instance.capacity, self.used)


class Cell:
    """All that the log of a cell says."""

    def __init__(self) -> None:
        """Begin without configuration, jobs and targets."""
        self.cfg: CellConfig | None = None
        self.jobs: dict[str, JobRecord] = {}
        self.targets: dict[str, TargetState] = {}


def step_of(cell: Cell, key: StepKey) -> StepState | None:
    """Return a step's state, none where its job is not known."""
    job = cell.jobs.get(key.job)
    return job.steps.get((key.occurrence, key.step)) if job else None


def max_attempts(cell: Cell, job: JobRecord) -> int:
    """Return how often a task of the job may fail."""
    if cell.cfg:
        for queue in cell.cfg.queues:
            if (queue.host, queue.prefix) == (
                job.entered.host,
                job.entered.prefix,
            ):
                return max(queue.attempts, 1)
    return 1


def _store_config(cell: Cell, record: ConfigStored) -> None:
    if cell.cfg is None or record.cfg.version > cell.cfg.version:
        cell.cfg = record.cfg


def _enter(cell: Cell, record: JobEnqueued) -> None:
    cell.jobs.setdefault(record.job.id, JobRecord(record))


def _withdraw(cell: Cell, record: JobCancelled) -> None:
    job = cell.jobs.get(record.job)
    if job and not job.over:
        job.withdrawn = True


def _forget(cell: Cell, record: JobsPurged) -> None:
    for name in record.jobs:
        cell.jobs.pop(name, None)


def _list_life(cell: Cell, record: InstanceListed) -> None:
    cell.targets.setdefault(
        instance_key(record.instance), TargetState(record.instance)
    )


def _close_life(cell: Cell, record: InstanceClosed) -> None:
    target = cell.targets.get(record.instance)
    if target:
        target.open = False


def _end_life(cell: Cell, record: InstanceEnded) -> None:
    target = cell.targets.pop(record.instance, None)
    if target is None:
        return
    for run in target.runs.values():
        state = step_of(cell, run.step)
        if state and state.runs.get(run.index) == run:
            state.runs.pop(run.index)


def _note_ends(cell: Cell, record: EndsAcknowledged) -> None:
    target = cell.targets.get(record.instance)
    if target:
        target.position = max(target.position, record.position)


def _place(cell: Cell, record: RunsPlaced) -> None:
    job = cell.jobs.get(record.step.job)
    state = step_of(cell, record.step)
    if job is None or state is None:
        return
    job.started = True
    for index, number, instance in record.rows:
        run = Run(record.step, index, number, instance)
        state.numbers[index] = number
        state.runs[index] = run
        target = cell.targets.get(instance)
        if target:
            target.runs[record.step, index] = run
            target.used = plus(target.used, room_of(state.step))


def room_of(step: Step) -> Size:
    """Return the room that a task of the step holds on a target."""
    if step.fills:
        return Size(0, step.size.memory, step.size.accelerators, 0)
    return step.size


def _free(cell: Cell, state: StepState, run: Run) -> None:
    state.runs.pop(run.index)
    target = cell.targets.get(run.instance)
    if target and target.runs.pop((run.step, run.index), None):
        target.used = minus(target.used, room_of(state.step))


def _end_run(cell: Cell, record: RunFinished) -> None:
    state = step_of(cell, record.step)
    run = state.runs.get(record.index) if state else None
    if run is None or run.number != record.number:
        return
    _free(cell, state, run)
    if record.checkpoint:
        indexes = range(state.step.count) if state.step.gang else (run.index,)
        state.checkpoint.update(dict.fromkeys(indexes, record.checkpoint))
    job = cell.jobs[record.step.job]
    if state.step.lasting:
        return
    if record.how is RunEnd.DONE:
        _complete(job, state, run.index)
    elif record.how is RunEnd.FAILED:
        _count_failure(cell, job, state, record)


def _complete(job: JobRecord, state: StepState, index: int) -> None:
    if state.complete:
        return
    if state.step.gang:
        state.done.update(range(state.step.count))
    else:
        state.done.add(index)
    if state.complete:
        job.open_steps -= 1


def _count_failure(
    cell: Cell,
    job: JobRecord,
    state: StepState,
    record: RunFinished,
) -> None:
    if state.step.gang and record.number in state.failed_runs:
        return
    state.failed_runs.add(record.number)
    index = GANG if state.step.gang else record.index
    state.failures[index] = state.failures.get(index, 0) + 1
    if state.failures[index] >= max_attempts(cell, job) and not job.over:
        job.failed = True


def _keep_step(cell: Cell, record: StepSnapshot) -> None:
    job = cell.jobs[record.step.job]
    state = step_of(cell, record.step)
    _place(cell, RunsPlaced(record.step, record.rows))
    state.numbers = dict(record.numbers)
    state.failures = dict(record.failures)
    state.checkpoint = dict(record.checkpoint)
    state.done = set(record.done)
    job.started = job.started or bool(record.numbers)
    job.failed = record.failed
    if state.complete:
        job.open_steps -= 1


_APPLY: Mapping[type, Callable[[Cell, Any], None]] = MappingProxyType({
    ConfigStored: _store_config,
    JobEnqueued: _enter,
    JobCancelled: _withdraw,
    JobsPurged: _forget,
    InstanceListed: _list_life,
    InstanceClosed: _close_life,
    InstanceEnded: _end_life,
    EndsAcknowledged: _note_ends,
    RunsPlaced: _place,
    RunFinished: _end_run,
    StepSnapshot: _keep_step,
})


def apply(cell: Cell, record: Any) -> None:
    """Take one record of the log."""
    _APPLY[type(record)](cell, record)


def snapshot(cell: Cell) -> Iterator[Any]:
    """Return records that build the same state from nothing."""
    if cell.cfg:
        yield ConfigStored(cell.cfg)
    for target in cell.targets.values():
        yield InstanceListed(target.instance)
        if not target.open:
            yield InstanceClosed(target.key)
        yield EndsAcknowledged(target.key, target.position)
    for job in cell.jobs.values():
        yield job.entered
        if job.withdrawn:
            yield JobCancelled(job.spec.id)
        for state in filter(_touched, job.steps.values()):
            yield _kept(job, state)


def _touched(state: StepState) -> bool:
    return bool(state.numbers or state.done)


def _kept(job: JobRecord, state: StepState) -> StepSnapshot:
    return StepSnapshot(
        state.key,
        tuple(sorted(state.done)),
        tuple(state.numbers.items()),
        tuple(state.failures.items()),
        tuple(state.checkpoint.items()),
        tuple(
            (run.index, run.number, run.instance) for run in state.runs.values()
        ),
        job.failed,
    )
