"""What became of the starts and stops that targets were sent."""

import enum
from dataclasses import dataclass

from daisygw.cell._lead import (
    LOCAL_PROCESS,
    CellLeader,
    Ordered,
    Probe,
    StartOrder,
    want_stop,
)
from daisygw.cell._state import Run
from daisygw.cell._targets import (
    end_life,
    finish,
)
from daisygw.contracts import RunEnd
from daisygw.machines import Contact

# A start that was not answered is sent again this long after the last time,
# s: what the answer of a sound target takes many times over.
START_AGAIN = 0.2
# A stop that was not confirmed is sent again after this long, s.
STOP_AGAIN = 0.5


@enum.unique
class OrderOutcome(enum.StrEnum):
    """How a target took an order."""

    TAKEN = 'taken'
    NO_ANSWER = 'no answer'
    REFUSED = 'refused'
    UNSURE = 'unsure'
    FENCED = 'fenced'
    OTHER_INSTANCE = 'other life'


@dataclass(frozen=True, slots=True)
class StartResult:
    """The outcome of a start that was sent at ``sent`` (s)."""

    order: StartOrder
    outcome: OrderOutcome
    sent: float
    reason: str = ''


def on_started(lead: CellLeader, done: StartResult) -> None:
    """Take the outcome of a start."""
    run = done.order.run
    ordered = lead.orders.get((run.step, run.index))
    if ordered is None or ordered.run != run:
        return
    contact = lead.lease_states.get(run.instance)
    if contact and done.outcome is not OrderOutcome.NO_ANSWER:
        contact.seen = lead.now
    if done.outcome is OrderOutcome.TAKEN:
        ordered.answered = min(ordered.answered, lead.now)
    if done.outcome in {OrderOutcome.TAKEN, OrderOutcome.FENCED}:
        return
    lead.log_event(
        'start not taken',
        id=run.step.job,
        index=run.index,
        target=run.instance,
        outcome=done.outcome,
        reason=done.reason,
    )
    _on_not_taken(lead, done, ordered)


def _on_not_taken(
    lead: CellLeader, done: StartResult, ordered: Ordered
) -> None:
    run = done.order.run
    target = lead.cell.targets.get(run.instance)
    if done.outcome is OrderOutcome.OTHER_INSTANCE and target:
        end_life(lead, target, 'another life answered')
    elif done.outcome is OrderOutcome.NO_ANSWER:
        ordered.unanswered += 1
        _repeat(lead, done, ordered)
    elif done.outcome is OrderOutcome.REFUSED and not ordered.unanswered:
        _drop_ticket(lead, run)
        finish(lead, run, RunEnd.REFUSED, why=done.reason)
    else:
        want_stop(lead, run)


def _drop_ticket(lead: CellLeader, run: Run) -> None:
    approval = lead.approvals.get(run.step)
    if approval and run.instance in approval.tickets:
        ticket, _ = approval.tickets[run.instance]
        approval.tickets[run.instance] = (ticket, float('-inf'))


def _repeat(lead: CellLeader, done: StartResult, ordered: Ordered) -> None:
    """Send the same start again while it may still be carried out."""
    contact = lead.lease_states.get(done.order.run.instance)
    stopping = ordered.stop_due < float('inf')
    if contact is None or stopping:
        return
    if contact.seen < done.sent:
        _doubt(lead, contact, done)
    ordered.start_due = max(lead.now, done.sent + START_AGAIN)


def _doubt(lead: CellLeader, contact: Contact, done: StartResult) -> None:
    """Give a target nothing new until it has answered again."""
    if contact.seen > contact.doubted:
        lead.send_message(LOCAL_PROCESS, Probe(done.order.run.instance))
    contact.doubted = max(contact.doubted, done.sent)


def on_stopped(lead: CellLeader, run: Run, outcome: OrderOutcome) -> None:
    """Take the outcome of a stop."""
    ordered = lead.orders.get((run.step, run.index))
    if ordered and ordered.run == run and outcome is OrderOutcome.TAKEN:
        ordered.barred = min(ordered.barred, lead.now)
