"""Statistics from ended runs: run times, target speeds, failing targets."""

from daisygw.cell._leader import (
    DEFAULT_SPEED,
    CellLeader,
    OutstandingOrder,
    RelativeSpeed,
)
from daisygw.cell._state import Run, queue_of, step_of
from daisygw.contracts import RunEnd

# A target on which this many jobs failed in succession is quarantined.
QUARANTINE_FAILED_JOBS = 3
# A quarantined target gets work again after this time.
QUARANTINE_S = 3.0
# Weight of the newest value in the moving averages of run times and speeds.
NEWEST_WEIGHT = 0.2
# A run time counts at most as this multiple of the average, so that a
# straggler changes it little.
_MAX_OUTLIER_FACTOR = 2
# One run may make a target appear at most this many times slower or faster, so
# that a single outlier does not decide its relative speed.
_MAX_SLOWNESS = 4
# Weight of the newest value in the mean slowness of all targets, by which
# relative speeds are divided so that they do not all rise together.
_MEAN_SLOWNESS_WEIGHT = 0.01


def record_result(
    lead: CellLeader,
    run: Run,
    how: RunEnd,
    outstanding: OutstandingOrder | None,
) -> None:
    """Update the statistics from a run that succeeded or failed."""
    failed_jobs = lead.failed_jobs.setdefault(run.instance, set())
    if how is RunEnd.FAILED:
        failed_jobs.add(run.step.job)
        _quarantine_if_failing(lead, run.instance, len(failed_jobs))
        return
    failed_jobs.clear()
    if outstanding and run.number == 1:
        took = lead.now - outstanding.at
        _update_estimate_factor(lead, run, took)
        _update_speed(lead, run, took)


def _quarantine_if_failing(lead: CellLeader, key: str, jobs: int) -> None:
    """Quarantine a target on which enough jobs failed in succession."""
    lease_state = lead.lease_states.get(key)
    if lease_state and jobs >= QUARANTINE_FAILED_JOBS:
        lease_state.quarantined_until = lead.now + QUARANTINE_S
        lead.log_event('target set aside', target=key, jobs=jobs)


def _update_estimate_factor(lead: CellLeader, run: Run, took: float) -> None:
    """Update the ratio of a queue's measured run times to its estimates."""
    queue = queue_of(lead.cell, lead.cell.jobs[run.step.job])
    estimate = step_of(lead.cell, run.step).step.estimate
    if queue is None or estimate <= 0:
        return
    average = lead.estimate_factors.get(queue.name, 1.0)
    newest = min(took / estimate, _MAX_OUTLIER_FACTOR * average)
    lead.estimate_factors[queue.name] = average + NEWEST_WEIGHT * (
        newest - average
    )


def _update_speed(lead: CellLeader, run: Run, took: float) -> None:
    """Update a target's relative speed from tasks of the step run elsewhere.

    The comparison is independent of estimates.  Gangs are left out: all
    members take as long as the slowest, which says nothing about the others.
    """
    if step_of(lead.cell, run.step).step.gang:
        return
    relative_speed = lead.relative_speed.get(run.instance, DEFAULT_SPEED)
    others = lead.run_times.setdefault(run.step, [])
    if others:
        newest = _normalized(lead, took / _median(others))
        weight = max(NEWEST_WEIGHT, 1 / (relative_speed.tasks + 1))
        slowness = relative_speed.slowness + weight * (
            newest - relative_speed.slowness
        )
        lead.relative_speed[run.instance] = RelativeSpeed(
            slowness, relative_speed.tasks + 1
        )
    others.append(took / relative_speed.slowness)


def _median(times: list[float]) -> float:
    return sorted(times)[len(times) // 2]


def _normalized(lead: CellLeader, slowness: float) -> float:
    """Return a slowness, clamped and divided by the mean of all targets."""
    slowness = min(max(slowness, 1 / _MAX_SLOWNESS), _MAX_SLOWNESS)
    lead.mean_slowness += _MEAN_SLOWNESS_WEIGHT * (
        slowness - lead.mean_slowness
    )
    return slowness / lead.mean_slowness
