"""Outcomes of a replayed load's jobs, and the worth that they earned."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, replace
from math import ceil
from operator import attrgetter

from daisygw.cell import Run
from daisygw.contracts import (
    JobSpec,
    ResultCode,
    Step,
    StepKey,
    critical_path,
)
from standins.cell_load import World, work_of
from standins.load_types import JobKind, Load

# Limits of a job's worth relative to its kind's worth.  Within them it grows
# with the job's work relative to the mean work of the kind.
MIN_WORTH_FACTOR = 0.3
MAX_WORTH_FACTOR = 4.0
# A job that ends after its objective earns its late worth up to this multiple
# of the objective, and nothing after it.
MAX_AGE_FACTOR = 3
# The shares of a kind's jobs, largest first, whose service is shown apart.
_LARGEST_SHARE = 0.1
_NEXT_SHARE = 0.2
# Targets per step in the advice call that an objective allows for.
_ADVISED_TARGETS_PER_STEP = 30


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """The outcome of a job.

    ``age`` (s) is the time from its submission to its end, None if it has not
    ended; ``objective`` (s) is the limit of it for the full worth.
    ``core_seconds`` is its work by its estimates.
    """

    kind: str
    worth_factor: float
    objective: float
    code: int
    age: float | None
    failed: bool
    core_seconds: float


def _worth_factor(
    kind: JobKind, job: JobSpec, mean_core_seconds: float
) -> float:
    work = _core_seconds(job)
    factor = (
        MIN_WORTH_FACTOR + (1 - MIN_WORTH_FACTOR) * work / mean_core_seconds
    )
    return min(factor, MAX_WORTH_FACTOR)


def _core_seconds(job: JobSpec) -> float:
    return sum(
        step.count * step.estimate * step.size.cpus for step in job.steps
    )


def job_outcomes(world: World) -> Iterator[JobOutcome]:
    """Yield the outcome of each job."""
    core_seconds_by_kind = defaultdict(list)
    for kind, job, _ in world.jobs.values():
        core_seconds_by_kind[kind.name].append(_core_seconds(job))
    for name, (kind, job, at) in world.jobs.items():
        core_seconds = core_seconds_by_kind[kind.name]
        worth_factor = _worth_factor(
            kind, job, sum(core_seconds) / len(core_seconds)
        )
        ended_at, failed = world.ends.get(name, (None, False))
        age = None if ended_at is None else ended_at - at
        actual = replace(job, steps=_steps_with_actual_times(world, job))
        objective = kind.slack * critical_path(actual.steps) + kind.latency
        code = world.codes.get(name, 0)
        yield JobOutcome(
            kind.name,
            worth_factor,
            objective,
            code,
            age,
            failed,
            _core_seconds(job),
        )


def _steps_with_actual_times(world: World, job: JobSpec) -> tuple[Step, ...]:
    """Return the steps with their actual run times on a free, fault-free cell.

    The time of a step includes its advice call.
    """
    call = world.jobs[job.id][0].advisor
    advice = call.decision + _ADVISED_TARGETS_PER_STEP * call.per_target
    steps = []
    for number, step in enumerate(job.steps):
        key = StepKey(job.id, 0, number)
        longest = max(
            work_of(world, Run(key, index, 1, ''))
            for index in range(step.count)
        )
        waves = _wave_count(world.load, step)
        steps.append(replace(step, estimate=longest * waves + advice))
    return tuple(steps)


def _wave_count(load: Load, step: Step) -> int:
    """Return in how many waves a step runs on a quarter of the cell's CPUs."""
    usable_cpus = load.targets * load.target_cpus / 4
    return max(ceil(step.count * step.size.cpus / usable_cpus), 1)


def earned_worth(outcome: JobOutcome, kind: JobKind) -> float:
    """Return the worth that a job has earned."""
    if not _is_served(outcome):
        return 0
    worth = kind.worth if outcome.age <= outcome.objective else kind.late_worth
    return worth * outcome.worth_factor


def _is_served(outcome: JobOutcome) -> bool:
    """Tell whether a job's result still has a worth for its caller."""
    if outcome.age is None or outcome.failed:
        return False
    if outcome.code != ResultCode.ACCEPTED:
        return False
    return outcome.age <= MAX_AGE_FACTOR * outcome.objective


@dataclass(frozen=True, slots=True)
class Figures:
    """Shares of a kind's jobs, and the share of its worth that was earned.

    ``served`` is the share of jobs that earned a worth, ``largest_tenth`` and
    ``next_fifth`` that of the largest tenth by work and of the fifth below it.
    """

    jobs: int
    refused: float
    in_time: float
    late: float
    earned: float
    served: float = 0
    largest_tenth: float = 0
    next_fifth: float = 0


def figures(world: World) -> dict[str, Figures]:
    """Return the figures by kind.

    ``''`` holds the number of all jobs and the earned share of their worth.
    """
    known = {kind.name: kind for kind in world.load.kinds}
    by_kind: dict[str, list[JobOutcome]] = defaultdict(list)
    for outcome in job_outcomes(world):
        by_kind[outcome.kind].append(outcome)
    found = {}
    earned, possible = 0.0, 0.0
    for name, rows in by_kind.items():
        kind = known[name]
        kind_earned = sum(earned_worth(outcome, kind) for outcome in rows)
        kind_possible = sum(
            kind.worth * outcome.worth_factor for outcome in rows
        )
        earned += kind_earned
        possible += kind_possible
        found[name] = _figures_of(rows, kind_earned / kind_possible)
    found[''] = Figures(len(world.jobs), 0, 0, 0, earned / possible)
    return found


def _figures_of(rows: list[JobOutcome], earned: float) -> Figures:
    refused = sum(outcome.code != ResultCode.ACCEPTED for outcome in rows)
    ended = [outcome for outcome in rows if outcome.age is not None]
    in_time = sum(outcome.age <= outcome.objective for outcome in ended)
    late = len(ended) - in_time
    jobs = len(rows)
    by_size = sorted(rows, key=attrgetter('core_seconds'), reverse=True)
    largest = ceil(_LARGEST_SHARE * jobs)
    next_largest = ceil((_LARGEST_SHARE + _NEXT_SHARE) * jobs)
    return Figures(
        jobs,
        refused / jobs,
        in_time / jobs,
        late / jobs,
        earned,
        _served_share(rows),
        _served_share(by_size[:largest]),
        _served_share(by_size[largest:next_largest]),
    )


def _served_share(rows: list[JobOutcome]) -> float:
    return sum(map(_is_served, rows)) / max(len(rows), 1)
