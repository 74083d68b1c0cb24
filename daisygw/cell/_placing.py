"""Placing: which task starts on which target, in which order.

Steps are served by their latest useful start: what can still meet its
objective goes first, then what is late, then what is too late to matter.  A
gang that finds no room reserves targets, so that work due later does not
keep taking them.
"""

from collections.abc import Iterator
from functools import partial
from heapq import nsmallest

from daisygw.cell._advice import known_tickets, may_ask, request_approvals
from daisygw.cell._lead import (
    HERE,
    Lead,
    OutstandingOrder,
    StartOrder,
    WaitingStep,
    pending_indexes,
)
from daisygw.cell._rooms import (
    FreeCapacity,
    fitting_tasks,
    suitable_targets,
    target_preference,
)
from daisygw.cell._state import TargetState
from daisygw.contracts import RunsPlaced, share_of

# The part of all targets that waiting gangs may reserve.
MAX_RESERVED_SHARE = 0.6
# Steps looked at in one pass: with more, those due last wait for the next.
MAX_STEPS_PER_PASS = 64


def order_key(waiting: WaitingStep, now: float) -> tuple[int, float]:
    """Return a step's place in the order of service."""
    if now <= waiting.due:
        return (0, waiting.due)
    if now <= waiting.worthless_at:
        return (1, waiting.due)
    return (2, waiting.due)


def place_waiting(lead: Lead) -> None:
    """Start what has room now, in the order of service."""
    if not lead.changed or not lead.waiting:
        return
    lead.changed = False
    capacity_left = FreeCapacity(lead)
    order = partial(order_key, now=lead.now)
    for waiting in nsmallest(
        MAX_STEPS_PER_PASS, lead.waiting.values(), key=order
    ):
        placed = _place_step(lead, capacity_left, waiting)
        if waiting.state.step.gang and not placed:
            _reserve_for_gang(lead, capacity_left, waiting)


def _place_step(
    lead: Lead, capacity_left: FreeCapacity, waiting: WaitingStep
) -> bool:
    """Place what can be placed; tell whether nothing is left to place."""
    pending = pending_indexes(waiting.state)
    targets = _allowed_targets(lead, capacity_left, waiting)
    fitting = {
        one.key: fitting_tasks(capacity_left, waiting, one.key)
        for one in targets
    }
    with_capacity = [one for one in targets if fitting[one.key]]
    rows = _choose_targets(lead, waiting, with_capacity, fitting, pending)
    if waiting.state.step.gang and len(rows) < len(pending):
        rows = []
    if rows:
        _start_runs(lead, capacity_left, waiting, rows)
    needed = len(pending) - len(rows)
    if needed and may_ask(lead, waiting):
        targets = suitable_targets(lead, capacity_left, waiting)
        fitting = {
            one.key: fitting_tasks(capacity_left, waiting, one.key)
            for one in targets
        }
        request_approvals(lead, waiting, targets, fitting, needed)
    return not needed


def _allowed_targets(
    lead: Lead,
    capacity_left: FreeCapacity,
    waiting: WaitingStep,
) -> list[TargetState]:
    """Return the targets that a step may be started on now."""
    if waiting.queue.advisor is None:
        return suitable_targets(lead, capacity_left, waiting)
    return [
        capacity_left.targets[life]
        for life, (_, until) in known_tickets(lead, waiting).items()
        if lead.now < until
        and life in capacity_left.targets
        and life not in capacity_left.reserved
    ]


def _choose_targets(
    lead: Lead,
    waiting: WaitingStep,
    targets: list[TargetState],
    fitting: dict[str, int],
    pending: list[int],
) -> list[tuple[int, str]]:
    """Return rows of index and target for as many tasks as have room."""
    targets = sorted(targets, key=partial(target_preference, lead))
    step = waiting.state.step
    if step.same_rack or step.data_rack:
        targets = _order_by_rack(waiting, targets, fitting, len(pending))
    left = {one.key: fitting[one.key] for one in targets}
    rows = []
    for index in pending:
        life = next(_targets_for_task(waiting, index, left), None)
        if life is not None:
            left[life] -= 1
            rows.append((index, life))
    return rows


def _targets_for_task(
    waiting: WaitingStep,
    index: int,
    left: dict[str, int],
) -> Iterator[str]:
    """Yield targets with room for a task, those it failed on last."""
    avoid = waiting.avoid.get(index, frozenset())
    with_room = [life for life, fitting in left.items() if fitting > 0]
    yield from (life for life in with_room if life not in avoid)
    yield from (life for life in with_room if life in avoid)


def _order_by_rack(
    waiting: WaitingStep,
    targets: list[TargetState],
    fitting: dict[str, int],
    needed: int,
) -> list[TargetState]:
    """Put the rack of the data first, or one that holds all tasks."""
    step = waiting.state.step
    racks: dict[str, int] = {}
    for target in targets:
        rack = target.life.rack
        racks[rack] = racks.get(rack, 0) + fitting[target.key]
    best = step.data_rack
    if step.same_rack and best not in racks:
        whole = [rack for rack, free in racks.items() if free >= needed]
        best = min(whole, key=racks.__getitem__, default='')
    return sorted(targets, key=lambda one: one.life.rack != best)


def _start_runs(
    lead: Lead,
    capacity_left: FreeCapacity,
    waiting: WaitingStep,
    rows: list[tuple[int, str]],
) -> None:
    state = waiting.state
    numbers = state.numbers
    if state.step.gang:
        newest = max(numbers.values(), default=0) + 1
        placed = tuple((index, newest, life) for index, life in rows)
    else:
        placed = tuple(
            (index, numbers.get(index, 0) + 1, life) for index, life in rows
        )
    lead.record(RunsPlaced(state.key, placed))
    lead.log_event(
        'placed',
        id=state.key.job,
        step=state.key.step,
        rows=placed,
        age_s=round(lead.wall - waiting.job.entered.at, 3),
        slack_s=round(waiting.due - lead.now, 3),
    )
    for index, _, life in placed:
        _order_start(lead, waiting, index, life)
        capacity_left.free[life] = capacity_left.targets[life].free
    if not pending_indexes(state):
        lead.waiting.pop(state.key, None)


def _order_start(
    lead: Lead, waiting: WaitingStep, index: int, life: str
) -> None:
    """Order a start that is in the log."""
    run = waiting.state.runs[index]
    ticket, _ = known_tickets(lead, waiting).get(life, ('', 0))
    payload = waiting.job.spec.payload
    saved = waiting.state.saved.get(index, '')
    start = StartOrder(run, payload, saved, ticket)
    lead.orders[run.step, index] = OutstandingOrder(run, lead.now, start)
    lead.emit(HERE, start)


def _reserve_for_gang(
    lead: Lead, capacity_left: FreeCapacity, waiting: WaitingStep
) -> None:
    """Keep targets free for a gang that can still be in time: the emptiest."""
    if lead.now > waiting.due:
        return
    targets = suitable_targets(lead, capacity_left, waiting)
    if waiting.queue.advisor:
        known = known_tickets(lead, waiting)
        targets = [one for one in targets if one.key in known]
    targets.sort(key=lambda one: share_of(one.used, one.life.capacity))
    most = int(len(capacity_left.targets) * MAX_RESERVED_SHARE) - len(
        capacity_left.reserved
    )
    chosen: set[str] = set()
    needed = waiting.state.step.count
    for target in targets[: max(most, 0)]:
        if needed <= 0:
            break
        needed -= waiting.max_tasks_by_target.get(target.key, 0)
        chosen.add(target.key)
    if needed <= 0:
        capacity_left.reserved |= chosen
