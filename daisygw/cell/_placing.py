"""Placing: which task starts on which target, in which order.

Steps are served by their latest useful start: what can still meet its
objective goes first, then what is late, then what is too late to matter.  A
gang that finds no room reserves targets, so that work due later does not
keep taking them.
"""

from collections.abc import Iterator
from functools import partial
from heapq import nsmallest

from daisygw.cell._advice import ask_about, known_tickets, may_ask
from daisygw.cell._lead import (
    LOCAL_PROCESS,
    CellLeader,
    Ordered,
    StartOrder,
    WaitingStep,
    pending_indexes,
)
from daisygw.cell._rooms import Rooms, preference, room_on, suitable
from daisygw.cell._state import TargetState
from daisygw.contracts import RunsPlaced, dominant_share

# The part of all targets that waiting gangs may reserve.
RESERVED_SHARE = 0.6
# Steps looked at in one pass: with more, those due last wait for the next.
MOST_STEPS = 64


def order_key(waiting: WaitingStep, now: float) -> tuple[int, float]:
    """Return a step's place in the order of service."""
    if now <= waiting.due:
        return (0, waiting.due)
    if now <= waiting.worthless:
        return (1, waiting.due)
    return (2, waiting.due)


def place_waiting(lead: CellLeader) -> None:
    """Start what has room now, in the order of service."""
    if not lead.changed or not lead.waiting:
        return
    lead.changed = False
    rooms = Rooms(lead)
    order = partial(order_key, now=lead.now)
    for waiting in nsmallest(MOST_STEPS, lead.waiting.values(), key=order):
        placed = _place_step(lead, rooms, waiting)
        if waiting.state.step.gang and not placed:
            _reserve(lead, rooms, waiting)


def _place_step(lead: CellLeader, rooms: Rooms, waiting: WaitingStep) -> bool:
    """Place what can be placed; tell whether nothing is left to place."""
    pending = pending_indexes(waiting.state)
    targets = _allowed_targets(lead, rooms, waiting)
    room = {one.key: room_on(rooms, waiting, one.key) for one in targets}
    roomy = [one for one in targets if room[one.key]]
    rows = _choose(lead, waiting, roomy, room, pending)
    if waiting.state.step.gang and len(rows) < len(pending):
        rows = []
    if rows:
        _start(lead, rooms, waiting, rows)
    needed = len(pending) - len(rows)
    if needed and may_ask(lead, waiting):
        targets = suitable(lead, rooms, waiting)
        room = {one.key: room_on(rooms, waiting, one.key) for one in targets}
        ask_about(lead, waiting, targets, room, needed)
    return not needed


def _allowed_targets(
    lead: CellLeader,
    rooms: Rooms,
    waiting: WaitingStep,
) -> list[TargetState]:
    """Return the targets that a step may be started on now."""
    if waiting.queue.advisor is None:
        return suitable(lead, rooms, waiting)
    return [
        rooms.targets[instance]
        for instance, (_, until) in known_tickets(lead, waiting).items()
        if lead.now < until
        and instance in rooms.targets
        and instance not in rooms.reserved
    ]


def _choose(
    lead: CellLeader,
    waiting: WaitingStep,
    targets: list[TargetState],
    room: dict[str, int],
    pending: list[int],
) -> list[tuple[int, str]]:
    """Return rows of index and target for as many tasks as have room."""
    targets = sorted(targets, key=partial(preference, lead))
    step = waiting.state.step
    if step.same_rack or step.data_rack:
        targets = _by_rack(waiting, targets, room, len(pending))
    left = {one.key: room[one.key] for one in targets}
    rows = []
    for index in pending:
        instance = next(_allowed(waiting, index, left), None)
        if instance is not None:
            left[instance] -= 1
            rows.append((index, instance))
    return rows


def _allowed(
    waiting: WaitingStep,
    index: int,
    left: dict[str, int],
) -> Iterator[str]:
    """Yield targets with room for a task, those it failed on last."""
    avoid = waiting.avoid.get(index, frozenset())
    with_room = [instance for instance, room in left.items() if room > 0]
    yield from (instance for instance in with_room if instance not in avoid)
    yield from (instance for instance in with_room if instance in avoid)


def _by_rack(
    waiting: WaitingStep,
    targets: list[TargetState],
    room: dict[str, int],
    needed: int,
) -> list[TargetState]:
    """Put the rack of the data first, or one that holds all tasks."""
    step = waiting.state.step
    racks: dict[str, int] = {}
    for target in targets:
        rack = target.instance.rack
        racks[rack] = racks.get(rack, 0) + room[target.key]
    best = step.data_rack
    if step.same_rack and best not in racks:
        whole = [rack for rack, free in racks.items() if free >= needed]
        best = min(whole, key=racks.__getitem__, default='')
    return sorted(targets, key=lambda one: one.instance.rack != best)


def _start(
    lead: CellLeader,
    rooms: Rooms,
    waiting: WaitingStep,
    rows: list[tuple[int, str]],
) -> None:
    state = waiting.state
    numbers = state.numbers
    if state.step.gang:
        newest = max(numbers.values(), default=0) + 1
        placed = tuple((index, newest, instance) for index, instance in rows)
    else:
        placed = tuple(
            (index, numbers.get(index, 0) + 1, instance)
            for index, instance in rows
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
    for index, _, instance in placed:
        _order_start(lead, waiting, index, instance)
        rooms.free[instance] = rooms.targets[instance].free
    if not pending_indexes(state):
        lead.waiting.pop(state.key, None)


def _order_start(
    lead: CellLeader, waiting: WaitingStep, index: int, instance: str
) -> None:
    """Order a start that is in the log."""
    run = waiting.state.runs[index]
    ticket, _ = known_tickets(lead, waiting).get(instance, ('', 0))
    payload = waiting.job.spec.payload
    checkpoint = waiting.state.checkpoint.get(index, '')
    start = StartOrder(run, payload, checkpoint, ticket)
    lead.orders[run.step, index] = Ordered(run, lead.now, start)
    lead.send_message(LOCAL_PROCESS, start)


def _reserve(lead: CellLeader, rooms: Rooms, waiting: WaitingStep) -> None:
    """Keep targets free for a gang that can still be in time: the emptiest."""
    if lead.now > waiting.due:
        return
    targets = suitable(lead, rooms, waiting)
    if waiting.queue.advisor:
        known = known_tickets(lead, waiting)
        targets = [one for one in targets if one.key in known]
    targets.sort(
        key=lambda one: dominant_share(one.used, one.instance.capacity)
    )
    most = int(len(rooms.targets) * RESERVED_SHARE) - len(rooms.reserved)
    chosen: set[str] = set()
    needed = waiting.state.step.count
    for target in targets[: max(most, 0)]:
        if needed <= 0:
            break
        needed -= waiting.holds.get(target.key, 0)
        chosen.add(target.key)
    if needed <= 0:
        rooms.reserved |= chosen
