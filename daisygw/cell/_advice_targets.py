"""Selection of the targets to ask the placement advisor about.

A call has a high fixed cost and a low one for each target, so a step asks
once about enough targets to get the capacity it needs almost certainly.  A
gang needs all of its tickets at the same time, and a call may take longer than
a ticket is valid: each round therefore covers all targets the gang would use.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import partial
from math import ceil, sqrt

from daisygw.cell._approval import Approval
from daisygw.cell._capacity import target_preference
from daisygw.cell._leader import CellLeader, WaitingStep, approval_of
from daisygw.cell._like_speed import (
    INITIAL_APPROVAL_RATE,
    LIKE_SPEED,
    slowest_needed,
)
from daisygw.cell._speeds import slowness_of
from daisygw.cell._state import TargetState

# With this many targets a call takes little longer than its fixed cost; the
# platform allows 100.
MAX_TARGETS_PER_CALL = 40
# Multiple of the needed capacity to ask for: other work takes some of it while
# the advisor decides.
_CAPACITY_FACTOR = 1.2
# The same for a gang that has to wait: half of the approved targets hold other
# work when the gang's turn comes.
_GANG_CAPACITY_FACTOR = 2.0
# The approved capacity is estimated this many standard deviations below its
# mean, so that only one answer in twenty falls short.
_SAFETY_DEVIATIONS = 1.6
# The queue's approval rate counts as much as answers about this many targets.
_PRIOR_TARGETS = 20
# While capacity is short, a call may take this much longer (s) to cover more
# targets: capacity is freed on any of them, and is gone before another call.
_EXTRA_CALL_S = 0.01
_MIN_PER_TARGET_S = 1e-6
# Capacity is short if less than this multiple of what is needed is free.
_SHORT_FACTOR = 3.0


class _ExpectedCapacity:
    """The capacity (tasks) that is approved or likely to be approved."""

    def __init__(self, approved: int, rate: float) -> None:
        """Begin with ``approved`` tasks; ``rate`` is the approval rate."""
        self.mean = float(approved)
        self.variance = 0.0
        self.rate = rate

    def add(self, fitting: int) -> None:
        """Add a target that may be approved for ``fitting`` tasks."""
        self.mean += fitting * self.rate
        self.variance += fitting**2 * self.rate * (1 - self.rate)

    def reaches(self, needed: float) -> bool:
        """Tell whether the capacity is almost certainly enough."""
        return self.mean - _SAFETY_DEVIATIONS * sqrt(self.variance) >= needed


def choose_targets(
    lead: CellLeader,
    waiting: WaitingStep,
    targets: list[TargetState],
    fitting: Mapping[str, int],
    needed: int,
) -> list[str]:
    """Return the keys of the targets to use for ``needed`` tasks.

    ``fitting`` holds how many tasks fit on each of ``targets`` now.
    """
    approval = approval_of(lead, waiting.state.key)
    choose = _for_gang if waiting.state.step.gang else _for_tasks
    return choose(
        lead, waiting, _CandidateTargets(approval, targets, fitting), needed
    )


class _CandidateTargets:
    """Targets, divided by whether the advisor has approved them."""

    def __init__(
        self,
        approval: Approval,
        targets: list[TargetState],
        fitting: Mapping[str, int],
    ) -> None:
        """Divide the targets; an expired ticket still means approval."""
        tickets = approval.tickets
        self.approved = [target for target in targets if target.key in tickets]
        self.unknown = [
            target for target in targets if target.key not in tickets
        ]
        self.tickets = tickets
        self.fitting = fitting

    def expired(self, at: float) -> list[TargetState]:
        """Return approved targets whose ticket has expired at ``at`` (s)."""
        return [
            target
            for target in self.approved
            if at >= self.tickets[target.key][1]
        ]


def _for_tasks(
    lead: CellLeader,
    waiting: WaitingStep,
    candidates: _CandidateTargets,
    needed: int,
) -> list[str]:
    """Choose targets for tasks that start independently.

    Approved targets come first: they only need a new ticket.
    """
    by_speed = partial(target_preference, lead)
    expired = sorted(candidates.expired(lead.now), key=by_speed)
    unknown = sorted(candidates.unknown, key=by_speed)
    fitting = {
        target.key: min(candidates.fitting[target.key], needed)
        for target in (*expired, *unknown)
    }
    is_room_short = sum(fitting.values()) < _SHORT_FACTOR * needed
    if not any(fitting.values()):
        fitting = dict.fromkeys(fitting, 1)
    # An approval outlasts its ticket, so these targets certainly get new ones.
    expected = _ExpectedCapacity(0, 1)
    asked = _select_until(expected, _CAPACITY_FACTOR * needed, expired, fitting)
    expected = _ExpectedCapacity(
        int(expected.mean), _approval_rate(lead, waiting)
    )
    asked += _select_until(
        expected, _CAPACITY_FACTOR * needed, unknown, fitting
    )
    if is_room_short:
        asked += _cheap_targets(waiting, (*expired, *unknown), set(asked))
    return asked


def _cheap_targets(
    waiting: WaitingStep, targets: Iterable[TargetState], asked: set[str]
) -> list[str]:
    """Return more targets that hardly prolong a call, if there are any."""
    per_target = max(waiting.queue.advisor.per_target, _MIN_PER_TARGET_S)
    others = [target.key for target in targets if target.key not in asked]
    return others[: int(_EXTRA_CALL_S / per_target)]


def _for_gang(
    lead: CellLeader,
    waiting: WaitingStep,
    candidates: _CandidateTargets,
    needed: int,
) -> list[str]:
    """Choose targets for a gang, which needs all its capacity at once."""
    fitting = candidates.fitting
    if _total(candidates.approved, fitting) < needed:
        return _with_unknown(lead, waiting, candidates, needed)
    by_speed = gang_preference(
        lead, candidates.approved, fitting, _CAPACITY_FACTOR * needed
    )
    approved = sorted(candidates.approved, key=by_speed)
    certain = _ExpectedCapacity(0, 1)
    return _select_until(certain, _CAPACITY_FACTOR * needed, approved, fitting)


def _with_unknown(
    lead: CellLeader,
    waiting: WaitingStep,
    candidates: _CandidateTargets,
    needed: int,
) -> list[str]:
    """Choose for a gang among targets that are not all approved.

    If there is not enough free capacity, the gang asks on which targets it
    may wait for capacity.
    """
    approved, fitting = candidates.approved, candidates.fitting
    expected = _ExpectedCapacity(
        _total(approved, fitting), _approval_rate(lead, waiting)
    )
    enough = _CAPACITY_FACTOR * needed
    missing = (enough - expected.mean) / expected.rate
    unknown = _least_wanted_first(
        lead, waiting, candidates.unknown, fitting, missing
    )
    asked = _select_until(expected, enough, unknown, fitting)
    if expected.mean >= needed:
        return [key for key in map(_key, approved) if fitting[key]] + asked
    return _for_later(lead, waiting, candidates, needed)


def _for_later(
    lead: CellLeader,
    waiting: WaitingStep,
    candidates: _CandidateTargets,
    needed: int,
) -> list[str]:
    """Choose the targets on which a gang may wait for capacity."""
    empty = waiting.max_tasks_by_target
    rate = _approval_rate(lead, waiting)
    expected = _ExpectedCapacity(_total(candidates.approved, empty), rate)
    if expected.mean + _total(candidates.unknown, empty) < needed:
        # A new leader knows few targets at first: a call now would be in vain.
        return []
    enough = _GANG_CAPACITY_FACTOR * needed
    missing = (enough - expected.mean) / rate
    unknown = _least_wanted_first(
        lead, waiting, candidates.unknown, empty, missing
    )
    return _select_until(expected, enough, unknown, empty)


def _key(target: TargetState) -> str:
    return target.key


def _least_wanted_first(
    lead: CellLeader,
    waiting: WaitingStep,
    targets: list[TargetState],
    fitting: Mapping[str, int],
    needed: float,
) -> list[TargetState]:
    """Sort targets for a gang; those that others ask about come last.

    Gangs of a queue that ask about the same targets at the same time would
    take them from each other, and only one of them could start.
    """
    wanted = Counter(
        key
        for approval in _open_requests(lead, waiting)
        for key in approval.chosen
    )
    by_speed = gang_preference(lead, targets, fitting, needed)

    def order(target: TargetState) -> tuple[bool, bool, int, int]:
        slower, faster, used = by_speed(target)
        return slower, faster, wanted[target.key], used

    return sorted(targets, key=order)


def _open_requests(
    lead: CellLeader, waiting: WaitingStep
) -> Iterator[Approval]:
    """Yield those of the queue's other gangs whose calls are not answered."""
    for other in lead.waiting.values():
        approval = approval_of(lead, other.state.key)
        is_gang = other.state.step.gang and other is not waiting
        if (
            is_gang
            and approval.calls
            and other.queue.name == waiting.queue.name
        ):
            yield approval


