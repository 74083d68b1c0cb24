"""Asking the placement advisor: which targets may run a step, and tickets.

An approval stands for the life of a target; only its ticket ages.
"""

from daisygw.cell._lead import HERE, Approval, Lead, WaitingStep
from daisygw.cell._rooms import preference
from daisygw.cell._state import TargetState
from daisygw.contracts import AdviceAnswer, AdviceAsk, StepKey

# The platform's advisor takes at most this many targets in one call.
MOST_TARGETS = 100
# A ticket is not used in its last part, s: commit, order and its way.
TICKET_MARGIN = 0.3
# Ask for this often the room that is needed: some tickets are denied, and
# some room is taken while the advisor decides.
_ENOUGH = 1.6
# The part of targets that is approved, until answers tell.
_FIRST_RATE = 0.4
# How much the newest answer counts for that part, and its least value.
_RATE = 0.1
_LEAST_RATE = 0.15
# The pause after a call that was not answered, s.
RETRY_PAUSE = 0.2


def approval_of(lead: Lead, key: StepKey) -> Approval:
    """Return what is known of a step's approvals."""
    known = lead.approvals.get(key)
    if known is None:
        known = Approval()
        lead.approvals[key] = known
    return known


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
    return not approval.asking and lead.now >= approval.retry_at


def ask_about(
    lead: Lead,
    waiting: WaitingStep,
    targets: list[TargetState],
    room: dict[str, int],
    needed: int,
) -> None:
    """Ask about as many targets as are likely to give enough room.

    Targets that are approved come first: only their tickets are stale.
    """
    known = known_tickets(lead, waiting)
    rate = lead.approved.get(waiting.queue.name, _FIRST_RATE)
    asked: list[str] = []
    likely = 0.0
    for target in _by_promise(lead, waiting, targets, room)[:MOST_TARGETS]:
        if likely >= _ENOUGH * needed:
            break
        chance = 1.0 if target.key in known else rate
        likely += min(room[target.key] or 1, needed) * chance
        asked.append(target.key)
    _ask(lead, waiting, asked)


def _by_promise(
    lead: Lead,
    waiting: WaitingStep,
    targets: list[TargetState],
    room: dict[str, int],
) -> list[TargetState]:
    """Sort the targets without a ticket that holds: the best ones first.

    A gang wants much room on few targets, other work fast ones.
    """
    known = known_tickets(lead, waiting)
    fresh = {life for life, (_, until) in known.items() if lead.now < until}
    stale = [one for one in targets if one.key not in fresh]
    if waiting.state.step.gang:
        stale.sort(key=lambda one: (one.key not in known, -room[one.key]))
    else:
        stale.sort(
            key=lambda one: (one.key not in known, preference(lead, one))
        )
    return stale


def _ask(lead: Lead, waiting: WaitingStep, lives: list[str]) -> None:
    """Call the advisor."""
    if not lives:
        return
    approval_of(lead, waiting.state.key).asking = True
    seq = next(lead.numbers)
    lead.asks[seq] = (waiting.state.key, tuple(lives), lead.now)
    names = tuple(lead.cell.targets[one].life.name for one in lives)
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
    if waiting:
        _learn_rate(lead, waiting.queue.name, len(tickets) / len(asked[1]))
    until = lead.now + validity - TICKET_MARGIN
    for life in asked[1]:
        ticket = tickets.get(life.partition('@')[0])
        if ticket is None:
            approval.denied.add(life)
        else:
            approval.tickets[life] = (ticket, until)


def _learn_rate(lead: Lead, queue: str, fresh: float) -> None:
    usual = lead.approved.get(queue, _FIRST_RATE)
    usual += _RATE * (fresh - usual)
    lead.approved[queue] = max(usual, _LEAST_RATE)
