"""Registry of jobs: every accepted request and the state of its tasks.

Only log records change it, so that it is the same on every replica.
"""

from collections import Counter, defaultdict
from dataclasses import replace

from daisygw.contracts._codes import ResultCode
from daisygw.contracts._records import (
    JobAccepted,
    JobPurged,
    TaskEnded,
    TaskPlaced,
    TaskRequeued,
)
from daisygw.contracts._request import Contract
from daisygw.contracts._size import ZERO_SIZE, Size, minus, plus, times
from daisygw.contracts._task import Task, TaskState


class Job:
    """An accepted request with its tasks.

    ``accepted`` and ``ended`` (0 until then) are in milliseconds since the
    Unix epoch; ``open`` counts the tasks that have not ended.
    """

    def __init__(self, contract: Contract, at: int) -> None:
        """Start with all tasks queued at ``at`` (ms since the Unix epoch)."""
        self.contract = contract
        self.accepted = at
        self.ended = 0
        self.open = contract.count
        self.tasks = [Task(index, at) for index in range(contract.count)]


class JobRegistry:
    """All jobs by id, the resources of each team, and learned run times.

    A team's ``claimed`` size is that of all its tasks that have not ended,
    its ``held`` size that of its leased tasks.  ``learned`` holds mean run
    times (s) by ``work_key``.  ``started`` counts leases, ``retried`` attempts
    queued again after a fault, and ``ended`` tasks by result code.
    """

    def __init__(self) -> None:
        """Start without jobs."""
        self.jobs: dict[str, Job] = {}
        self.claimed: dict[str, Size] = defaultdict(lambda: ZERO_SIZE)
        self.held: dict[str, Size] = defaultdict(lambda: ZERO_SIZE)
        self.learned: dict[str, float] = {}
        self.retried = 0
        self.started = 0
        self.ended: Counter[int] = Counter()


# Weight of the newest run time in the moving average of run times: the
# average follows a change within about 4 runs.
_NEWEST_RUN_WEIGHT = 0.25
_MS_PER_S = 1000


def work_key(contract: Contract) -> str:
    """Return the key under which run times of this kind are learned."""
    return f'{contract.team}/{contract.work}'


def expected_run_time(job_registry: JobRegistry, contract: Contract) -> float:
    """Return the expected run time (s): learned, else declared, else 1."""
    learned = job_registry.learned.get(work_key(contract))
    if learned is None:
        return contract.run or 1
    return learned


def apply_job_accepted(job_registry: JobRegistry, record: JobAccepted) -> None:
    """Add a new job; ignore a job that is known already."""
    contract = record.contract
    if contract.id in job_registry.jobs:
        return
    job_registry.jobs[contract.id] = Job(contract, record.at)
    claim = times(contract.size, contract.count)
    team = contract.team
    job_registry.claimed[team] = plus(job_registry.claimed[team], claim)


def apply_task_placed(job_registry: JobRegistry, record: TaskPlaced) -> Size:
    """Lease a task to a target; return the size to reserve there."""
    job = job_registry.jobs[record.job]
    previous = job.tasks[record.index]
    job.tasks[record.index] = Task(
        record.index,
        previous.ready,
        TaskState.LEASED,
        record.attempt,
        record.target,
        record.incarnation,
        record.at,
        previous.code,
        previous.failed_on,
    )
    team = job.contract.team
    job_registry.held[team] = plus(job_registry.held[team], job.contract.size)
    job_registry.started += 1
    return job.contract.size


def _release(job_registry: JobRegistry, job: Job, task: Task) -> None:
    if task.state is TaskState.LEASED:
        team = job.contract.team
        job_registry.held[team] = minus(
            job_registry.held[team], job.contract.size
        )


def _update_run_time(
    job_registry: JobRegistry, contract: Contract, run: int
) -> None:
    key = work_key(contract)
    observed_s = run / _MS_PER_S
    mean_s = job_registry.learned.get(key, observed_s)
    job_registry.learned[key] = (
        mean_s + (observed_s - mean_s) * _NEWEST_RUN_WEIGHT
    )


def apply_task_ended(job_registry: JobRegistry, record: TaskEnded) -> Task:
    """End a task; return its previous state."""
    job = job_registry.jobs[record.job]
    task = job.tasks[record.index]
    _release(job_registry, job, task)
    job.tasks[record.index] = Task(
        record.index,
        task.ready,
        TaskState.ENDED,
        task.attempt,
        task.target,
        task.incarnation,
        record.at,
        record.code,
        task.failed_on,
    )
    contract = job.contract
    job_registry.ended[record.code] += 1
    if record.code == ResultCode.ANSWERED:
        _update_run_time(job_registry, contract, record.run)
    job.open -= 1
    if job.open == 0:
        job.ended = record.at
    team = contract.team
    job_registry.claimed[team] = minus(
        job_registry.claimed[team], contract.size
    )
    return task


def apply_task_requeued(
    job_registry: JobRegistry, record: TaskRequeued
) -> Task:
    """Queue a task again; return its previous state."""
    job = job_registry.jobs[record.job]
    task = job.tasks[record.index]
    _release(job_registry, job, task)
    failed_on = task.failed_on
    if record.fault:
        failed_on = (*failed_on, task.target)
        job_registry.retried += 1
    job.tasks[record.index] = replace(
        task,
        state=TaskState.QUEUED,
        target='',
        incarnation='',
        since=record.at,
        failed_on=failed_on,
    )
    return task


def apply_job_purged(job_registry: JobRegistry, record: JobPurged) -> None:
    """Remove an ended job."""
    job_registry.jobs.pop(record.job, None)
