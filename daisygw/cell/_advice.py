"""Requests to the placement advisor: which targets may run a step.

An approval is valid as long as the target instance runs; only its ticket,
which a start order must carry, expires.
"""

from dataclasses import dataclass

from daisygw.cell._advice_targets import (
    INITIAL_APPROVAL_RATE,
    choose_targets,
    split_request,
)
from daisygw.cell._approval import Approval, PendingAdvice
from daisygw.cell._leader import (
    CellLeader,
    WaitingStep,
    approval_of,
)
from daisygw.cell._state import CellJob, StepState, TargetState, queue_of
from daisygw.contracts import (
    AdviceRequest,
    AdviceResponse,
    Advisor,
)

# A ticket is not used in the last part of its validity: the commit, and the
# start order on its way to the target, take time.
TICKET_MARGIN_S = 0.3
# A call takes at least this much longer than the advisor needs for it: the way
# to the process that makes it and back, behind other messages.
_MIN_CALL_DELAY_S = 0.2
# Part of a longer delay that is expected again at the next call.
_DELAY_DECAY = 0.9
# Weight of the answer about one target in the average of the approval rate.
_APPROVAL_RATE_WEIGHT = 0.01
# Lower bound of that average; limits a request to 7 times what is needed.
_MIN_APPROVAL_RATE = 0.15
# Calls that take longer than this use a part of the processes only, so that a
# short call always finds a free one.
LONG_CALL_S = 0.3
# Long calls that a process may have open: one at the advisor, and one that
# waits and keeps the process busy until the leader hears of the first.
_CALLS_PER_CALLER = 2
# Targets that a call about a new step is expected to name.
_USUAL_TARGETS = 20
# Share of the later steps of jobs accepted in the last seconds whose calls come
# before that of a new job.
_LATER_STEP_WEIGHT = 0.25
_RECENT_S = 10.0
# How long a new leader waits for the first answers of the targets before it
# makes long calls, and the share of them that is enough.
_SURVEY_S = 0.5
_SURVEYED_SHARE = 0.8
# Delay before the next request after a call that was not answered.
ADVICE_RETRY_DELAY_S = 0.2


def tickets_of(
    lead: CellLeader,
    waiting: WaitingStep,
) -> dict[str, tuple[str, float]]:
    """Return a step's tickets and their expiry (s) by target, expired too."""
    return approval_of(lead, waiting.state.key).tickets


def may_request_approvals(lead: CellLeader, waiting: WaitingStep) -> bool:
    """Tell whether a step may send requests now: not while one is open.

    The advisor serves the calls of a process in turn, and a long call that
    waits behind several others is given up.
    """
    advisor = waiting.queue.advisor
    if advisor is None:
        return False
    approval = approval_of(lead, waiting.state.key)
    if approval.calls or lead.now < approval.retry_at:
        return False
    if not is_long_call(advisor):
        return True
    return _has_caller(lead) and _knows_targets(lead)


def _knows_targets(lead: CellLeader) -> bool:
    """Tell whether a new leader has heard from most of the targets.

    A long call about the few that have answered first is often in vain.
    """
    if lead.now - lead.elected >= _SURVEY_S:
        return True
    answered = sum(one.has_answered for one in lead.lease_states.values())
    return answered >= _SURVEYED_SHARE * len(lead.lease_states)


def _has_caller(lead: CellLeader) -> bool:
    long_calls = sum(
        pending.work > LONG_CALL_S for pending in lead.pending_advice.values()
    )
    return long_calls < _CALLS_PER_CALLER * lead.long_callers


def is_long_call(advisor: Advisor | None) -> bool:
    """Tell whether calls about a queue's steps use a part of the processes."""
    return advisor is not None and advisor.decision > LONG_CALL_S


@dataclass(frozen=True, slots=True)
class ExpectedAnswer:
    """What to expect of a new long call to the advisor (s).

    It waits ``wait`` for its turn, and then takes ``call``; ``interval`` is the
    mean time between two answers.
    """

    wait: float
    call: float
    interval: float


def expected_answer(lead: CellLeader, advisor: Advisor) -> ExpectedAnswer:
    """Return what to expect of a new long call to the advisor.

    Open calls come before it, and those about steps that have no answer yet;
    some of the later steps of recent jobs come in between.
    """
    open_calls = sum(
        max(pending.sent_at + pending.work - lead.now, 0)
        for pending in lead.pending_advice.values()
        if pending.work > LONG_CALL_S
    )
    own_call = _call_time(advisor, _USUAL_TARGETS)
    first_calls = sum(
        is_long_call(waiting.queue.advisor)
        and not waiting.held
        and _is_unanswered(lead, waiting)
        for waiting in lead.waiting.values()
    )
    first_calls += _LATER_STEP_WEIGHT * _later_steps(lead)
    wait = (open_calls + first_calls * own_call) / lead.long_callers
    interval = own_call / lead.long_callers
    return ExpectedAnswer(wait, own_call, interval)


def _later_steps(lead: CellLeader) -> int:
    """Return how many steps of recent jobs wait for steps before them."""
    later = 0
    for job in reversed(lead.cell.jobs.values()):
        if lead.wall - job.enqueued.at > _RECENT_S:
            break
        queue = None if job.over else queue_of(lead.cell, job)
        if queue and is_long_call(queue.advisor):
            later += sum(
                _is_blocked(job, state) for state in job.steps.values()
            )
    return later


