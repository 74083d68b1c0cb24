"""Results of the start and stop orders that were sent to targets."""

import enum
from dataclasses import dataclass

from daisygw.cell._lead import (
    LOCAL_PROCESS,
    CellLeader,
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

# An unanswered start is sent again this long after the previous attempt: many
# times what a healthy target needs to answer.
START_RETRY_S = 0.2
# An unconfirmed stop is sent again at this interval.
STOP_RETRY_S = 0.5


@enum.unique
class OrderOutcome(enum.StrEnum):
    """How a target answered an order."""

    TAKEN = 'taken'
    NO_ANSWER = 'no answer'
    REFUSED = 'refused'
    UNSURE = 'unsure'
    FENCED = 'fenced'
    OTHER_INSTANCE = 'other life'


@dataclass(frozen=True, slots=True)
class StartResult:
    """The result of a start order that was sent at ``sent`` (s)."""

    order: StartOrder
    outcome: OrderOutcome
    sent: float
    reason: str = ''


def on_started(lead: CellLeader, done: StartResult) -> None:
    """Handle the result of a start order."""
    run = done.order.run
    outstanding = lead.orders.get((run.step, run.index))
    if outstanding is None or outstanding.run != run:
        return
    lease_state = lead.lease_states.get(run.instance)
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
        target=run.instance,
        outcome=done.outcome,
        reason=done.reason,
    )
    _handle_failed_start(lead, done, outstanding)


def _handle_failed_start(
    lead: CellLeader, done: StartResult, outstanding: OutstandingOrder
) -> None:
    run = done.order.run
    target = lead.cell.targets.get(run.instance)
    if done.outcome is OrderOutcome.OTHER_INSTANCE and target:
        end_instance(lead, target, 'another instance answered')
    elif done.outcome is OrderOutcome.NO_ANSWER:
        outstanding.unanswered += 1
        _retry_start(lead, done, outstanding)
    elif done.outcome is OrderOutcome.REFUSED and not outstanding.unanswered:
        _expire_ticket(lead, run)
        finish(lead, run, RunEnd.REFUSED, why=done.reason)
    else:
        request_stop(lead, run)


def _expire_ticket(lead: CellLeader, run: Run) -> None:
    approval = lead.approvals.get(run.step)
    if approval and run.instance in approval.tickets:
        ticket, _ = approval.tickets[run.instance]
        approval.tickets[run.instance] = (ticket, float('-inf'))


def _retry_start(
    lead: CellLeader, done: StartResult, outstanding: OutstandingOrder
) -> None:
    """Schedule the same start order again, unless its run is to stop."""
    lease_state = lead.lease_states.get(done.order.run.instance)
    stopping = outstanding.stop_due < float('inf')
    if lease_state is None or stopping:
        return
    if lease_state.last_answer_at < done.sent:
        _suspect_target(lead, lease_state, done)
    outstanding.start_due = max(lead.now, done.sent + START_RETRY_S)


def _suspect_target(
    lead: CellLeader, lease_state: LeaseState, done: StartResult
) -> None:
    """Suspect a target: it gets no new work until it answers again."""
    if lease_state.last_answer_at > lease_state.suspected_at:
        lead.emit(LOCAL_PROCESS, Probe(done.order.run.instance))
    lease_state.suspected_at = max(lease_state.suspected_at, done.sent)


def on_stopped(lead: CellLeader, run: Run, outcome: OrderOutcome) -> None:
    """Handle the result of a stop order."""
    outstanding = lead.orders.get((run.step, run.index))
    if outstanding and outstanding.run == run and outcome is OrderOutcome.TAKEN:
        outstanding.stop_confirmed_at = min(
            outstanding.stop_confirmed_at, lead.now
        )
