"""Learned speeds of targets, relative to the mean run.

A measurement updates the target that ran, its rack and its kind of target.
Where a target has few recent ones, its speed is close to that of its rack, and
the rack's to that of the kind.
"""

from math import exp, log

from daisygw.cell._leader import CellLeader
from daisygw.cell._state import TargetState
from daisygw.cell._target_statistics import RelativeSpeed

# The mean of a target's rack or kind counts as much as this many ended tasks
# of the target.
_PRIOR_WEIGHT = 1.0
# Bound of the weight, so that a target whose speed changes is noticed after a
# few tasks.  With tasks of one step that vary by a quarter, the estimate then
# errs by about 5 percent.
_MAX_WEIGHT = 8.0
# The weight of a measurement falls to 1/e in this time (s).
_MEMORY_S = 60.0
# One run may make a target appear at most this many times slower or faster
# than the mean, so that a straggler does not decide its relative speed.
_MAX_SLOWNESS = 4
# The same relative to the target's own estimate, which two or more runs back.
_MAX_CHANGE = 2
_BACKED_WEIGHT = 2.0
# Weight of the newest value in the mean slowness of all runs, by which
# measurements are divided so that they do not all rise together.
_MEAN_SLOWNESS_WEIGHT = 0.01
# Estimates are read again after this time (s): a placement pass compares the
# same targets for each step.
_READ_INTERVAL_S = 0.1
_UNKNOWN = RelativeSpeed()


def slowness_of(lead: CellLeader, target: TargetState) -> float:
    """Return the run time on a target relative to the mean run.

    The value is 1 where nothing is known.
    """
    known = lead.statistics
    if lead.now - known.slowness_read_at > _READ_INTERVAL_S:
        known.slowness.clear()
        known.slowness_read_at = lead.now
    slowness = known.slowness.get(target.key)
    if slowness is None:
        slowness = _estimate(lead, target)
        known.slowness[target.key] = slowness
    return slowness


def _estimate(lead: CellLeader, target: TargetState) -> float:
    slowness = 1.0
    groups = lead.statistics.group_speed
    for speed in (
        *(groups.get(group, _UNKNOWN) for group in _groups_of(target)),
        lead.relative_speed.get(target.key, _UNKNOWN),
    ):
        slowness = _shrunk(speed, slowness, lead.now)
    return slowness


def _groups_of(target: TargetState) -> tuple[tuple[str, str], ...]:
    """Return the keys of a target's kind and of its rack within the kind."""
    kind = target.instance.kind
    return ((kind, ''), (kind, target.instance.rack))


def record_slowness(
    lead: CellLeader, target: TargetState, measured: float, weight: float
) -> None:
    """Update the speed of a target, its rack and its kind.

    ``measured`` is the run time of a task divided by that of the step's other
    tasks on a target of mean speed.  It counts as ``weight`` ended tasks.
    """
    measured = _normalized(lead, measured, weight)
    own = lead.relative_speed.get(target.key, _UNKNOWN)
    if own.weight >= _BACKED_WEIGHT:
        measured = min(
            max(measured, own.slowness / _MAX_CHANGE),
            own.slowness * _MAX_CHANGE,
        )
    lead.relative_speed[target.key] = _updated(own, measured, weight, lead.now)
    groups = lead.statistics.group_speed
    for group in _groups_of(target):
        speed = groups.get(group, _UNKNOWN)
        groups[group] = _updated(speed, measured, weight, lead.now)


def _normalized(lead: CellLeader, slowness: float, weight: float) -> float:
    """Return a slowness, clamped and divided by the mean of all runs."""
    slowness = min(max(slowness, 1 / _MAX_SLOWNESS), _MAX_SLOWNESS)
    known = lead.statistics
    change = slowness - known.mean_slowness
    known.mean_slowness += _MEAN_SLOWNESS_WEIGHT * weight * change
    return slowness / known.mean_slowness


def _current_weight(speed: RelativeSpeed, now: float) -> float:
    return speed.weight * exp(-max(now - speed.at, 0) / _MEMORY_S)


def _shrunk(speed: RelativeSpeed, prior: float, now: float) -> float:
    """Return the geometric mean of a speed and of its group's."""
    weight = _current_weight(speed, now)
    total = weight * log(speed.slowness) + _PRIOR_WEIGHT * log(prior)
    return exp(total / (weight + _PRIOR_WEIGHT))


def _updated(
    speed: RelativeSpeed, measured: float, weight: float, now: float
) -> RelativeSpeed:
    former = min(_current_weight(speed, now), _MAX_WEIGHT - weight)
    total = former * log(speed.slowness) + weight * log(measured)
    return RelativeSpeed(exp(total / (former + weight)), former + weight, now)
