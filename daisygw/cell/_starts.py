"""Results of the start and stop orders that were sent to targets."""

import enum
from dataclasses import dataclass

from daisygw.cell._confirmations import confirm_start
from daisygw.cell._leader import (
    LOCAL_PROCESS,
    CellLeader,
    OutstandingOrder,
    Probe,
    StartOrder,
    request_gang_stop,
    request_stop,
)
from daisygw.cell._state import Run, step_of
from daisygw.cell._targets import (
    defer_work,
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
    """The outcome of an order that was sent to a target.

    After ``UNSURE`` the order may have been carried out.  ``REFUSED`` means
    that the order is not valid (any more), ``UNAVAILABLE`` that the target
    takes no order of this kind now.  ``FENCED`` means that the target knows a
    newer fencing token, ``OTHER_INSTANCE`` that another target, of another
    name, has its address.
    """

    TAKEN = 'taken'
    NO_ANSWER = 'no answer'
    REFUSED = 'refused'
    UNAVAILABLE = 'unavailable'
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


def on_started(lead: CellLeader, result: StartResult) -> None:
    """Handle the result of a start order."""
    run = result.order.run
    outstanding = lead.orders.get((run.step, run.index))
    if outstanding is None or outstanding.run != run:
        return
    lease_state = lead.lease_states.get(run.instance)
    if lease_state and result.outcome is not OrderOutcome.NO_ANSWER:
        lease_state.last_answer_at = lead.now
    if result.outcome is OrderOutcome.TAKEN:
        outstanding.answered = min(outstanding.answered, lead.now)
        confirm_start(lead, run)
        return
    lead.log_event(
        'start not taken',
        id=run.step.job,
        index=run.index,
        target=run.instance,
        outcome=result.outcome,
        reason=result.reason,
    )
    _handle_failed_start(lead, result, outstanding)


def _handle_failed_start(
    lead: CellLeader, result: StartResult, outstanding: OutstandingOrder
) -> None:
    run = result.order.run
    target = lead.cell.targets.get(run.instance)
    if result.outcome is OrderOutcome.OTHER_INSTANCE and target:
        end_instance(lead, target, 'another target answered')
    elif result.outcome in {OrderOutcome.NO_ANSWER, OrderOutcome.FENCED}:
        outstanding.unanswered += result.outcome is OrderOutcome.NO_ANSWER
        _retry_start(lead, result, outstanding)
    elif result.outcome is OrderOutcome.REFUSED:
        _expire_ticket(lead, run)
        _end_refused_run(lead, result, outstanding)
    elif result.outcome is OrderOutcome.UNAVAILABLE:
        defer_work(lead, run.instance)
        _end_refused_run(lead, result, outstanding)
    else:
        request_stop(lead, run)


def _end_refused_run(
    lead: CellLeader, result: StartResult, outstanding: OutstandingOrder
) -> None:
    """End a refused run, once no earlier copy of its start can arrive."""
    run = result.order.run
    state = step_of(lead.cell, run.step)
    if not outstanding.unanswered:
        finish(lead, run, RunEnd.REFUSED, why=result.reason)
    elif state and state.step.gang:
        request_gang_stop(lead, state)
    else:
        request_stop(lead, run)


def _expire_ticket(lead: CellLeader, run: Run) -> None:
    approval = lead.approvals.get(run.step)
    if approval and run.instance in approval.tickets:
        ticket, _ = approval.tickets[run.instance]
        approval.tickets[run.instance] = (ticket, float('-inf'))


def _retry_start(
    lead: CellLeader, result: StartResult, outstanding: OutstandingOrder
) -> None:
    """Schedule the same start order again, unless its run is to stop."""
    lease_state = lead.lease_states.get(result.order.run.instance)
    stopping = outstanding.stop_due < float('inf')
    if lease_state is None or stopping:
        return
    if lease_state.last_answer_at < result.sent:
        _suspect_target(lead, lease_state, result)
    outstanding.start_due = max(lead.now, result.sent + START_RETRY_S)


def _suspect_target(
    lead: CellLeader, lease_state: LeaseState, result: StartResult
) -> None:
    """Suspect a target: it gets no new work until it answers again."""
    if lease_state.last_answer_at > lease_state.suspected_at:
        lead.send_message(LOCAL_PROCESS, Probe(result.order.run.instance))
    lease_state.suspected_at = max(lease_state.suspected_at, result.sent)


def on_stopped(lead: CellLeader, run: Run, outcome: OrderOutcome) -> None:
    """Handle the result of a stop order."""
    outstanding = lead.orders.get((run.step, run.index))
    if outstanding is None or outstanding.run != run:
        return
    if outcome is not OrderOutcome.TAKEN:
        return
    if outstanding.stop_confirmed_at == float('inf'):
        # The target lists an end unless the run never started, which only a
        # reply to a later renewal proves.
        outstanding.stop_confirmed_at = lead.now
        outstanding.stop_due = max(
            outstanding.stop_due, lead.now + STOP_RETRY_S
        )
        if outstanding.answered == float('inf'):
            lead.send_message(LOCAL_PROCESS, Probe(run.instance))
