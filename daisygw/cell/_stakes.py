"""What is at stake for the callers of waiting steps and of submitted jobs."""

from collections import Counter
from math import floor, inf

from daisygw.cell._cost import Stake, job_value, rank
from daisygw.cell._leader import (
    WORTHLESS_FACTOR,
    CellLeader,
    WaitingStep,
)
from daisygw.cell._state import CellJob, task_size
from daisygw.contracts import (
    JobSpec,
    Queue,
    Step,
    critical_path,
    dominant_share,
)

# A sum of the waiting work is used for this time (s): a sum takes 4 ms for
# 5,000 steps, and jobs may come faster.
_BACKLOG_AGE_S = 0.1
# The waiting work is summed up by rank, in steps of this.
_BUCKET = 0.25


def step_work(lead: CellLeader, step: Step, tasks: int) -> float:
    """Return the work of some tasks of a step (share of the cell times s)."""
    share = dominant_share(task_size(step), lead.load.capacity)
    return tasks * share * max(step.estimate, 0)


def job_work(lead: CellLeader, job: JobSpec) -> float:
    """Return the work of a job's steps (share of the cell times s)."""
    return sum(step_work(lead, step, step.count) for step in job.steps)


def stake_of_job(lead: CellLeader, job: JobSpec, queue: Queue) -> Stake:
    """Return what delaying a job costs that is submitted now."""
    work = job_work(lead, job)
    path = critical_path(job.steps)
    remaining = path * lead.estimate_factors.get(queue.name, 1.0)
    objective = queue.slack * path + queue.latency
    return Stake(
        job_value(work, queue.priority),
        work,
        lead.now + objective - remaining,
        lead.now + WORTHLESS_FACTOR * objective - remaining,
    )


def backlog_ahead(lead: CellLeader, own_rank: float) -> float:
    """Return how long (s) the whole cell needs for steps of this rank or above.

    Ranks that differ by less than a quarter count as equal.  Surplus, and the
    steps that their customer's limit holds, use no capacity that others need.
    """
    load = lead.load
    if lead.now - load.backlog_at > _BACKLOG_AGE_S:
        load.backlog_at = lead.now
        load.backlog = Counter()
        for waiting in lead.waiting.values():
            if waiting.rank > -inf and not _yields(waiting):
                load.backlog[_bucket(waiting.rank)] += waiting.work
    own = _bucket(own_rank)
    return sum(work for bucket, work in load.backlog.items() if bucket >= own)


def _yields(waiting: WaitingStep) -> bool:
    return waiting.held or waiting.job.enqueued.surplus


def add_to_backlog(lead: CellLeader, stake: Stake) -> None:
    """Count a job that is accepted now, until the next sum."""
    lead.load.backlog[_bucket(rank(stake, lead.now))] += stake.work


def _bucket(own_rank: float) -> int:
    return floor(own_rank / _BUCKET)


def expected_work(lead: CellLeader, waiting: WaitingStep, tasks: int) -> float:
    """Return the work of a step's waiting tasks as run times have taught it."""
    factor = lead.estimate_factors.get(waiting.queue.name, 1.0)
    return factor * step_work(lead, waiting.state.step, tasks)


def stake_of(lead: CellLeader, waiting: WaitingStep, tasks: int) -> Stake:
    """Return what delaying a step costs, of which ``tasks`` tasks wait."""
    job, step = waiting.job, waiting.state.step
    value = job_value(job_work(lead, job.spec), waiting.queue.priority)
    left = step_work(lead, step, tasks) + _later_work(lead, job, waiting)
    return Stake(value, left, waiting.due, waiting.worthless_at)


def _later_work(lead: CellLeader, job: CellJob, waiting: WaitingStep) -> float:
    """Return the work of a job's steps that have not started yet."""
    key = waiting.state.key
    return sum(
        step_work(lead, state.step, state.step.count)
        for (occurrence, number), state in job.steps.items()
        if occurrence == key.occurrence
        and number != key.step
        and not state.numbers
    )
