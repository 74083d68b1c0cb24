"""What is at stake for the callers of waiting steps and of submitted jobs."""

from daisygw.cell._cost import Stake, job_value
from daisygw.cell._leader import CellLeader, WaitingStep
from daisygw.cell._state import CellJob
from daisygw.cell._usage import task_size
from daisygw.contracts import JobSpec, Step, dominant_share

# Weight of the newest job in the moving average of a queue's work.
_NEWEST_WEIGHT = 0.05


def step_work(lead: CellLeader, step: Step, tasks: int) -> float:
    """Return the work of some tasks of a step (share of the cell times s)."""
    share = dominant_share(task_size(step), lead.load.capacity)
    return tasks * share * max(step.estimate, 0)


def job_work(lead: CellLeader, job: JobSpec) -> float:
    """Return the work of a job's steps (share of the cell times s)."""
    return sum(step_work(lead, step, step.count) for step in job.steps)


def stake_of(lead: CellLeader, waiting: WaitingStep, tasks: int) -> Stake:
    """Return what delaying a step costs, of which ``tasks`` tasks wait."""
    job, step = waiting.job, waiting.state.step
    work = job_work(lead, job.spec)
    value = job_value(
        work, _typical(lead, waiting, work), waiting.queue.priority
    )
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


def _typical(lead: CellLeader, waiting: WaitingStep, work: float) -> float:
    """Return the mean work of a queue's jobs; learn it from a new step."""
    name = waiting.queue.name
    average = lead.load.typical_work.get(name, work)
    if waiting.rank_until == float('-inf'):
        average += _NEWEST_WEIGHT * (work - average)
        lead.load.typical_work[name] = average
    return average
