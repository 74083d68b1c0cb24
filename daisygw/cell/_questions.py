"""Which targets to ask the placement advisor about.

A call takes longest to decide, and little for each target, so a step asks
once about as many targets as almost surely give the room that it needs.
"""

from collections.abc import Iterable, Mapping
from math import ceil, sqrt

from daisygw.cell._lead import Approval, CellLeader, WaitingStep, approval_of
from daisygw.cell._rooms import preference
from daisygw.cell._state import TargetState

# Targets in one call: it then takes little longer than one decision, and
# the platform allows 100.
TARGETS_A_CALL = 40
# Ask for this often the room that is needed: some of it is taken while the
# advisor decides.
_ENOUGH = 1.2
# How much more room than it needs a gang learns of where it has to wait:
# half of it holds other work when the gang's turn comes.
_POTENTIAL = 2.0
# The approved room may fall short of its mean by so many standard
# deviations: one answer of twenty is too small.
_SURE = 1.6
# The part of targets that is approved, until answers tell.
FIRST_RATE = 0.4


class _Likely:
    """The room that is approved, and what answers are likely to add."""

    def __init__(self, approved: int, rate: float) -> None:
        """Begin with what is approved; ``rate`` is the share approved."""
        self.mean = float(approved)
        self.variance = 0.0
        self.rate = rate

    def add(self, room: int) -> None:
        """Count a target that may be approved."""
        self.mean += room * self.rate
        self.variance += room**2 * self.rate * (1 - self.rate)

    def reaches(self, needed: float) -> bool:
        """Tell whether the room is enough in almost all cases."""
        return self.mean - _SURE * sqrt(self.variance) >= needed


def targets_to_ask(
    lead: CellLeader,
    waiting: WaitingStep,
    targets: list[TargetState],
    room: Mapping[str, int],
    needed: int,
) -> list[str]:
    """Return the lives of targets to ask about for ``needed`` tasks.

    ``room`` tells how many tasks each of ``targets`` takes now.
    """
    approval = approval_of(lead, waiting.state.key)
    choose = _for_gang if waiting.state.step.gang else _for_tasks
    return choose(lead, waiting, _Split(approval, targets, room), needed)


class _Split:
    """Targets by what is known of them."""

    def __init__(
        self,
        approval: Approval,
        targets: list[TargetState],
        room: Mapping[str, int],
    ) -> None:
        """Tell approved targets, also with a stale ticket, from unknown."""
        tickets = approval.tickets
        self.approved = [one for one in targets if one.key in tickets]
        self.unknown = [one for one in targets if one.key not in tickets]
        self.tickets = tickets
        self.room = room

    def stale(self, at: float) -> list[TargetState]:
        """Return approved targets whose ticket does not hold at ``at``."""
        return [one for one in self.approved if at >= self.tickets[one.key][1]]


def _for_tasks(
    lead: CellLeader,
    waiting: WaitingStep,
    split: _Split,
    needed: int,
) -> list[str]:
    """Choose targets for tasks that start one by one: the fastest first.

    Targets that are approved come first: only their tickets are stale.
    """
    by_speed = _speed_order(lead)
    stale = sorted(split.stale(lead.now), key=by_speed)
    unknown = sorted(split.unknown, key=by_speed)
    room = {
        one.key: min(split.room[one.key], needed) for one in (*stale, *unknown)
    }
    if not any(room.values()):
        room = dict.fromkeys(room, 1)
    known = _Likely(0, 1)
    renewed = _until(known, _ENOUGH * needed, stale, room)
    likely = _Likely(int(known.mean), _rate(lead, waiting))
    return renewed + _until(likely, _ENOUGH * needed, unknown, room)


def _for_gang(
    lead: CellLeader,
    waiting: WaitingStep,
    split: _Split,
    needed: int,
) -> list[str]:
    """Choose targets for a gang, which needs all its room at once.

    Where there is room enough, the tickets of it are renewed before they
    are stale.  Where there is not, the gang learns on which targets it may
    wait for room.
    """
    room = split.room
    by_room = _gang_order(lead, room)
    unknown = sorted(split.unknown, key=by_room)
    rate = _rate(lead, waiting)
    likely = _Likely(_sum(split.approved, room), rate)
    asked = _until(likely, _ENOUGH * needed, unknown, room)
    if likely.mean < needed:
        later = _Likely(_sum(split.approved, waiting.holds), rate)
        return _until(later, _POTENTIAL * needed, unknown, waiting.holds)
    renewed = split.stale(lead.now + _call_time(waiting, len(split.approved)))
    return [one.key for one in renewed if room[one.key]] + asked


def _speed_order(lead: CellLeader):
    def order(target: TargetState) -> tuple[float, float]:
        return preference(lead, target)

    return order


def _gang_order(lead: CellLeader, room: Mapping[str, int]):
    """Order for a gang, which is as slow as its slowest target.

    Among targets of one speed much room on few is best.
    """

    def order(target: TargetState) -> tuple[float, int]:
        return preference(lead, target)[0], -room[target.key]

    return order


def _call_time(waiting: WaitingStep, targets: int) -> float:
    """Return how long a call about so many targets takes (s)."""
    advisor = waiting.queue.advisor
    return advisor.decision + targets * advisor.per_target


def _rate(lead: CellLeader, waiting: WaitingStep) -> float:
    return lead.approved.get(waiting.queue.name, FIRST_RATE)


def _sum(targets: Iterable[TargetState], room: Mapping[str, int]) -> int:
    return sum(room[one.key] for one in targets)


def _until(
    likely: _Likely,
    enough: float,
    targets: list[TargetState],
    room: Mapping[str, int],
) -> list[str]:
    """Return as many targets with room as it takes to reach ``enough``."""
    asked = []
    for target in targets:
        if likely.reaches(enough):
            break
        if room[target.key]:
            likely.add(room[target.key])
            asked.append(target.key)
    return asked


def split_question(lives: list[str]) -> list[list[str]]:
    """Split a long question evenly: callers of the advisor work in parallel."""
    parts = ceil(len(lives) / TARGETS_A_CALL)
    return [lives[number::parts] for number in range(parts)]
