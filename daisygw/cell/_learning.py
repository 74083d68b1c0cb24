"""What a leader learns from ends: run times, fast and failing targets."""

from daisygw.cell._lead import (
    UNKNOWN_PACE,
    CellLeader,
    Ordered,
    Pace,
    queue_of,
)
from daisygw.cell._state import Run, step_of
from daisygw.contracts import RunEnd

# A target on which this many jobs failed one after the other is set aside.
FAILED_JOBS = 3
# It is tried again after this long, s.
SET_ASIDE = 3.0
# How much the newest run time counts for a learned one.
RATE = 0.2
# A run time counts at most this often the usual one: a straggler says little.
_MOST_STRETCH = 2
# How many times slower or faster one run may say that a target is; chosen, so
# that one odd run does not set the pace.
_MOST_PACE = 4
# How much the newest pace counts for the usual one, which keeps learned
# paces from rising together.
_USUAL_RATE = 0.01


def learn(
    lead: CellLeader, run: Run, how: RunEnd, ordered: Ordered | None
) -> None:
    """Learn from a run that ended by itself."""
    suspects = lead.suspects.setdefault(run.instance, set())
    if how is RunEnd.FAILED:
        suspects.add(run.step.job)
        _judge(lead, run.instance, len(suspects))
        return
    suspects.clear()
    if ordered and run.number == 1:
        took = lead.now - ordered.at
        _learn_stretch(lead, run, took)
        _learn_pace(lead, run, took)


def _judge(lead: CellLeader, instance: str, jobs: int) -> None:
    """Set a target aside that fails one job after the other."""
    contact = lead.lease_states.get(instance)
    if contact and jobs >= FAILED_JOBS:
        contact.quarantined_until = lead.now + SET_ASIDE
        lead.log_event('target set aside', target=instance, jobs=jobs)


def _learn_stretch(lead: CellLeader, run: Run, took: float) -> None:
    """Learn how far a queue's estimates are off."""
    queue = queue_of(lead, lead.cell.jobs[run.step.job])
    estimate = step_of(lead.cell, run.step).step.estimate
    if queue is None or estimate <= 0:
        return
    usual = lead.stretch.get(queue.name, 1.0)
    counted = min(took / estimate, _MOST_STRETCH * usual)
    lead.stretch[queue.name] = usual + RATE * (counted - usual)


def _learn_pace(lead: CellLeader, run: Run, took: float) -> None:
    """Learn a target's pace from tasks of one step that ran elsewhere.

    Estimates cancel out so.  All members of a gang take as long as the one
    on its slowest target, which tells nothing of the others.
    """
    if step_of(lead.cell, run.step).step.gang:
        return
    relative_speed = lead.relative_speed.get(run.instance, UNKNOWN_PACE)
    others = lead.run_times.setdefault(run.step, [])
    if others:
        fresh = _beside_usual(lead, took / _middle(others))
        rate = max(RATE, 1 / (relative_speed.tasks + 1))
        slowness = relative_speed.slowness + rate * (
            fresh - relative_speed.slowness
        )
        lead.relative_speed[run.instance] = Pace(
            slowness, relative_speed.tasks + 1
        )
    others.append(took / relative_speed.slowness)


def _middle(times: list[float]) -> float:
    return sorted(times)[len(times) // 2]


def _beside_usual(lead: CellLeader, relative_speed: float) -> float:
    """Return a pace against the usual one, which all have on average."""
    relative_speed = min(max(relative_speed, 1 / _MOST_PACE), _MOST_PACE)
    lead.usual_pace += _USUAL_RATE * (relative_speed - lead.usual_pace)
    return relative_speed / lead.usual_pace
