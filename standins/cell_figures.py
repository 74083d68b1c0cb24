"""What became of the jobs of a replayed load, and what they earned."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, replace
from math import ceil

from daisygw.cell import Run
from daisygw.contracts import (
    JobSpec,
    ResultCode,
    Step,
    StepKey,
    critical_path,
)
from standins.cell_load import CPUS, World, work_of
from standins.load_types import JobKind, Load

# What a job earns at least, and for its work beside the mean of its kind.
BASE_WORTH = 0.3
MOST_WORTH = 4.0
# Later than its objective it earns less, until this many times of it.
LATEST = 3
# An objective counts a call for advice on so many targets a step.
_ADVISED = 30


@dataclass(frozen=True, slots=True)
class Fate:
    """What became of a job: ``age`` (s) at its end, none while it waits."""

    kind: str
    credit: float
    objective: float
    code: int
    age: float | None
    failed: bool


def _credit(kind: JobKind, job: JobSpec, mean: float) -> float:
    work = _core_seconds(job)
    part = BASE_WORTH + (1 - BASE_WORTH) * work / mean
    return min(part, MOST_WORTH)


def _core_seconds(job: JobSpec) -> float:
    return sum(
        step.count * step.estimate * step.size.cpus for step in job.steps
    )


def fates(world: World) -> Iterator[Fate]:
    """Yield what became of each job."""
    means = defaultdict(list)
    for kind, job, _ in world.jobs.values():
        means[kind.name].append(_core_seconds(job))
    for name, (kind, job, at) in world.jobs.items():
        work_by_step = means[kind.name]
        credit = _credit(kind, job, sum(work_by_step) / len(work_by_step))
        over, failed = world.ends.get(name, (None, False))
        age = None if over is None else over - at
        true = replace(job, steps=_true_steps(world, job))
        objective = kind.slack * critical_path(true.steps) + kind.latency
        code = world.codes.get(name, 0)
        yield Fate(kind.name, credit, objective, code, age, failed)


def _true_steps(world: World, job: JobSpec) -> tuple[Step, ...]:
    """Return the steps with what they take on a sound, free cell."""
    call = world.jobs[job.id][0].advisor
    advice = call.decision + _ADVISED * call.per_target
    steps = []
    for number, step in enumerate(job.steps):
        key = StepKey(job.id, 0, number)
        longest = max(
            work_of(world, Run(key, index, 1, ''))
            for index in range(step.count)
        )
        waves = _waves(world.load, step)
        steps.append(replace(step, estimate=longest * waves + advice))
    return tuple(steps)


def _waves(load: Load, step: Step) -> int:
    """Return how often a step fills a quarter of the room."""
    room = load.targets * CPUS / 4
    return max(ceil(step.count * step.size.cpus / room), 1)


def worth(fate: Fate, kind: JobKind) -> float:
    """Return what a job earns."""
    if fate.age is None or fate.code != ResultCode.ACCEPTED or fate.failed:
        return 0
    if fate.age <= fate.objective:
        return kind.worth * fate.credit
    return kind.late * fate.credit if fate.age <= LATEST * fate.objective else 0


@dataclass(frozen=True, slots=True)
class Figures:
    """Shares of a kind's jobs and of its worth."""

    jobs: int
    refused: float
    in_time: float
    late: float
    earned: float


def figures(world: World) -> dict[str, Figures]:
    """Return the figures by kind, and of all (``''``) for the worth."""
    known = {kind.name: kind for kind in world.load.kinds}
    by_kind: dict[str, list[Fate]] = defaultdict(list)
    for fate in fates(world):
        by_kind[fate.kind].append(fate)
    found = {}
    earned, owed = 0.0, 0.0
    for name, rows in by_kind.items():
        kind = known[name]
        got = sum(worth(fate, kind) for fate in rows)
        due = sum(kind.worth * fate.credit for fate in rows)
        earned += got
        owed += due
        found[name] = _figures_of(rows, got / due)
    found[''] = Figures(len(world.jobs), 0, 0, 0, earned / owed)
    return found


def _figures_of(rows: list[Fate], earned: float) -> Figures:
    refused = sum(fate.code != ResultCode.ACCEPTED for fate in rows)
    ended = [fate for fate in rows if fate.age is not None]
    in_time = sum(fate.age <= fate.objective for fate in ended)
    late = len(ended) - in_time
    jobs = len(rows)
    return Figures(jobs, refused / jobs, in_time / jobs, late / jobs, earned)
