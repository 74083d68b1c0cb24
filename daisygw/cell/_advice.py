"""Asking the placement advisor: which targets may run a step, and tickets.

An approval stands for the life of a target; only its ticket ages.
"""

from daisygw.cell._lead import (
    Approval,
    Lead,
    WaitingStep,
    approval_of,
)
from daisygw.cell._questions import (
    INITIAL_APPROVAL_RATE,
    split_request,
    targets_to_ask,
)
from daisygw.cell._state import TargetState
from daisygw.contracts import AdviceAnswer, AdviceAsk, StepKey

# A ticket is not used in its last part, s: commit, order and its way.
TICKET_MARGIN_S = 0.3
# How much the newest answer counts for that part, and its least value.
_APPROVAL_RATE_WEIGHT = 0.1
# The least part of targets that is taken to be approved; bounds a question at
# 7 times its need.
_MIN_APPROVAL_RATE = 0.15
# The pause after a call that was not answered, s.
RETRY_PAUSE_S = 0.2


def known_tickets(
    lead: Lead,
    waiting: WaitingStep,
) -> dict[str, tuple[str, float]]:
    """Return a step's tickets, stale ones too: by target, until when (s)."""
    return approval_of(lead, waiting.state.key).tickets


def may_ask(lead: Lead, waiting: WaitingStep) -> bool:
    """Tell whether a step may ask now: one call at a time."""
    if waiting.queue.advisor is None:
        return False
    approval = approval_of(lead, waiting.state.key)
    return approval.calls == 0 and lead.now >= approval.retry_at


def request_approvals(
    lead: Lead,
    waiting: WaitingStep,
    targets: list[TargetState],
    fitting: dict[str, int],
    needed: int,
) -> None:
    """Ask about as many targets as are likely to give enough room."""
    asked = targets_to_ask(lead, waiting, targets, fitting, needed)
    for keys in split_request(asked):
        _send_request(lead, waiting, keys)


def _send_request(lead: Lead, waiting: WaitingStep, keys: list[str]) -> None:
    """Call the advisor."""
    approval_of(lead, waiting.state.key).calls += 1
    seq = next(lead.numbers)
    lead.pending_advice[seq] = (waiting.state.key, tuple(keys), lead.now)
    names = tuple(lead.cell.targets[one].life.name for one in keys)
    advisor = waiting.queue.advisor
    work = advisor.decision + len(names) * advisor.per_target
    lead.ask(AdviceAsk(seq, waiting.state.key, names, work))


def on_advice(lead: Lead, answer: AdviceAnswer) -> None:
    """Take the advisor's answer, or ask again later."""
    asked = lead.pending_advice.pop(answer.seq, None)
    approval = lead.approvals.get(asked[0]) if asked else None
    if approval is None:
        return
    key, keys, at = asked
    approval.calls -= 1
    lead.changed = True
    if not answer.answered:
        approval.retry_at = lead.now + RETRY_PAUSE_S
        lead.log_event('advice failed', id=key.job, step=key.step)
        return
    _store_tickets(lead, approval, asked, dict(answer.tickets))
    lead.log_event(
        'advice',
        id=key.job,
        step=key.step,
        asked=len(keys),
        approved=len(answer.tickets),
        took_s=round(lead.now - at, 3),
    )


def _store_tickets(
    lead: Lead,
    approval: Approval,
    asked: tuple[StepKey, tuple[str, ...], float],
    tickets: dict[str, str],
) -> None:
    waiting = lead.waiting.get(asked[0])
    validity = waiting.queue.advisor.validity if waiting else 0
    if waiting:
        _update_approval_rate(
            lead, waiting.queue.name, len(tickets) / len(asked[1])
        )
    until = lead.now + validity - TICKET_MARGIN_S
    for life in asked[1]:
        ticket = tickets.get(life.partition('@')[0])
        if ticket is None:
            approval.denied.add(life)
        else:
            approval.tickets[life] = (ticket, until)


def _update_approval_rate(lead: Lead, queue: str, fresh: float) -> None:
    usual = lead.approved.get(queue, INITIAL_APPROVAL_RATE)
    usual += _APPROVAL_RATE_WEIGHT * (fresh - usual)
    lead.approved[queue] = max(usual, _MIN_APPROVAL_RATE)