def _is_blocked(job: CellJob, state: StepState) -> bool:
    return any(
        not job.steps[state.key.occurrence, earlier].complete
        for earlier in state.step.after
    )


def _is_unanswered(lead: CellLeader, waiting: WaitingStep) -> bool:
    """Tell whether nothing is known or asked about a step's targets."""
    approval = lead.approvals.get(waiting.state.key)
    if approval is None:
        return True
    return not (approval.calls or approval.tickets or approval.denied)


def request_approvals(
    lead: CellLeader,
    waiting: WaitingStep,
    targets: list[TargetState],
    fitting: dict[str, int],
    needed: int,
) -> None:
    """Ask the advisor about targets that likely give enough capacity.

    ``fitting`` holds how many tasks fit on each target, by target key;
    ``needed`` is the number of tasks that still wait.  Tickets that expire
    before the answer are renewed in the same round.
    """
    approval = approval_of(lead, waiting.state.key)
    chosen = choose_targets(lead, waiting, targets, fitting, needed)
    approval.chosen = frozenset(chosen)
    work = _call_time(waiting.queue.advisor, len(chosen))
    delay = max(
        _MIN_CALL_DELAY_S, lead.advice_delays.get(waiting.queue.name, 0)
    )
    answered_at = lead.now + work + delay
    asked = [
        key
        for key in chosen
        if key not in approval.tickets
        or approval.tickets[key][1] <= answered_at
    ]
    for keys in split_request(asked):
        _send_request(lead, waiting, keys)


def _call_time(advisor: Advisor, targets: int) -> float:
    """Return how long a call about ``targets`` targets takes (s)."""
    return advisor.decision + targets * advisor.per_target


def _send_request(
    lead: CellLeader, waiting: WaitingStep, keys: list[str]
) -> None:
    """Send one request to the advisor; remember its targets for the answer."""
    approval_of(lead, waiting.state.key).calls += 1
    seq = next(lead.seq_numbers)
    work = _call_time(waiting.queue.advisor, len(keys))
    lead.pending_advice[seq] = PendingAdvice(
        waiting.state.key, tuple(keys), lead.now, work
    )
    names = tuple(lead.cell.targets[key].instance.name for key in keys)
    lead.request_advice(AdviceRequest(seq, waiting.state.key, names, work))


def on_advice(lead: CellLeader, answer: AdviceResponse) -> None:
    """Apply the advisor's answer; after a failure, retry with a delay."""
    pending = lead.pending_advice.pop(answer.seq, None)
    approval = lead.approvals.get(pending.step) if pending else None
    if approval is None:
        return
    approval.calls -= 1
    lead.changed = True
    if not answer.answered:
        approval.retry_at = lead.now + ADVICE_RETRY_DELAY_S
        lead.log_event(
            'advice failed', id=pending.step.job, step=pending.step.step
        )
        return
    _store_tickets(lead, approval, pending, dict(answer.tickets))
    lead.log_event(
        'advice',
        id=pending.step.job,
        step=pending.step.step,
        asked=len(pending.targets),
        approved=len(answer.tickets),
        took_s=round(lead.now - pending.sent_at, 3),
    )


def _store_tickets(
    lead: CellLeader,
    approval: Approval,
    pending: PendingAdvice,
    tickets: dict[str, str],
) -> None:
    waiting = lead.waiting.get(pending.step)
    advisor = waiting.queue.advisor if waiting else None
    validity = advisor.validity if advisor else 0
    if waiting:
        _learn_from_answer(lead, waiting, approval, pending, tickets)
    until = lead.now + validity - TICKET_MARGIN_S
    for key in pending.targets:
        ticket = tickets.get(_name_of(key))
        if ticket is None:
            approval.denied.add(key)
        else:
            approval.tickets[key] = (ticket, until)


def _learn_from_answer(
    lead: CellLeader,
    waiting: WaitingStep,
    approval: Approval,
    pending: PendingAdvice,
    tickets: dict[str, str],
) -> None:
    """Update a queue's approval rate, and how long its calls are delayed."""
    queue = waiting.queue.name
    delay = lead.now - pending.sent_at - pending.work
    earlier = lead.advice_delays.get(queue, 0) * _DELAY_DECAY
    lead.advice_delays[queue] = max(delay, earlier)
    # Renewals are always granted, so they tell nothing about the rate.
    first = [key for key in pending.targets if key not in approval.tickets]
    approved = sum(_name_of(key) in tickets for key in first)
    _update_approval_rate(lead, queue, approved, len(first))


def _name_of(key: str) -> str:
    return key.partition('@')[0]


def _update_approval_rate(
    lead: CellLeader, queue: str, approved: int, asked: int
) -> None:
    """Update the moving average of a queue's approval rate."""
    if not asked:
        return
    average = lead.approval_rates.get(queue, INITIAL_APPROVAL_RATE)
    weight = 1 - (1 - _APPROVAL_RATE_WEIGHT) ** asked
    average += weight * (approved / asked - average)
    lead.approval_rates[queue] = max(average, _MIN_APPROVAL_RATE)
