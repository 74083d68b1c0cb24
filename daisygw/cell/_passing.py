"""What time alone decides: what is due, and which targets are given up."""

from daisygw.cell._lead import (
    LOCAL_PROCESS,
    START_LOST,
    CellLeader,
    StopOrder,
    enqueue_due,
    inherited_until,
)
from daisygw.cell._starts import STOP_AGAIN
from daisygw.cell._state import TargetState
from daisygw.cell._targets import end_life, lose_runs
from daisygw.machines import Contact

# Waiting steps are looked at this often, s, also when nothing has changed:
# tickets age, targets are tried again, occurrences become due.
LOOK = 0.1
# A silent target's life is given up this long after nothing runs there, s.
GIVE_UP = 20.0


def pass_time(lead: CellLeader, now: float, wall: float) -> None:
    """Let time pass: repeat stops, give up silent targets."""
    lead.now = now
    lead.wall = wall
    if now >= lead.look_due:
        lead.look_due = now + LOOK
        lead.changed = True
        enqueue_due(lead)
    for ordered in list(lead.orders.values()):
        if now >= ordered.stop_due:
            ordered.stop_due = now + STOP_AGAIN
            lead.send_message(LOCAL_PROCESS, StopOrder(ordered.run))
        elif now >= ordered.start_due:
            ordered.start_due = now + START_LOST
            lead.send_message(LOCAL_PROCESS, ordered.start)
    for target in list(lead.cell.targets.values()):
        _review(lead, target)


def _review(lead: CellLeader, target: TargetState) -> None:
    contact = lead.lease_states.get(target.key)
    if contact is None:
        contact = Contact(lead.now, inherited_until(lead))
        lead.lease_states[target.key] = contact
    silent = contact.failures > 0 or not contact.reached
    if not silent or lead.now < contact.over_at:
        return
    lose_runs(lead, target, 'its lease is over')
    if lead.now - max(contact.seen, contact.known) > GIVE_UP:
        end_life(lead, target, 'silent for long')
