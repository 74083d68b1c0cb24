"""Asking the placement advisor: which targets may run a step, and tickets.

An approval stands for the life of a target; only its ticket ages.
"""

from daisygw.cell._lead import HERE, Approval, Lead, WaitingStep
from daisygw.contracts import AdviceAnswer, AdviceAsk, StepKey

# The platform's advisor takes at most this many targets in one call.
MOST_TARGETS = 100
# A ticket is not used in its last part, s: commit, order and its way.
TICKET_MARGIN = 0.3
# The pause after a call that was not answered, s.
RETRY_PAUSE = 0.2


def approval_of(lead: Lead, key: StepKey) -> Approval:
    """Return what is known of a step's approvals."""
    return lead.approvals.setdefault(key, Approval())


def ask_advice(lead: Lead, waiting: WaitingStep, lives: list[str]) -> None:
    """Ask about targets, one call at a time for a step."""
    approval = approval_of(lead, waiting.state.key)
    if approval.asking or not lives or lead.now < approval.retry_at:
        return
    approval.asking = True
    seq = next(lead.numbers)
    asked = tuple(lives[:MOST_TARGETS])
    lead.asks[seq] = (waiting.state.key, asked, lead.now)
    names = tuple(lead.cell.targets[one].life.name for one in asked)
    advisor = waiting.queue.advisor
    work = advisor.decision + len(names) * advisor.per_target
    lead.tell(HERE, AdviceAsk(seq, waiting.state.key, names, work))


def on_advice(lead: Lead, answer: AdviceAnswer) -> None:
    """Take the advisor's answer, or ask again later."""
    asked = lead.asks.pop(answer.seq, None)
    approval = lead.approvals.get(asked[0]) if asked else None
    if approval is None:
        return
    key, lives, at = asked
    approval.asking = False
    lead.changed = True
    if not answer.answered:
        approval.retry_at = lead.now + RETRY_PAUSE
        lead.say('advice failed', id=key.job, step=key.step)
        return
    _take_tickets(lead, approval, asked, dict(answer.tickets))
    lead.say(
        'advice',
        id=key.job,
        step=key.step,
        asked=len(lives),
        approved=len(answer.tickets),
        took_s=round(lead.now - at, 3),
    )


def _take_tickets(
    lead: Lead,
    approval: Approval,
    asked: tuple[StepKey, tuple[str, ...], float],
    tickets: dict[str, str],
) -> None:
    waiting = lead.waiting.get(asked[0])
    validity = waiting.queue.advisor.validity if waiting else 0
    until = lead.now + validity - TICKET_MARGIN
    for life in asked[1]:
        ticket = tickets.get(life.partition('@')[0])
        if ticket is None:
            approval.denied.add(life)
        else:
            approval.tickets[life] = (ticket, until)
