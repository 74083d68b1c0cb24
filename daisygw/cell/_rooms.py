"""What is free on the usable targets, for one pass over the waiting steps."""

from daisygw.cell._lead import UNKNOWN_PACE, CellLeader, WaitingStep
from daisygw.cell._state import TargetState, room_of
from daisygw.contracts import Queue, Size, Step, dominant_share
from daisygw.machines import is_responsive

# A target that has not answered for this long gets no new work, s: one
# renewal's longest wait, and the time-out of a call.
SILENCE = 3.2
# Learned paces are compared in steps of this size.
_PACE_STEP = 0.5


class Rooms:
    """The usable targets, what is free there, and who reserved it."""

    def __init__(self, lead: CellLeader) -> None:
        """Look at every target once."""
        self.targets = {
            one.key: one
            for one in lead.cell.targets.values()
            if is_usable(lead, one)
        }
        self.free = {key: one.free for key, one in self.targets.items()}
        self.reserved: set[str] = set()


def is_usable(lead: CellLeader, target: TargetState) -> bool:
    """Tell whether a target may be given new work now."""
    contact = lead.lease_states.get(target.key)
    if contact is None or not target.open or not is_responsive(contact):
        return False
    silent = lead.now - contact.seen > SILENCE
    return not silent and lead.now >= contact.quarantined_until


def times_in(need: Size, free: Size, most: int) -> int:
    """Return how many times ``need`` fits into ``free``, ``most`` at most."""
    for asked, left in (
        (need.cpus, free.cpus),
        (need.memory, free.memory),
        (need.accelerators, free.accelerators),
    ):
        if asked:
            most = min(most, left // asked)
    return max(most, 0)


def could_hold(target: TargetState, step: Step, queue: Queue) -> int:
    """Return how many tasks of a step an empty target could hold."""
    instance = target.instance
    if instance.service != queue.service:
        return 0
    if step.label and step.label not in {instance.kind, instance.rack}:
        return 0
    most = min(step.count, step.spread) if step.spread else step.count
    return times_in(room_of(step), instance.capacity, most)


def room_on(rooms: Rooms, waiting: WaitingStep, instance: str) -> int:
    """Return how many more tasks of a step a target takes now."""
    step = waiting.state.step
    most = step.count
    if step.spread:
        held = sum(
            run.instance == instance for run in waiting.state.runs.values()
        )
        most = min(most, step.spread - held)
    return times_in(room_of(step), rooms.free[instance], most)


def suitable(
    lead: CellLeader,
    rooms: Rooms,
    waiting: WaitingStep,
) -> list[TargetState]:
    """Return the targets that a step may use, as far as is known."""
    approval = lead.approvals.get(waiting.state.key)
    denied = approval.denied if approval else frozenset()
    return [
        one
        for key, one in rooms.targets.items()
        if key not in denied
        and key not in rooms.reserved
        and _could_hold(waiting, one) > 0
    ]


def _could_hold(waiting: WaitingStep, target: TargetState) -> int:
    """Remember what a target could hold: neither side of it changes."""
    known = waiting.holds.get(target.key)
    if known is None:
        known = could_hold(target, waiting.state.step, waiting.queue)
        waiting.holds[target.key] = known
    return known


def preference(lead: CellLeader, target: TargetState) -> tuple[float, float]:
    """Prefer fast targets, then the fullest."""
    relative_speed = lead.relative_speed.get(target.key, UNKNOWN_PACE).slowness
    fullness = dominant_share(target.used, target.instance.capacity)
    return (round(relative_speed / _PACE_STEP), -fullness)
