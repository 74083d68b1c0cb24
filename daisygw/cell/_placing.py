"""Placing: which task starts on which target, in which order.

Steps are served by their latest useful start: what can still meet its
objective goes first, then what is late, then what is too late to matter.  A
gang that finds no room reserves targets, so that work due later does not
keep taking them.
"""

from collections.abc import Iterator
from functools import partial

from daisygw.cell._admission import could_hold
from daisygw.cell._advice import approval_of, ask_advice
from daisygw.cell._lead import (
    Lead,
    Ordered,
    StartOrder,
    WaitingStep,
    pending_indexes,
)
from daisygw.cell._state import TargetState, room_of
from daisygw.contracts import RunsPlaced, Size, fits, room_for, share_of
from daisygw.machines import is_sure

# A target that has not answered for this long gets no new work, s: one
# renewal's longest wait, and the time-out of a call.
SILENCE = 3.2
# The part of all targets that waiting gangs may reserve.
RESERVED_SHARE = 0.6
# A step may ask about this many targets for each that it needs.
ASK_FACTOR = 4
# Fewer targets than this are not worth a second call.
ASK_LEAST = 30
# A target is given a new chance this long after it was set aside, s.
_RATE = 2


def order_key(waiting: WaitingStep, now: float) -> tuple[int, float]:
    """Return a step's place in the order of service."""
    if now <= waiting.due:
        return (0, waiting.due)
    if now <= waiting.worthless:
        return (1, waiting.due)
    return (2, waiting.due)


def is_usable(lead: Lead, target: TargetState) -> bool:
    """Tell whether a target may be given new work now."""
    contact = lead.contacts.get(target.key)
    if contact is None or not target.open or not is_sure(contact):
        return False
    silent = lead.now - contact.seen > SILENCE
    return not silent and lead.now >= contact.barred_until


def place_waiting(lead: Lead) -> None:
    """Start what has room now, in the order of service."""
    if not lead.changed:
        return
    lead.changed = False
    usable = [one for one in lead.cell.targets.values() if is_usable(lead, one)]
    reserved: set[str] = set()
    order = partial(order_key, now=lead.now)
    for waiting in sorted(lead.waiting.values(), key=order):
        open_to_it = [one for one in usable if one.key not in reserved]
        if _place_step(lead, waiting, open_to_it):
            continue
        if waiting.state.step.gang:
            most = int(len(usable) * RESERVED_SHARE)
            reserved |= _reserve(
                lead, waiting, open_to_it, most - len(reserved)
            )


def _suitable(
    lead: Lead,
    waiting: WaitingStep,
    targets: list[TargetState],
) -> list[TargetState]:
    """Return the targets that the step may use, as far as is known."""
    step = waiting.state.step
    denied: set[str] = set()
    if waiting.queue.advisor:
        denied = approval_of(lead, waiting.state.key).denied
    return [
        one
        for one in targets
        if one.key not in denied and could_hold(one, step, waiting.queue) > 0
    ]


def _ticket(lead: Lead, waiting: WaitingStep, life: str) -> str | None:
    if waiting.queue.advisor is None:
        return ''
    tickets = approval_of(lead, waiting.state.key).tickets
    ticket, until = tickets.get(life, ('', float('-inf')))
    return ticket if lead.now < until else None


def _room(waiting: WaitingStep, target: TargetState) -> int:
    """Return how many more tasks of the step a target takes now."""
    step = waiting.state.step
    need = room_of(step)
    room = room_for_now(need, target.free, step.count)
    if step.spread:
        held = sum(
            run.life == target.key for run in waiting.state.runs.values()
        )
        room = min(room, step.spread - held)
    return max(room, 0)


def room_for_now(need: Size, free: Size, most: int) -> int:
    """Return how many times ``need`` fits into ``free``, ``most`` at most."""
    if not fits(need, free):
        return 0
    return min(room_for(need, free) or most, most)


def _preference(lead: Lead, target: TargetState) -> tuple[float, float]:
    """Prefer fast targets, then the fullest."""
    pace = round(lead.pace.get(target.key, 1.0) * _RATE) / _RATE
    return (pace, -share_of(target.used, target.life.capacity))


def _place_step(
    lead: Lead,
    waiting: WaitingStep,
    targets: list[TargetState],
) -> bool:
    """Place what can be placed; tell whether nothing is left to place."""
    pending = pending_indexes(waiting.state)
    suitable = _suitable(lead, waiting, targets)
    roomy = [one for one in suitable if _room(waiting, one) > 0]
    if not roomy:
        _ask_ahead(lead, waiting, suitable)
        return False
    with_ticket = [
        one for one in roomy if _ticket(lead, waiting, one.key) is not None
    ]
    rows = _choose(lead, waiting, with_ticket, pending)
    gang = waiting.state.step.gang
    if gang and len(rows) < len(pending):
        rows = []
    if len(rows) < len(pending):
        _ask_about(lead, waiting, roomy, len(pending) - len(rows))
    if rows:
        _start(lead, waiting, rows)
    return len(rows) == len(pending)


