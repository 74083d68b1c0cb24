"""Placement: which task starts on which target, and in which order.

Steps are ordered by what delaying them costs their callers (``_cost``); those
that are worthless by now come last.  A gang that fits holds its capacity while
its tickets are renewed; one that does not fit reserves targets, so that work
whose delay costs less does not keep taking them.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from heapq import heapify, heappop, heapreplace, nsmallest
from operator import attrgetter
from typing import Any

from daisygw.cell._advice import (
    may_request_approvals,
    request_approvals,
    tickets_of,
)
from daisygw.cell._advice_targets import gang_preference
from daisygw.cell._capacity import (
    FreeCapacity,
    fitting_tasks,
    hold_capacity,
    still_suitable,
    suitable_targets,
    target_preference,
)
from daisygw.cell._cost import Stake, next_limit, rank
from daisygw.cell._fairness import (
    cost_with_share,
    fair_key,
    is_surplus,
    note_shortage,
    reading_shares,
)
from daisygw.cell._leader import (
    LOCAL_PROCESS,
    LONG_WAIT_S,
    CellLeader,
    OutstandingOrder,
    StartOrder,
    WaitingStep,
    approval_of,
    pending_indexes,
)
from daisygw.cell._limits import (
    allowed_indexes,
    claim_limit,
    may_start,
    overdue_at_limits,
)
from daisygw.cell._stakes import expected_work, stake_of
from daisygw.cell._state import TargetState
from daisygw.contracts import RunsPlaced, StepKey, dominant_share

# Share of all targets that waiting gangs may reserve.
MAX_RESERVED_SHARE = 0.6
# The steps that come first in the placement order are considered in every
# pass, up to this number.
MAX_STEPS_PER_PASS = 64
# Of the other steps this many are considered in a pass, in turn: those before
# them may be unable to start for a long time.
TURNS_PER_PASS = 16
# Waiting steps that are sorted in each pass: a multiple of those considered, as
# the limits of customers hold some of them.
_STEPS_TO_SORT = 256
# Tasks of a step that start in one pass; the others follow in the next ones.
MAX_STARTS_PER_STEP = 256
# Placed tasks that a log line names.
_MAX_LOGGED_ROWS = 100


def order_key(lead: CellLeader, waiting: WaitingStep) -> tuple[float, float]:
    """Return a step's sort key in the placement order.

    Steps whose delay costs most come first, and worthless ones last.
    """
    state = waiting.state
    tasks = state.step.count - len(state.done) - len(state.runs)
    if tasks != waiting.rank_tasks:
        waiting.stake = _estimate_stake(lead, waiting, tasks)
        waiting.rank_tasks = tasks
        _update_rank(lead, waiting)
    elif lead.now > waiting.rank_until:
        _update_rank(lead, waiting)
    return (-waiting.rank, waiting.due)


def _estimate_stake(
    lead: CellLeader, waiting: WaitingStep, tasks: int
) -> Stake:
    """Return a step's stake; without an estimate its limits decide."""
    try:
        waiting.work = expected_work(lead, waiting, tasks)
        return stake_of(lead, waiting, tasks)
    except Exception as exc:
        key = waiting.state.key
        lead.log_event(
            'cost unknown', id=key.job, step=key.step, error=repr(exc)
        )
    return Stake(1, 1, waiting.due, waiting.worthless_at)


def _update_rank(lead: CellLeader, waiting: WaitingStep) -> None:
    """Update a step's rank, which changes when a limit is passed."""
    waiting.rank = rank(waiting.stake, lead.now)
    waiting.rank_until = next_limit(waiting.stake, lead.now)


def place_waiting(lead: CellLeader) -> None:
    """Start the waiting tasks that fit now, in placement order."""
    if not lead.changed or not lead.waiting:
        return
    lead.changed = False
    free_capacity = FreeCapacity(lead)
    open_calls = _count_open_calls(lead)
    in_order = _overdue_first(lead, _in_order(lead))
    considered = _place_steps(lead, free_capacity, in_order, MAX_STEPS_PER_PASS)
    note_shortage(lead, free_capacity, considered)
    others = _in_turn(lead, considered, open_calls)
    for waiting in _place_steps(lead, free_capacity, others, TURNS_PER_PASS):
        waiting.last_turn = lead.now


