"""Statistics from runs: run times, target speeds, failing targets."""

from daisygw.cell._leader import CellLeader, OutstandingOrder
from daisygw.cell._speeds import record_slowness, slowness_of
from daisygw.cell._state import Run, queue_of, step_of
from daisygw.cell._trust import record_end
from daisygw.contracts import RunEnd

# A target on which this many jobs failed in succession is quarantined.
QUARANTINE_FAILED_JOBS = 3
# A quarantined target gets work again after this time.
QUARANTINE_S = 3.0
# Weight of the newest value in the moving average of run times.
NEWEST_WEIGHT = 0.2
# A run time counts at most as this multiple of the average, so that a
# straggler changes it little.
_MAX_OUTLIER_FACTOR = 2
# Progress from which a run's time is projected; below it, the rounding to
# whole percents and the delay of the reply weigh too much.
MIN_PERCENT = 15
# Weight of a projected run time; that of the run's end is 1.
_PROGRESS_WEIGHT = 0.5
_ALL_PERCENT = 100
# Percents are rounded down; the mean of what is lost by that.
_PERCENT_ROUNDING = 0.5


def record_result(
    lead: CellLeader,
    run: Run,
    how: RunEnd,
    outstanding: OutstandingOrder | None,
) -> None:
    """Update the statistics from a run that succeeded or failed."""
    record_end(lead, run, succeeded=how is RunEnd.DONE)
    failed_jobs = lead.failed_jobs.setdefault(run.instance, set())
    if how is RunEnd.FAILED:
        failed_jobs.add(run.step.job)
        _quarantine_if_failing(lead, run.instance, len(failed_jobs))
        return
    failed_jobs.clear()
    if _is_measured(run, outstanding):
        _update_estimate_factor(lead, run, lead.now - outstanding.at)
        _update_speed(lead, run, lead.now - outstanding.answered, 1)


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


def record_progress(lead: CellLeader, run: Run, percent: int) -> None:
    """Estimate a target's speed from the progress (%) of a run that it lists.

    Each run counts once before its end, so that a slow target is known before
    its first runs end.
    """
    outstanding = lead.orders.get((run.step, run.index))
    if not MIN_PERCENT <= percent < _ALL_PERCENT or outstanding is None:
        return
    if run.index in lead.statistics.run_times.get(run.step, {}):
        return
    if _is_measured(run, outstanding):
        done = (percent + _PERCENT_ROUNDING) / _ALL_PERCENT
        elapsed = lead.now - outstanding.answered
        _update_speed(lead, run, elapsed / done, _PROGRESS_WEIGHT)


def _is_measured(run: Run, outstanding: OutstandingOrder | None) -> bool:
    """Tell whether it is known how long a run has been at work.

    That of a run of an earlier leader is not, and a repeated run may have
    begun at a checkpoint.
    """
    if outstanding is None or outstanding.start is None:
        return False
    return run.number == 1 and outstanding.answered < float('inf')


def _update_speed(
    lead: CellLeader, run: Run, took: float, weight: float
) -> None:
    """Update a target's relative speed from tasks of the step run elsewhere.

    The comparison is independent of estimates.  Gangs are left out: all
    members take as long as the slowest, which says nothing about the others.
    """
    state = step_of(lead.cell, run.step)
    target = lead.cell.targets.get(run.instance)
    if state is None or state.step.gang or target is None or took <= 0:
        return
    slowness = slowness_of(lead, target)
    times = lead.statistics.run_times.setdefault(run.step, {})
    others = [time for index, time in times.items() if index != run.index]
    if others:
        record_slowness(lead, target, took / _median(others), weight)
    times[run.index] = took / slowness


def _median(times: list[float]) -> float:
    return sorted(times)[len(times) // 2]
