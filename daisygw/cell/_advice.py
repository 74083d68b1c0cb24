"""Asking the placement advisor: which targets may run a step, and tickets.

An approval stands for the life of a target; only its ticket ages.
"""

from daisygw.cell._lead import (
    Approval,
    CellLeader,
    WaitingStep,
    approval_of,
)
from daisygw.cell._questions import (
    FIRST_RATE,
    split_question,
    targets_to_ask,
)
from daisygw.cell._state import TargetState
from daisygw.contracts import AdviceRequest, AdviceResponse, StepKey

# A ticket is not used in its last part, s: commit, order and its way.
TICKET_MARGIN = 0.3
# How much the newest answer counts for that part, and its least value.
_RATE = 0.1
# The least part of targets that is taken to be approved; bounds a question at
# 7 times its need.
_LEAST_RATE = 0.15
# The pause after a call that was not answered, s.
RETRY_PAUSE = 0.2


def known_tickets(
    lead: CellLeader,
    waiting: WaitingStep,
) -> dict[str, tuple[str, float]]:
    """Return a step's tickets, stale ones too: by target, until when (s)."""
    return approval_of(lead, waiting.state.key).tickets


def may_ask(lead: CellLeader, waiting: WaitingStep) -> bool:
    """Tell whether a step may ask now: one call at a time."""
    if waiting.queue.advisor is None:
        return False
    approval = approval_of(lead, waiting.state.key)
    return approval.calls == 0 and lead.now >= approval.retry_at


def ask_about(
    lead: CellLeader,
    waiting: WaitingStep,
    targets: list[TargetState],
    room: dict[str, int],
    needed: int,
) -> None:
    """Ask about as many targets as are likely to give enough room."""
    asked = targets_to_ask(lead, waiting, targets, room, needed)
    for lives in split_question(asked):
        _ask(lead, waiting, lives)


def _ask(lead: CellLeader, waiting: WaitingStep, lives: list[str]) -> None:
    """Call the advisor."""
    approval_of(lead, waiting.state.key).calls += 1
    seq = next(lead.numbers)
    lead.asks[seq] = (waiting.state.key, tuple(lives), lead.now)
    names = tuple(lead.cell.targets[one].instance.name for one in lives)
    advisor = waiting.queue.advisor
    work = advisor.decision + len(names) * advisor.per_target
    lead.ask(AdviceRequest(seq, waiting.state.key, names, work))


def on_advice(lead: CellLeader, answer: AdviceResponse) -> None:
    """Take the advisor's answer, or ask again later."""
    asked = lead.asks.pop(answer.seq, None)
    approval = lead.approvals.get(asked[0]) if asked else None
    if approval is None:
        return
    key, lives, at = asked
    approval.calls -= 1
    lead.changed = True
    if not answer.answered:
        approval.retry_at = lead.now + RETRY_PAUSE
        lead.log_event('advice failed', id=key.job, step=key.step)
        return
    _take_tickets(lead, approval, asked, dict(answer.tickets))
    lead.log_event(
        'advice',
        id=key.job,
        step=key.step,
        asked=len(lives),
        approved=len(answer.tickets),
        took_s=round(lead.now - at, 3),
    )


def _take_tickets(
    lead: CellLeader,
    approval: Approval,
    asked: tuple[StepKey, tuple[str, ...], float],
    tickets: dict[str, str],
) -> None:
    waiting = lead.waiting.get(asked[0])
    validity = waiting.queue.advisor.validity if waiting else 0
    if waiting:
        _learn_rate(lead, waiting.queue.name, len(tickets) / len(asked[1]))
    until = lead.now + validity - TICKET_MARGIN
    for instance in asked[1]:
        ticket = tickets.get(instance.partition('@')[0])
        if ticket is None:
            approval.denied.add(instance)
        else:
            approval.tickets[instance] = (ticket, until)


def _learn_rate(lead: CellLeader, queue: str, fresh: float) -> None:
    usual = lead.approved.get(queue, FIRST_RATE)
    usual += _RATE * (fresh - usual)
    lead.approved[queue] = max(usual, _LEAST_RATE)