def gang_preference(
    lead: CellLeader,
    targets: Iterable[TargetState],
    fitting: Mapping[str, int],
    needed: float,
) -> Callable[[TargetState], tuple[bool, bool, int]]:
    """Return a sort key for a gang, which is as slow as its slowest target.

    The fastest targets that hold ``needed`` tasks decide how fast it can be;
    where all are too few, it waits for the fastest.
    Those of like speed come first, with the most free capacity first; then
    faster ones, which it would only slow down, and then slower ones.
    """
    slowness = {target.key: slowness_of(lead, target) for target in targets}
    slowest = slowest_needed(slowness, fitting, needed)
    if slowest is None:
        slowest = min(slowness.values(), default=1)

    def order(target: TargetState) -> tuple[bool, bool, int]:
        relative = slowness[target.key] / slowest
        return (
            relative > LIKE_SPEED,
            relative < 1 / LIKE_SPEED,
            -fitting[target.key],
        )

    return order


def _approval_rate(lead: CellLeader, waiting: WaitingStep) -> float:
    """Return the expected rate: the queue's, and the step's once it is known.

    Steps of a queue differ, and the second request must not fall short again.
    """
    approval = approval_of(lead, waiting.state.key)
    approved = len(approval.tickets)
    known = approved + len(approval.denied)
    rate = lead.approval_rates.get(waiting.queue.name, INITIAL_APPROVAL_RATE)
    return (_PRIOR_TARGETS * rate + approved) / (_PRIOR_TARGETS + known)


def _total(targets: Iterable[TargetState], fitting: Mapping[str, int]) -> int:
    return sum(fitting[target.key] for target in targets)


def _select_until(
    expected: _ExpectedCapacity,
    enough: float,
    targets: list[TargetState],
    fitting: Mapping[str, int],
) -> list[str]:
    """Return targets with capacity until ``expected`` reaches ``enough``."""
    asked = []
    for target in targets:
        if expected.reaches(enough):
            break
        if fitting[target.key]:
            expected.add(fitting[target.key])
            asked.append(target.key)
    return asked


def split_request(keys: list[str]) -> list[list[str]]:
    """Split a long request evenly, as advisor calls run in parallel."""
    parts = ceil(len(keys) / MAX_TARGETS_PER_CALL)
    return [keys[number::parts] for number in range(parts)]
