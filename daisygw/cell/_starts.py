"""What became of the starts and stops that targets were sent."""

import enum
from dataclasses import dataclass

from daisygw.cell._lead import (
    HERE,
    Lead,
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
    OTHER_LIFE = 'other life'


@dataclass(frozen=True, slots=True)
class StartDone:
    """The outcome of a start that was sent at ``sent`` (s)."""

    order: StartOrder
    outcome: OrderOutcome
    sent: float
    reason: str = ''


def on_started(lead: Lead, done: StartDone) -> None:
    """Take the outcome of a start."""
    run = done.order.run
    ordered = lead.orders.get((run.step, run.index))
    if ordered is None or ordered.run != run:
        return
    contact = lead.contacts.get(run.life)
    if contact and done.outcome is not OrderOutcome.NO_ANSWER:
        contact.seen = lead.now
    if done.outcome is OrderOutcome.TAKEN:
        ordered.answered = min(ordered.answered, lead.now)
    if done.outcome in {OrderOutcome.TAKEN, OrderOutcome.FENCED}:
        return
    lead.say(
        'start not taken',
        id=run.step.job,
        index=run.index,
        target=run.life,
        outcome=done.outcome,
        reason=done.reason,
    )
    _on_not_taken(lead, done, ordered)


def _on_not_taken(lead: Lead, done: StartDone, ordered: Ordered) -> None:
    run = done.order.run
    target = lead.cell.targets.get(run.life)
    if done.outcome is OrderOutcome.OTHER_LIFE and target:
        end_life(lead, target, 'another life answered')
    elif done.outcome is OrderOutcome.NO_ANSWER:
        ordered.unanswered += 1
        _repeat(lead, done, ordered)
    elif done.outcome is OrderOutcome.REFUSED and not ordered.unanswered:
        _drop_ticket(lead, run)
        finish(lead, run, RunEnd.REFUSED, why=done.reason)
    else:
        want_stop(lead, run)


def _drop_ticket(lead: Lead, run: Run) -> None:
    approval = lead.approvals.get(run.step)
    if approval and run.life in approval.tickets:
        ticket, _ = approval.tickets[run.life]
        approval.tickets[run.life] = (ticket, float('-inf'))


def _repeat(lead: Lead, done: StartDone, ordered: Ordered) -> None:
    """Send the same start again while it may still be carried out."""
    contact = lead.contacts.get(done.order.run.life)
    stopping = ordered.stop_due < float('inf')
    if contact is None or stopping:
        return
    if contact.seen < done.sent:
        _doubt(lead, contact, done)
    ordered.start_due = max(lead.now, done.sent + START_AGAIN)


def _doubt(lead: Lead, contact: Contact, done: StartDone) -> None:
    """Give a target nothing new until it has answered again."""
    if contact.seen > contact.doubted:
        lead.tell(HERE, Probe(done.order.run.life))
    contact.doubted = max(contact.doubted, done.sent)


def on_stopped(lead: Lead, run: Run, outcome: OrderOutcome) -> None:
    """Take the outcome of a stop."""
    ordered = lead.orders.get((run.step, run.index))
    if ordered and ordered.run == run and outcome is OrderOutcome.TAKEN:
        ordered.barred = min(ordered.barred, lead.now)