def _choose(
    lead: Lead,
    waiting: WaitingStep,
    targets: list[TargetState],
    pending: list[int],
) -> list[tuple[int, str]]:
    """Return rows of index and target for as many tasks as have room."""
    preference = partial(_preference, lead)
    targets = sorted(targets, key=preference)
    if waiting.state.step.same_rack or waiting.state.step.data_rack:
        targets = _by_rack(waiting, targets, len(pending))
    room = {one.key: _room(waiting, one) for one in targets}
    rows = []
    for index in pending:
        life = next(_allowed(lead, waiting, index, room), None)
        if life is not None:
            room[life] -= 1
            rows.append((index, life))
    return rows


def _allowed(
    lead: Lead,
    waiting: WaitingStep,
    index: int,
    room: dict[str, int],
) -> Iterator[str]:
    """Yield targets with room for a task, those it failed on last."""
    avoid = waiting.avoid.get(index, set())
    with_room = [life for life, left in room.items() if left > 0]
    yield from (life for life in with_room if life not in avoid)
    yield from (life for life in with_room if life in avoid)


def _by_rack(
    waiting: WaitingStep,
    targets: list[TargetState],
    needed: int,
) -> list[TargetState]:
    """Put the rack of the data first, or one that holds all tasks."""
    step = waiting.state.step
    racks: dict[str, int] = {}
    for target in targets:
        rack = target.life.rack
        racks[rack] = racks.get(rack, 0) + _room(waiting, target)
    best = step.data_rack
    if step.same_rack and best not in racks:
        whole = [rack for rack, room in racks.items() if room >= needed]
        best = min(whole, key=racks.__getitem__, default='')
    return sorted(targets, key=lambda one: one.life.rack != best)


def _start(
    lead: Lead,
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
    lead.say(
        'placed',
        id=state.key.job,
        step=state.key.step,
        rows=placed,
        age_s=round(lead.wall - waiting.job.entered.at, 3),
        slack_s=round(waiting.due - lead.now, 3),
    )
    for index, _, life in placed:
        order_start(lead, waiting, index, life)
    if not pending_indexes(state):
        lead.waiting.pop(state.key, None)


def order_start(
    lead: Lead, waiting: WaitingStep, index: int, life: str
) -> None:
    """Order a start that is in the log."""
    run = waiting.state.runs[index]
    lead.orders[run.step, index] = Ordered(run, lead.now)
    order = StartOrder(
        run,
        waiting.job.spec.payload,
        waiting.state.saved.get(index, ''),
        _ticket(lead, waiting, life) or '',
    )
    lead.tell('', order)


def _ask_about(
    lead: Lead,
    waiting: WaitingStep,
    roomy: list[TargetState],
    needed: int,
) -> None:
    """Ask for tickets on targets that have room now."""
    if waiting.queue.advisor is None:
        return
    most = max(ASK_FACTOR * needed, ASK_LEAST)
    stale = [one for one in roomy if _ticket(lead, waiting, one.key) is None]
    known = approval_of(lead, waiting.state.key).tickets
    stale.sort(key=lambda one: (one.key not in known, _preference(lead, one)))
    ask_advice(lead, waiting, [one.key for one in stale[:most]])


def _ask_ahead(
    lead: Lead,
    waiting: WaitingStep,
    suitable: list[TargetState],
) -> None:
    """Learn which targets are approved while there is no room yet."""
    if waiting.queue.advisor is None:
        return
    known = approval_of(lead, waiting.state.key).tickets
    unknown = [one.key for one in suitable if one.key not in known]
    if not known:
        ask_advice(lead, waiting, unknown[:ASK_LEAST])


def _reserve(
    lead: Lead,
    waiting: WaitingStep,
    targets: list[TargetState],
    most: int,
) -> set[str]:
    """Return targets to keep free for a gang: those that are emptiest."""
    if lead.now > waiting.due:
        return set()
    step = waiting.state.step
    suitable = _suitable(lead, waiting, targets)
    if waiting.queue.advisor:
        known = approval_of(lead, waiting.state.key).tickets
        suitable = [one for one in suitable if one.key in known]
    suitable.sort(key=lambda one: share_of(one.used, one.life.capacity))
    chosen: set[str] = set()
    needed = step.count
    for target in suitable[: max(most, 0)]:
        if needed <= 0:
            break
        needed -= could_hold(target, step, waiting.queue)
        chosen.add(target.key)
    return chosen if needed <= 0 else set()