def _in_order(lead: CellLeader) -> Iterator[WaitingStep]:
    """Yield the waiting steps in placement order.

    The first ones are chosen by cost alone, as few are considered in a pass.
    """
    share_of = reading_shares(lead)

    def cost_of(waiting: WaitingStep) -> float:
        share = share_of(waiting.job.enqueued.customer)
        return cost_with_share(waiting, order_key(lead, waiting)[0], share)

    steps = list(lead.waiting.values())
    first = nsmallest(_STEPS_TO_SORT, steps, key=cost_of)
    yield from _sorted_fairly(lead, first, share_of)
    chosen = set(map(id, first))
    others = [waiting for waiting in steps if id(waiting) not in chosen]
    yield from _sorted_fairly(lead, others, share_of)


def _sorted_fairly(
    lead: CellLeader,
    steps: list[WaitingStep],
    share_of: Callable[[str], float],
) -> Iterator[WaitingStep]:
    """Yield steps by the cost of their delay and their customers' shares.

    A customer's share grows while its steps are placed, so a step that comes
    next is sorted again.
    """

    def sort_key(waiting: WaitingStep) -> tuple:
        urgency = order_key(lead, waiting)
        share = share_of(waiting.job.enqueued.customer)
        return fair_key(waiting, urgency, share)

    heap = [
        (sort_key(waiting), number, waiting)
        for number, waiting in enumerate(steps)
    ]
    heapify(heap)
    while heap:
        key, number, waiting = heap[0]
        newest = sort_key(waiting)
        if newest > key:
            heapreplace(heap, (newest, number, waiting))
        else:
            yield heappop(heap)[-1]


def _overdue_first(
    lead: CellLeader, steps: Iterator[WaitingStep]
) -> Iterator[WaitingStep]:
    """Yield steps in order, but those held for long first among their own.

    Their customer's limit has held them.
    """
    overdue = overdue_at_limits(lead)
    yielded: set[StepKey] = set()
    for waiting in steps:
        own = overdue.pop(waiting.job.enqueued.customer, ())
        yield from own
        yielded.update(step.state.key for step in own)
        if waiting.state.key not in yielded:
            yield waiting


def _place_steps(
    lead: CellLeader,
    free_capacity: FreeCapacity,
    steps: Iterator[WaitingStep],
    most: int,
) -> list[WaitingStep]:
    """Place steps, ``most`` at most; return those considered.

    Those that their customer's limit holds are left out.
    """
    considered: list[WaitingStep] = []
    for waiting in steps:
        if may_start(lead, free_capacity, waiting):
            _place_step(lead, free_capacity, waiting)
            considered.append(waiting)
        claim_limit(lead, free_capacity, waiting)
        if len(considered) == most:
            break
    return considered


def _place_step(
    lead: CellLeader, free_capacity: FreeCapacity, waiting: WaitingStep
) -> None:
    """Place one step; an unexpected error does not concern the others."""
    place = _place_gang if waiting.state.step.gang else _place_tasks
    try:
        place(lead, free_capacity, waiting)
    except Exception as exc:
        key = waiting.state.key
        lead.log_event(
            'placement failed', id=key.job, step=key.step, error=repr(exc)
        )


def _count_open_calls(lead: CellLeader) -> Counter[str]:
    """Return the number of open calls to the advisor by queue."""
    return Counter(
        lead.waiting[pending.step].queue.name
        for pending in lead.pending_advice.values()
        if pending.step in lead.waiting
    )


def _in_turn(
    lead: CellLeader,
    considered: list[WaitingStep],
    open_calls: Counter[str],
) -> Iterator[WaitingStep]:
    """Yield the steps behind the most urgent ones, by their last turn.

    Surplus comes last.  They must not delay the advisor's answers about the
    urgent steps, so those of a queue with many open calls are left out.
    """
    # Hashing the keys of all waiting steps would take a tenth of the pass.
    first = set(map(id, considered))
    others = [
        waiting
        for waiting in lead.waiting.values()
        if id(waiting) not in first
        and open_calls[waiting.queue.name] < MAX_STEPS_PER_PASS
    ]
    others.sort(key=attrgetter('last_turn'))
    yield from sorted(others, key=is_surplus)


