"""What became of the starts and stops that targets were sent."""

import enum
from dataclasses import dataclass

from daisygw.cell._lead import (
    HERE,
    Lead,
    OutstandingOrder,
    Probe,
    StartOrder,
    request_stop,
)
from daisygw.cell._state import Run
from daisygw.cell._targets import (
    end_instance,
    finish,
)
from daisygw.contracts import RunEnd
from daisygw.machines import LeaseState

# A start that was not answered is sent again this long after the last time,
# s: what the answer of a sound target takes many times over.
START_RETRY_S = 0.2
# A stop that was not confirmed is sent again after this long, s.
STOP_RETRY_S = 0.5


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
    outstanding = lead.orders.get((run.step, run.index))
    if outstanding is None or outstanding.run != run:
        return
    lease_state = lead.contacts.get(run.life)
    if lease_state and done.outcome is not OrderOutcome.NO_ANSWER:
        lease_state.last_answer_at = lead.now
    if done.outcome is OrderOutcome.TAKEN:
        outstanding.answered = min(outstanding.answered, lead.now)
    if done.outcome in {OrderOutcome.TAKEN, OrderOutcome.FENCED}:
        return
    lead.log_event(
        'start not taken',
        id=run.step.job,
        index=run.index,
        target=run.life,
        outcome=done.outcome,
        reason=done.reason,
    )
    _handle_failed_start(lead, done, outstanding)


def _handle_failed_start(
    lead: Lead, done: StartDone, outstanding: OutstandingOrder
) -> None:
    run = done.order.run
    target = lead.cell.targets.get(run.life)
    if done.outcome is OrderOutcome.OTHER_LIFE and target:
        end_instance(lead, target, 'another life answered')
    elif done.outcome is OrderOutcome.NO_ANSWER:
        outstanding.unanswered += 1
        _retry_start(lead, done, outstanding)
    elif done.outcome is OrderOutcome.REFUSED and not outstanding.unanswered:
        _expire_ticket(lead, run)
        finish(lead, run, RunEnd.REFUSED, why=done.reason)
    else:
        request_stop(lead, run)


def _expire_ticket(lead: Lead, run: Run) -> None:
    approval = lead.approvals.get(run.step)
    if approval and run.life in approval.tickets:
        ticket, _ = approval.tickets[run.life]
        approval.tickets[run.life] = (ticket, float('-inf'))


def _retry_start(
    lead: Lead, done: StartDone, outstanding: OutstandingOrder
) -> None:
    """Send the same start again while it may still be carried out."""
    lease_state = lead.contacts.get(done.order.run.life)
    stopping = outstanding.stop_due < float('inf')
    if lease_state is None or stopping:
        return
    if lease_state.last_answer_at < done.sent:
        _suspect_target(lead, lease_state, done)
    outstanding.start_due = max(lead.now, done.sent + START_RETRY_S)


def _suspect_target(
    lead: Lead, lease_state: LeaseState, done: StartDone
) -> None:
    """Give a target nothing new until it has answered again."""
    if lease_state.last_answer_at > lease_state.suspected_at:
        lead.emit(HERE, Probe(done.order.run.life))
    lease_state.suspected_at = max(lease_state.suspected_at, done.sent)


def on_stopped(lead: Lead, run: Run, outcome: OrderOutcome) -> None:
    """Take the outcome of a stop."""
    outstanding = lead.orders.get((run.step, run.index))
    if outstanding and outstanding.run == run and outcome is OrderOutcome.TAKEN:
        outstanding.stop_confirmed_at = min(
            outstanding.stop_confirmed_at, lead.now
        )
