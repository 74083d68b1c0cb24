"""Targets of like speed for gangs, which are as slow as their slowest one."""

from collections.abc import Mapping

from daisygw.cell._leader import CellLeader, WaitingStep, approval_of
from daisygw.cell._speeds import slowness_of
from daisygw.cell._state import Run, TargetState, step_of

# Targets are of like speed if their run times differ by at most this factor.
# Learned speeds err by about 5 percent.
LIKE_SPEED = 1.3
# A gang waits for the fastest targets that hold this multiple of its tasks
# while they are empty; other work is on some of them.
_ROOM_FACTOR = 1.2
# Which targets have work that lasts is read again after this time (s).
_READ_INTERVAL_S = 1.0
# Assumed approval rate of a queue before the first answer.
INITIAL_APPROVAL_RATE = 0.3


def of_like_speed(
    lead: CellLeader, waiting: WaitingStep, targets: list[TargetState]
) -> list[TargetState]:
    """Return the targets for a gang: the fastest that could hold all of it.

    Slower ones would slow all of it down, and it would take capacity of the
    fast ones for longer.  A gang that is too wide for that may use them all.
    """
    slowness = {target.key: slowness_of(lead, target) for target in targets}
    slowest = slowest_needed(
        slowness,
        _expected_room(lead, waiting, targets),
        _ROOM_FACTOR * waiting.state.step.count,
    )
    if slowest is None:
        return targets
    return [
        target
        for target in targets
        if slowness[target.key] <= LIKE_SPEED * slowest
    ]


def _expected_room(
    lead: CellLeader, waiting: WaitingStep, targets: list[TargetState]
) -> dict[str, float]:
    """Return how many tasks each target could hold once others have ended.

    Those that the advisor has not approved count with its approval rate, and
    those with work that lasts are not expected to become free.
    """
    tickets = approval_of(lead, waiting.state.key).tickets
    rate = 1.0
    if waiting.queue.advisor:
        rate = lead.approval_rates.get(
            waiting.queue.name, INITIAL_APPROVAL_RATE
        )
    room: dict[str, float] = {}
    for target in targets:
        likelihood = 1 if target.key in tickets else rate
        room[target.key] = likelihood * waiting.max_tasks_by_target[target.key]
    return room | dict.fromkeys(_lasting_targets(lead) & room.keys(), 0)


def _lasting_targets(lead: CellLeader) -> frozenset[str]:
    """Return the keys of the targets with runs that last."""
    known = lead.statistics
    if lead.now - known.lasting_read_at > _READ_INTERVAL_S:
        known.lasting_read_at = lead.now
        known.lasting = frozenset(
            key
            for key, target in lead.cell.targets.items()
            if any(_is_lasting(lead, run) for run in target.runs.values())
        )
    return known.lasting


def _is_lasting(lead: CellLeader, run: Run) -> bool:
    state = step_of(lead.cell, run.step)
    return state is not None and state.step.lasting


def slowest_needed(
    slowness: Mapping[str, float], room: Mapping[str, float], needed: float
) -> float | None:
    """Return the slowness of the slowest of the fastest targets needed.

    None: all of them together have too little room.
    """
    total = 0.0
    for key in sorted(slowness, key=slowness.__getitem__):
        total += room[key]
        if total >= needed:
            return slowness[key]
    return None