def _place_tasks(
    lead: CellLeader, free_capacity: FreeCapacity, waiting: WaitingStep
) -> None:
    """Start the tasks of a step that fit; request approvals for the others."""
    pending = allowed_indexes(lead, free_capacity, waiting)
    targets = _allowed_targets(lead, free_capacity, waiting)
    rows = _choose_rows(lead, free_capacity, waiting, targets)
    if rows:
        _start_runs(lead, free_capacity, waiting, rows)
    _request_approvals(lead, free_capacity, waiting, len(pending) - len(rows))


def _place_gang(
    lead: CellLeader, free_capacity: FreeCapacity, waiting: WaitingStep
) -> None:
    """Start a gang if all its tasks fit, or keep capacity for it."""
    needed = len(pending_indexes(waiting.state))
    targets = _allowed_targets(lead, free_capacity, waiting)
    rows = _choose_rows(lead, free_capacity, waiting, targets)
    if len(rows) == needed:
        _start_runs(lead, free_capacity, waiting, rows)
        return
    if waiting.queue.advisor:
        _request_approvals(lead, free_capacity, waiting, needed)
        targets = _approved_targets(lead, free_capacity, waiting)
        rows = _choose_rows(lead, free_capacity, waiting, targets)
    if len(rows) == needed:
        hold_capacity(free_capacity, waiting, rows)
    else:
        _reserve_for_gang(lead, free_capacity, waiting)


def _request_approvals(
    lead: CellLeader,
    free_capacity: FreeCapacity,
    waiting: WaitingStep,
    needed: int,
) -> None:
    if not needed or not may_request_approvals(lead, waiting):
        return
    targets = suitable_targets(lead, free_capacity, waiting)
    fitting = fitting_tasks(free_capacity, waiting, targets)
    request_approvals(lead, waiting, targets, fitting, needed)


def _allowed_targets(
    lead: CellLeader,
    free_capacity: FreeCapacity,
    waiting: WaitingStep,
) -> list[TargetState]:
    """Return the targets on which a step may start now."""
    targets = _approved_targets(lead, free_capacity, waiting)
    if waiting.queue.advisor is None:
        return targets
    tickets = tickets_of(lead, waiting)
    return [target for target in targets if lead.now < tickets[target.key][1]]


def _approved_targets(
    lead: CellLeader,
    free_capacity: FreeCapacity,
    waiting: WaitingStep,
) -> list[TargetState]:
    """Return the targets on which a step may run, given valid tickets."""
    if waiting.queue.advisor is None:
        return suitable_targets(lead, free_capacity, waiting)
    return [
        free_capacity.targets[key]
        for key in tickets_of(lead, waiting)
        if key in free_capacity.targets and key not in free_capacity.reserved
    ]


def _choose_rows(
    lead: CellLeader,
    free_capacity: FreeCapacity,
    waiting: WaitingStep,
    targets: list[TargetState],
) -> list[tuple[int, str]]:
    """Return (task index, target key) for the pending tasks that fit."""
    pending = allowed_indexes(lead, free_capacity, waiting)
    fitting = fitting_tasks(free_capacity, waiting, targets)
    targets = [target for target in targets if fitting[target.key]]
    if waiting.state.step.gang:
        if sum(fitting.values()) < len(pending):
            return []
        targets = still_suitable(lead, free_capacity, waiting, targets)
    else:
        pending = pending[:MAX_STARTS_PER_STEP]
    targets.sort(key=_preference(lead, waiting, targets, fitting))
    step = waiting.state.step
    if step.same_rack or step.data_rack:
        targets = _order_by_rack(waiting, targets, fitting, len(pending))
    remaining = {target.key: fitting[target.key] for target in targets}
    rows = []
    for index in pending:
        key = next(_targets_for_task(waiting, index, remaining), None)
        if key is None:
            break
        rows.append((index, key))
        remaining[key] -= 1
        if not remaining[key]:
            remaining.pop(key)
    return rows


