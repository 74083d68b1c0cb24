"""The replicated state of a cell: configuration, jobs and targets.

Only log records change it, each through ``apply``.  Nothing here depends on
who leads or on the time.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from daisygw.cell._customers import KeyIndex, index_keys
from daisygw.cell._usage import add_usage, remove_usage, task_size
from daisygw.contracts import (
    ZERO_SIZE,
    CancelNoted,
    CancelsPurged,
    CellConfig,
    ConfigStored,
    Customer,
    EndsAcknowledged,
    InstanceClosed,
    InstanceEnded,
    JobCancelled,
    JobEnqueued,
    JobsPurged,
    JobStarted,
    JobState,
    Queue,
    QueueRetained,
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

# Ends of a run that its target need not have started.
MAYBE_UNSTARTED = frozenset({RunEnd.LOST, RunEnd.REFUSED})
# Task index under which the failures of a whole gang are counted.
GANG_INDEX = -1


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a task, which holds capacity of a target instance.

    ``instance`` is the key of that instance.
    """

    step: StepKey
    index: int
    number: int
    instance: str


class StepState:
    """The state of one step in one occurrence of its job.

    ``done`` holds the indexes of completed tasks.  The mappings are by task
    index; ``numbers`` maps to the newest run number.  ``failed_run`` is the
    number of a gang's newest failed run, which counts as one failure.
    """

    def __init__(self, key: StepKey, step: Step) -> None:
        """Begin without started tasks."""
        self.key = key
        self.step = step
        self.done: set[int] = set()
        self.numbers: dict[int, int] = {}
        self.failures: dict[int, int] = {}
        self.failed_run = 0
        self.checkpoints: dict[int, str] = {}
        self.runs: dict[int, Run] = {}

    @property
    def complete(self) -> bool:
        """Whether all its tasks are done."""
        return len(self.done) == self.step.count


class CellJob:
    """The state of one job and its steps.

    It has ``started`` once a target is known to have started a task of it; a
    task that is only placed may be on a target that does not answer.
    """

    def __init__(self, enqueued: JobEnqueued) -> None:
        """Begin without started steps."""
        self.enqueued = enqueued
        self.spec = enqueued.job
        self.cancelled = False
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
        """The state that callers are shown."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if self.open_steps == 0:
            return JobState.COMPLETED
        return JobState.RUNNING if self.started else JobState.QUEUED

    @property
    def over(self) -> bool:
        """Whether the job has ended and none of its tasks may start."""
        return self.cancelled or self.failed or self.open_steps == 0


class TargetState:
    """One target instance and the runs that hold capacity there.

    ``position`` is that of the newest run end which is in the log.
    """

    def __init__(self, instance: TargetInstance) -> None:
        """Begin without runs, open to new work."""
        self.instance = instance
        self.key = instance_key(instance)
        self.open = True
        self.used: Size = ZERO_SIZE
        self.runs: dict[tuple[StepKey, int], Run] = {}
        self.position = 0

    @property
    def free(self) -> Size:
        """The capacity that no run holds."""
        return minus(self.instance.capacity, self.used)


class Cell:
    """The state of a cell that its log defines.

    ``queues`` holds the configured queues by host and prefix, and those that
    were removed from the configuration while they had unfinished jobs.
    ``key_index`` holds the keys of the configuration's customers.
    ``customers`` holds the configured customers by name.  ``customer_usage``
    is by customer the size of all tasks from the record that places them to
    that of their end ('': of jobs that belong to none), and ``lasting_usage``
    that of long-running tasks among them.  ``early_cancels`` has by customer
    the ids of jobs that were cancelled before they were known, the oldest
    first.
    """

    def __init__(self) -> None:
        """Begin without configuration, jobs and targets."""
        self.cfg: CellConfig | None = None
        self.key_index: KeyIndex = index_keys(None)
        self.queues: dict[tuple[str, str], Queue] = {}
        self.jobs: dict[str, CellJob] = {}
        self.targets: dict[str, TargetState] = {}
        self.customers: dict[str, Customer] = {}
        self.customer_usage: dict[str, Size] = {}
        self.lasting_usage: dict[str, Size] = {}
        self.early_cancels: dict[str, dict[str, None]] = {}


def step_of(cell: Cell, key: StepKey) -> StepState | None:
    """Return a step's state, or none if its job is unknown."""
    job = cell.jobs.get(key.job)
    return job.steps.get((key.occurrence, key.step)) if job else None


def queue_of(cell: Cell, job: CellJob) -> Queue | None:
    """Return the newest definition of the queue that accepted a job."""
    return cell.queues.get((job.enqueued.host, job.enqueued.prefix))


def _key_of(queue: Queue) -> tuple[str, str]:
    return (queue.host, queue.prefix)


def _store_config(cell: Cell, record: ConfigStored) -> None:
    if cell.cfg and record.cfg.version <= cell.cfg.version:
        return
    cell.cfg = record.cfg
    cell.key_index = index_keys(record.cfg)
    needed = {
        (job.enqueued.host, job.enqueued.prefix)
        for job in cell.jobs.values()
        if not job.over
    }
    cell.queues = {
        key: queue for key, queue in cell.queues.items() if key in needed
    }
    cell.queues.update((_key_of(queue), queue) for queue in record.cfg.queues)
    cell.customers = {row.name: row for row in record.cfg.customers or ()}


def _keep_queue(cell: Cell, record: QueueRetained) -> None:
    cell.queues[_key_of(record.queue)] = record.queue


def _add_job(cell: Cell, record: JobEnqueued) -> None:
    cell.jobs.setdefault(record.job.id, CellJob(record))


