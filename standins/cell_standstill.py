"""Finds steps of a simulated cell that stand still beside free capacity."""

from dataclasses import dataclass

from daisygw.cell import StepState, TargetState
from daisygw.contracts import Size, StepKey, count_fitting
from standins.cell_load import World, approves

# A cell counts as mostly free while less than this share of it is in use.
_MAX_USED_SHARE = 0.5
# There is room for a step if its tasks fit this many times.
_ROOM_FACTOR = 2


@dataclass(frozen=True, slots=True)
class Standstill:
    """A time (s) in which nothing of a job ran although a step could."""

    step: StepKey
    since: float
    until: float


class StandstillMonitor:
    """The steps that stand still now, and the longest time of each."""

    def __init__(self) -> None:
        """Begin without steps."""
        self.since: dict[StepKey, float] = {}
        self.longest: dict[StepKey, Standstill] = {}


def observe(world: World, monitor: StandstillMonitor) -> None:
    """Look at all steps whose turn has come; call this often."""
    standing = set()
    if _is_mostly_free(world):
        standing = {
            state.key
            for job in world.cell.jobs.values()
            if not job.over and not _is_running(job.steps.values())
            for state in job.steps.values()
            if _could_run(world, job.steps, state)
        }
    for key in set(monitor.since) - standing:
        monitor.since.pop(key)
    for key in standing:
        since = monitor.since.setdefault(key, world.now)
        known = monitor.longest.get(key)
        if known is None or world.now - since > known.until - known.since:
            monitor.longest[key] = Standstill(key, since, world.now)


def _is_mostly_free(world: World) -> bool:
    targets = world.cell.targets.values()
    return all(
        sum(getattr(target.used, resource) for target in targets)
        < _MAX_USED_SHARE
        * sum(getattr(target.instance.capacity, resource) for target in targets)
        for resource in ('cpus', 'memory')
    )


def _is_running(steps) -> bool:
    return any(state.runs for state in steps)


def _could_run(world: World, steps, state: StepState) -> bool:
    key = state.key
    turn_has_come = not state.complete and all(
        steps[key.occurrence, earlier].complete for earlier in state.step.after
    )
    if not turn_has_come:
        return False
    needed = state.step.count if state.step.gang else 1
    share = world.jobs[key.job][0].approved
    room = sum(
        _fitting(state.step.size, target)
        for target in world.cell.targets.values()
        if approves(key, target.instance.name, share)
    )
    return room >= _ROOM_FACTOR * needed


def _fitting(size: Size, target: TargetState) -> int:
    return count_fitting(size, target.free)