def _preference(
    lead: CellLeader,
    waiting: WaitingStep,
    targets: list[TargetState],
    fitting: dict[str, int],
) -> Callable[[TargetState], Any]:
    """Return a sort key; a gang prefers targets that it has chosen.

    Their speed comes first: one slow target slows all of the gang down.
    """
    step = waiting.state.step
    if not step.gang:
        return partial(target_preference, lead)
    chosen = approval_of(lead, waiting.state.key).chosen
    by_speed = gang_preference(lead, targets, fitting, step.count)

    def order(target: TargetState) -> tuple[bool, bool, bool, int]:
        slower, faster, free = by_speed(target)
        return slower, faster, target.key not in chosen, free

    return order


def _targets_for_task(
    waiting: WaitingStep,
    index: int,
    remaining: dict[str, int],
) -> Iterator[str]:
    """Yield targets with capacity; those where the task failed come last."""
    avoid = waiting.avoid.get(index, frozenset())
    yield from (key for key in remaining if key not in avoid)
    yield from (key for key in remaining if key in avoid)


def _order_by_rack(
    waiting: WaitingStep,
    targets: list[TargetState],
    fitting: dict[str, int],
    needed: int,
) -> list[TargetState]:
    """Sort targets in the data's rack, or one that fits all tasks, first."""
    step = waiting.state.step
    racks: dict[str, int] = {}
    for target in targets:
        rack = target.instance.rack
        racks[rack] = racks.get(rack, 0) + fitting[target.key]
    preferred = step.data_rack
    if step.same_rack and preferred not in racks:
        large_enough = [rack for rack, free in racks.items() if free >= needed]
        preferred = min(large_enough, key=racks.__getitem__, default='')
    return sorted(
        targets, key=lambda candidate: candidate.instance.rack != preferred
    )


def _start_runs(
    lead: CellLeader,
    free_capacity: FreeCapacity,
    waiting: WaitingStep,
    rows: list[tuple[int, str]],
) -> None:
    state = waiting.state
    numbers = state.numbers
    if state.step.gang:
        newest = max(numbers.values(), default=0) + 1
        placed = tuple((index, newest, key) for index, key in rows)
    else:
        placed = tuple(
            (index, numbers.get(index, 0) + 1, key) for index, key in rows
        )
    lead.record(RunsPlaced(state.key, placed))
    lead.log_event(
        'placed',
        id=state.key.job,
        step=state.key.step,
        rows=placed[:_MAX_LOGGED_ROWS],
        tasks=len(placed),
        age_s=round(lead.wall - waiting.job.enqueued.at, 3),
        slack_s=round(waiting.due - lead.now, 3),
        waited_s=round(lead.now - waiting.since, 3),
    )
    waiting.since = lead.now
    waiting.next_report = LONG_WAIT_S
    for index, _, key in placed:
        _order_start(lead, waiting, index, key)
        free_capacity.free[key] = free_capacity.targets[key].free
    if not pending_indexes(state):
        lead.waiting.pop(state.key, None)


def _order_start(
    lead: CellLeader, waiting: WaitingStep, index: int, key: str
) -> None:
    """Emit the start order of a run whose record has been appended."""
    run = waiting.state.runs[index]
    ticket, _ = tickets_of(lead, waiting).get(key, ('', 0))
    payload = waiting.job.spec.payload
    checkpoint = waiting.state.checkpoints.get(index, '')
    start = StartOrder(run, payload, checkpoint, ticket)
    lead.orders[run.step, index] = OutstandingOrder(run, lead.now, start)
    lead.send_message(LOCAL_PROCESS, start)


def _reserve_for_gang(
    lead: CellLeader, free_capacity: FreeCapacity, waiting: WaitingStep
) -> None:
    """Reserve the emptiest targets for a gang that can still be in time."""
    if lead.now > waiting.due:
        return
    targets = suitable_targets(lead, free_capacity, waiting)
    if waiting.queue.advisor:
        tickets = tickets_of(lead, waiting)
        targets = [target for target in targets if target.key in tickets]
    targets.sort(
        key=lambda target: dominant_share(target.used, target.instance.capacity)
    )
    limit = int(len(free_capacity.targets) * MAX_RESERVED_SHARE) - len(
        free_capacity.reserved
    )
    chosen: set[str] = set()
    needed = waiting.state.step.count
    for target in targets[: max(limit, 0)]:
        if needed <= 0:
            break
        needed -= waiting.max_tasks_by_target.get(target.key, 0)
        chosen.add(target.key)
    if needed <= 0:
        free_capacity.reserved |= chosen