def _cancel_job(cell: Cell, record: JobCancelled) -> None:
    job = cell.jobs.get(record.job)
    if job and not job.over:
        job.cancelled = True


def _start_job(cell: Cell, record: JobStarted) -> None:
    job = cell.jobs.get(record.job)
    if job:
        job.started = True


def _note_cancel(cell: Cell, record: CancelNoted) -> None:
    cell.early_cancels.setdefault(record.customer, {})[record.job] = None


def _purge_cancels(cell: Cell, record: CancelsPurged) -> None:
    for customer, job in record.rows:
        names = cell.early_cancels.get(customer, {})
        names.pop(job, None)
        if not names:
            cell.early_cancels.pop(customer, None)


def _remove_jobs(cell: Cell, record: JobsPurged) -> None:
    for name in record.jobs:
        cell.jobs.pop(name, None)


def _add_instance(cell: Cell, record: InstanceListed) -> None:
    cell.targets.setdefault(
        instance_key(record.instance), TargetState(record.instance)
    )


def _drain_instance(cell: Cell, record: InstanceClosed) -> None:
    target = cell.targets.get(record.instance)
    if target:
        target.open = False


def _remove_instance(cell: Cell, record: InstanceEnded) -> None:
    target = cell.targets.pop(record.instance, None)
    if target is None:
        return
    for run in target.runs.values():
        state = step_of(cell, run.step)
        if state and state.runs.get(run.index) == run:
            state.runs.pop(run.index)
            _count_run(cell, state, remove_usage)


def _advance_position(cell: Cell, record: EndsAcknowledged) -> None:
    target = cell.targets.get(record.instance)
    if target:
        target.position = max(target.position, record.position)


def _place_runs(cell: Cell, record: RunsPlaced) -> None:
    state = step_of(cell, record.step)
    if state is None:
        return
    for index, number, key in record.rows:
        run = Run(record.step, index, number, key)
        earlier = state.runs.get(index)
        if earlier:
            _release_run(cell, state, earlier)
        state.numbers[index] = number
        state.runs[index] = run
        _count_run(cell, state, add_usage)
        target = cell.targets.get(key)
        if target:
            target.runs[record.step, index] = run
            target.used = plus(target.used, task_size(state.step))


def _count_run(
    cell: Cell,
    state: StepState,
    change: Callable[[dict[str, Size], str, Size], None],
) -> None:
    """Change what a job's customer has running by one task of a step.

    A task counts with its full size, also where it ``fills`` a target.
    """
    customer = cell.jobs[state.key.job].enqueued.customer
    change(cell.customer_usage, customer, state.step.size)
    if state.step.lasting:
        change(cell.lasting_usage, customer, state.step.size)


def _release_run(cell: Cell, state: StepState, run: Run) -> None:
    state.runs.pop(run.index)
    _count_run(cell, state, remove_usage)
    target = cell.targets.get(run.instance)
    if target and target.runs.pop((run.step, run.index), None):
        target.used = minus(target.used, task_size(state.step))


def _end_run(cell: Cell, record: RunFinished) -> None:
    state = step_of(cell, record.step)
    run = state.runs.get(record.index) if state else None
    if run is None or run.number != record.number:
        return
    _release_run(cell, state, run)
    if record.checkpoint:
        indexes = range(state.step.count) if state.step.gang else (run.index,)
        state.checkpoints.update(dict.fromkeys(indexes, record.checkpoint))
    job = cell.jobs[record.step.job]
    job.started = job.started or record.how not in MAYBE_UNSTARTED
    if state.step.lasting:
        return
    if record.how is RunEnd.DONE:
        _complete(job, state, run.index)
    elif record.how is RunEnd.FAILED:
        _count_failure(cell, job, state, record)


def _complete(job: CellJob, state: StepState, index: int) -> None:
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
    job: CellJob,
    state: StepState,
    record: RunFinished,
) -> None:
    index = record.index
    if state.step.gang:
        if record.number <= state.failed_run:
            return
        state.failed_run = record.number
        index = GANG_INDEX
    state.failures[index] = state.failures.get(index, 0) + 1
    queue = queue_of(cell, job)
    if queue and state.failures[index] >= queue.attempts and not job.over:
        job.failed = True


def _restore_step(cell: Cell, record: StepSnapshot) -> None:
    job = cell.jobs[record.step.job]
    state = step_of(cell, record.step)
    _place_runs(cell, RunsPlaced(record.step, record.rows))
    state.numbers = dict(record.numbers)
    state.failures = dict(record.failures)
    state.checkpoints = dict(record.checkpoint)
    state.done = set(record.done)
    state.failed_run = record.failed_run
    job.started = job.started or bool(record.done or record.failures)
    job.failed = record.failed
    if state.complete:
        job.open_steps -= 1


_APPLY: Mapping[type, Callable[[Cell, Any], None]] = MappingProxyType({
    ConfigStored: _store_config,
    QueueRetained: _keep_queue,
    JobEnqueued: _add_job,
    JobCancelled: _cancel_job,
    CancelNoted: _note_cancel,
    CancelsPurged: _purge_cancels,
    JobStarted: _start_job,
    JobsPurged: _remove_jobs,
    InstanceListed: _add_instance,
    InstanceClosed: _drain_instance,
    InstanceEnded: _remove_instance,
    EndsAcknowledged: _advance_position,
    RunsPlaced: _place_runs,
    RunFinished: _end_run,
    StepSnapshot: _restore_step,
})


def apply(cell: Cell, record: Any) -> None:
    """Apply one log record."""
    _APPLY[type(record)](cell, record)
