"""Which targets to ask the placement advisor about.

A call takes longest to decide, and little for each target, so a step asks
once about as many targets as almost surely give the room that it needs.
"""

from collections.abc import Iterable, Mapping
from math import ceil, sqrt

from daisygw.cell._lead import Approval, Lead, WaitingStep, approval_of
from daisygw.cell._rooms import target_preference
from daisygw.cell._state import TargetState

# Targets in one call: it then takes little longer than one decision, and
# the platform allows 100.
MAX_TARGETS_PER_CALL = 40
# Ask for this often the room that is needed: some of it is taken while the
# advisor decides.
_CAPACITY_MARGIN = 1.2
# How much more room than it needs a gang learns of where it has to wait:
# half of it holds other work when the gang's turn comes.
_GANG_CAPACITY_MARGIN = 2.0
# The approved room may fall short of its mean by so many standard
# deviations: one answer of twenty is too small.
_STANDARD_DEVIATIONS = 1.6
# The part of targets that is approved, until answers tell.
INITIAL_APPROVAL_RATE = 0.4


class _ExpectedCapacity:
    """The room that is approved, and what answers are likely to add."""

    def __init__(self, approved: int, rate: float) -> None:
        """Begin with what is approved; ``rate`` is the share approved."""
        self.mean = float(approved)
        self.variance = 0.0
        self.rate = rate

    def add(self, fitting: int) -> None:
        """Count a target that may be approved."""
        self.mean += fitting * self.rate
        self.variance += fitting**2 * self.rate * (1 - self.rate)

    def reaches(self, needed: float) -> bool:
        """Tell whether the room is enough in almost all cases."""
        return self.mean - _STANDARD_DEVIATIONS * sqrt(self.variance) >= needed


def targets_to_ask(
    lead: Lead,
    waiting: WaitingStep,
    targets: list[TargetState],
    fitting: Mapping[str, int],
    needed: int,
) -> list[str]:
    """Return the lives of targets to ask about for ``needed`` tasks.

    ``fitting`` tells how many tasks each of ``targets`` takes now.
    """
    approval = approval_of(lead, waiting.state.key)
    choose = _for_gang if waiting.state.step.gang else _for_tasks
    return choose(
        lead, waiting, _KnownTargets(approval, targets, fitting), needed
    )


class _KnownTargets:
    """Targets by what is known of them."""

    def __init__(
        self,
        approval: Approval,
        targets: list[TargetState],
        fitting: Mapping[str, int],
    ) -> None:
        """Tell approved targets, also with a stale ticket, from unknown."""
        tickets = approval.tickets
        self.approved = [one for one in targets if one.key in tickets]
        self.unknown = [one for one in targets if one.key not in tickets]
        self.tickets = tickets
        self.fitting = fitting

    def stale(self, at: float) -> list[TargetState]:
        """Return approved targets whose ticket does not hold at ``at``."""
        return [one for one in self.approved if at >= self.tickets[one.key][1]]


def _for_tasks(
    lead: Lead,
    waiting: WaitingStep,
    split: _KnownTargets,
    needed: int,
) -> list[str]:
    """Choose targets for tasks that start one by one: the fastest first.

    Targets that are approved come first: only their tickets are stale.
    """
    by_speed = _task_preference(lead)
    stale = sorted(split.stale(lead.now), key=by_speed)
    unknown = sorted(split.unknown, key=by_speed)
    fitting = {
        one.key: min(split.fitting[one.key], needed)
        for one in (*stale, *unknown)
    }
    if not any(fitting.values()):
        fitting = dict.fromkeys(fitting, 1)
    known = _ExpectedCapacity(0, 1)
    renewed = _select_until(known, _CAPACITY_MARGIN * needed, stale, fitting)
    expected = _ExpectedCapacity(int(known.mean), _approval_rate(lead, waiting))
    return renewed + _select_until(
        expected, _CAPACITY_MARGIN * needed, unknown, fitting
    )


def _for_gang(
    lead: Lead,
    waiting: WaitingStep,
    split: _KnownTargets,
    needed: int,
) -> list[str]:
    """Choose targets for a gang, which needs all its room at once.

    Where there is room enough, the tickets of it are renewed before they
    are stale.  Where there is not, the gang learns on which targets it may
    wait for room.
    """
    fitting = split.fitting
    by_capacity = _gang_preference(lead, fitting)
    unknown = sorted(split.unknown, key=by_capacity)
    rate = _approval_rate(lead, waiting)
    expected = _ExpectedCapacity(_total(split.approved, fitting), rate)
    asked = _select_until(expected, _CAPACITY_MARGIN * needed, unknown, fitting)
    if expected.mean < needed:
        later = _ExpectedCapacity(
            _total(split.approved, waiting.max_tasks_by_target), rate
        )
        return _select_until(
            later,
            _GANG_CAPACITY_MARGIN * needed,
            unknown,
            waiting.max_tasks_by_target,
        )
    renewed = split.stale(lead.now + _call_time(waiting, len(split.approved)))
    return [one.key for one in renewed if fitting[one.key]] + asked


def _task_preference(lead: Lead):
    def order(target: TargetState) -> tuple[float, float]:
        return target_preference(lead, target)

    return order


def _gang_preference(lead: Lead, fitting: Mapping[str, int]):
    """Order for a gang, which is as slow as its slowest target.

    Among targets of one speed much room on few is best.
    """

    def order(target: TargetState) -> tuple[float, int]:
        return target_preference(lead, target)[0], -fitting[target.key]

    return order


def _call_time(waiting: WaitingStep, targets: int) -> float:
    """Return how long a call about so many targets takes (s)."""
    advisor = waiting.queue.advisor
    return advisor.decision + targets * advisor.per_target


def _approval_rate(lead: Lead, waiting: WaitingStep) -> float:
    return lead.approved.get(waiting.queue.name, INITIAL_APPROVAL_RATE)


def _total(targets: Iterable[TargetState], fitting: Mapping[str, int]) -> int:
    return sum(fitting[one.key] for one in targets)


def _select_until(
    expected: _ExpectedCapacity,
    enough: float,
    targets: list[TargetState],
    fitting: Mapping[str, int],
) -> list[str]:
    """Return as many targets with room as it takes to reach ``enough``."""
    asked = []
    for target in targets:
        if expected.reaches(enough):
            break
        if fitting[target.key]:
            expected.add(fitting[target.key])
            asked.append(target.key)
    return asked


def split_request(keys: list[str]) -> list[list[str]]:
    """Split a long question evenly: callers of the advisor work in parallel."""
    parts = ceil(len(keys) / MAX_TARGETS_PER_CALL)
    return [keys[number::parts] for number in range(parts)]
