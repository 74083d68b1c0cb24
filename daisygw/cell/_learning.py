"""What a leader learns from ends: run times, fast and failing targets."""

from daisygw.cell._lead import (
    DEFAULT_SPEED,
    Lead,
    OutstandingOrder,
    RelativeSpeed,
    queue_of,
)
from daisygw.cell._state import Run, step_of
from daisygw.contracts import RunEnd

# A target on which this many jobs failed one after the other is set aside.
QUARANTINE_FAILED_JOBS = 3
# It is tried again after this long, s.
QUARANTINE_S = 3.0
# How much the newest run time counts for a learned one.
NEWEST_WEIGHT = 0.2
# A run time counts at most this often the usual one: a straggler says little.
_MAX_OUTLIER_FACTOR = 2
# How many times slower or faster one run may say that a target is; chosen, so
# that one odd run does not set the pace.
_MAX_SLOWNESS = 4
# How much the newest pace counts for the usual one, which keeps learned
# paces from rising together.
_MEAN_SLOWNESS_WEIGHT = 0.01


def record_result(
    lead: Lead, run: Run, how: RunEnd, outstanding: OutstandingOrder | None
) -> None:
    """Learn from a run that ended by itself."""
    failed_jobs = lead.failed_jobs.setdefault(run.life, set())
    if how is RunEnd.FAILED:
        failed_jobs.add(run.step.job)
        _quarantine_if_failing(lead, run.life, len(failed_jobs))
        return
    failed_jobs.clear()
    if outstanding and run.number == 1:
        took = lead.now - outstanding.at
        _update_estimate_factor(lead, run, took)
        _update_speed(lead, run, took)


def _quarantine_if_failing(lead: Lead, life: str, jobs: int) -> None:
    """Set a target aside that fails one job after the other."""
    lease_state = lead.contacts.get(life)
    if lease_state and jobs >= QUARANTINE_FAILED_JOBS:
        lease_state.barred_until = lead.now + QUARANTINE_S
        lead.log_event('target set aside', target=life, jobs=jobs)


def _update_estimate_factor(lead: Lead, run: Run, took: float) -> None:
    """Learn how far a queue's estimates are off."""
    queue = queue_of(lead, lead.cell.jobs[run.step.job])
    estimate = step_of(lead.cell, run.step).step.estimate
    if queue is None or estimate <= 0:
        return
    usual = lead.estimate_factors.get(queue.name, 1.0)
    counted = min(took / estimate, _MAX_OUTLIER_FACTOR * usual)
    lead.estimate_factors[queue.name] = usual + NEWEST_WEIGHT * (
        counted - usual
    )


def _update_speed(lead: Lead, run: Run, took: float) -> None:
    """Learn a target's pace from tasks of one step that ran elsewhere.

    Estimates cancel out so.  All members of a gang take as long as the one
    on its slowest target, which tells nothing of the others.
    """
    if step_of(lead.cell, run.step).step.gang:
        return
    pace = lead.pace.get(run.life, DEFAULT_SPEED)
    others = lead.run_times.setdefault(run.step, [])
    if others:
        fresh = _normalized(lead, took / _median(others))
        rate = max(NEWEST_WEIGHT, 1 / (pace.tasks + 1))
        factor = pace.factor + rate * (fresh - pace.factor)
        lead.pace[run.life] = RelativeSpeed(factor, pace.tasks + 1)
    others.append(took / pace.factor)


def _median(times: list[float]) -> float:
    return sorted(times)[len(times) // 2]


def _normalized(lead: Lead, pace: float) -> float:
    """Return a pace against the usual one, which all have on average."""
    pace = min(max(pace, 1 / _MAX_SLOWNESS), _MAX_SLOWNESS)
    lead.mean_slowness += _MEAN_SLOWNESS_WEIGHT * (pace - lead.mean_slowness)
    return pace / lead.mean_slowness
