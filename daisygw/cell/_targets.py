"""Targets under the leader: reports, renewals, outcomes of orders.

A run gives its room back by its listed end, by proof that it never starts,
or when its target's clock has surely passed the latest time it was given.
"""

import enum
from dataclasses import dataclass

from daisygw.cell._lead import (
    HERE,
    START_LOST,
    EndsCommitted,
    Lead,
    Ordered,
    Probe,
    StartOrder,
    StopOrder,
    enqueue_due,
    enqueue_job,
    inherited_until,
    job_over,
    lease_for,
    want_stop,
)
from daisygw.cell._learning import learn
from daisygw.cell._state import JobRecord, Run, StepState, TargetState, step_of
from daisygw.contracts import (
    CellAnswer,
    EndsNoted,
    LifeClosed,
    LifeOver,
    ResultCode,
    RunEnd,
    RunOver,
)
from daisygw.machines import (
    ActiveRun,
    Contact,
    Holding,
    LifeListed,
    ListedEnd,
    TargetReport,
    grant,
    is_sure,
    life_key,
    note_clock,
)

# The longest wait that a renewal asks for, s: a quarter of the lease.
HOLD_WAIT = 1.0
# Waiting steps are looked at this often, s, also when nothing has changed:
# tickets age, targets are tried again, occurrences become due.
LOOK = 0.1
# A start that was not answered is sent again this long after the last time,
# s: what the answer of a sound target takes many times over.
START_AGAIN = 0.2
# A stop that was not confirmed is sent again after this long, s.
STOP_AGAIN = 0.5
# A silent target's life is given up this long after nothing runs there, s.
GIVE_UP = 20.0


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


def on_report(lead: Lead, report: TargetReport, entry: str) -> None:
    """Take a target's report on itself; acknowledge it once committed."""
    if report.left:
        _note_leaving(lead, report)
    elif report.life is not None:
        _note_life(lead, report)
    lead.answer(entry, CellAnswer(report.seq, ResultCode.ACCEPTED))


def _note_leaving(lead: Lead, report: TargetReport) -> None:
    for target in lead.cell.targets.values():
        if target.life.name == report.name and not target.open:
            lead.say('target leaves', target=target.key)
            contact = lead.contacts[target.key]
            contact.over_at = min(contact.over_at, lead.now + 1)


def _note_life(lead: Lead, report: TargetReport) -> None:
    life = report.life
    key = life_key(life)
    same = [
        one
        for one in lead.cell.targets.values()
        if one.life.name == life.name or one.life.address == life.address
    ]
    if any(one.life.born > life.born for one in same):
        return
    for older in same:
        if older.key != key:
            end_life(lead, older, 'replaced')
    if key not in lead.cell.targets:
        lead.record(LifeListed(life))
        lead.contacts[key] = Contact(lead.now, lead.now)
        lead.say('target up', target=key, domain=life.domain)
    target = lead.cell.targets[key]
    if report.draining and target.open:
        lead.record(LifeClosed(key))
        lead.say('target drains', target=key, runs=len(target.runs))


def end_life(lead: Lead, target: TargetState, why: str) -> None:
    """Take a life as over: what ran there is lost."""
    _lose_runs(lead, target, why)
    lead.record(LifeOver(target.key))
    lead.contacts.pop(target.key, None)
    lead.pace.pop(target.key, None)
    lead.suspects.pop(target.key, None)
    lead.say('target gone', target=target.key, why=why)


def _lose_runs(lead: Lead, target: TargetState, why: str) -> None:
    for run in list(target.runs.values()):
        finish(lead, run, RunEnd.LOST, why=why)


def finish(
    lead: Lead,
    run: Run,
    how: RunEnd,
    saved: str = '',
    why: str = '',
) -> None:
    """End a run in the log, and see what follows for its job."""
    state = step_of(lead.cell, run.step)
    job = lead.cell.jobs.get(run.step.job)
    ordered = lead.orders.pop((run.step, run.index), None)
    was_over = job is None or job.over
    if not saved and state:
        saved = state.saved.get(run.index, '')
    lead.record(RunOver(run.step, run.index, run.number, how, saved))
    lead.say(
        'run over',
        id=run.step.job,
        step=run.step.step,
        index=run.index,
        run=run.number,
        target=run.life,
        how=how,
        why=why,
    )
    if state is None or job is None or was_over:
        return
    if how in {RunEnd.DONE, RunEnd.FAILED}:
        learn(lead, run, how, ordered)
    if job.over:
        job_over(lead, job)
        return
    _follow(lead, job, state, run, how)


def _follow(
    lead: Lead,
    job: JobRecord,
    state: StepState,
    run: Run,
    how: RunEnd,
) -> None:
    if state.step.gang and how is not RunEnd.DONE:
        for other in list(state.runs.values()):
            want_stop(lead, other)
    if state.complete:
        lead.waiting.pop(state.key, None)
        lead.approvals.pop(state.key, None)
    enqueue_job(lead, job)
    waiting = lead.waiting.get(state.key)
    if waiting and how is RunEnd.FAILED:
        waiting.avoid.setdefault(run.index, set()).add(run.life)


@dataclass(frozen=True, slots=True)
class Renewal:
    """A look at a target: which ends are noted, until when it may run on.

    ``deadline`` is on the target's clock (ms; none: not renewed); ``wait``
    (s) is how long the target may wait for an end.
    """

    noted: int
    deadline: int | None
    wait: float


def renewal_of(lead: Lead, target: TargetState) -> Renewal:
    """Return the next look at a target; one in doubt is not renewed."""
    contact = lead.contacts[target.key]
    if not is_sure(contact):
        return Renewal(contact.noted, None, 0)
    deadline = grant(contact, lead.now, lease_for(lead, target))
    return Renewal(contact.noted, deadline, HOLD_WAIT)


def deadline_of(lead: Lead, run: Run) -> int | None:
    """Return until when a start holds, none where it is not wanted any more.

    A repeat carries the time of the first copy, so that no copy outlasts it.
    """
    ordered = lead.orders.get((run.step, run.index))
    contact = lead.contacts.get(run.life)
    if ordered is None or ordered.run != run or contact is None:
        return None
    if not ordered.deadline:
        lease = lease_for(lead, lead.cell.targets[run.life])
        ordered.deadline = grant(contact, lead.now, lease)
    ordered.start_due = float('inf')
    return ordered.deadline


def note_committed(lead: Lead, ends: EndsCommitted) -> None:
    """Note that a target's ends are durable, so that it may forget them."""
    contact = lead.contacts.get(ends.life)
    if contact:
        contact.noted = max(contact.noted, ends.position)


def on_holding(
    lead: Lead,
    target: TargetState,
    holding: Holding,
    sent: float,
) -> None:
    """Take a target's lists, asked for at ``sent`` (s)."""
    contact = lead.contacts[target.key]
    if holding.born != target.life.born:
        end_life(lead, target, 'another life answered')
        return
    regained = contact.failures or not contact.reached
    contact.failures = 0
    contact.reached = True
    note_clock(contact, lead.now, holding.clock)
    if regained:
        lead.changed = True
        lead.say('target reached', target=target.key, runs=len(target.runs))
    ended = _take_ends(lead, target, holding.ended)
    active = _take_active(lead, target, holding.active, sent)
    for key, run in list(target.runs.items()):
        if key not in active and (key, run.number) not in ended:
            _resolve(lead, run, holding.clock, sent)


def _take_ends(
    lead: Lead,
    target: TargetState,
    ends: tuple[ListedEnd, ...],
) -> set[tuple]:
    seen = set()
    last = target.position
    for end in ends:
        key = (end.step, end.index)
        run = target.runs.get(key)
        if end.position > target.position and run and run.number == end.number:
            seen.add((key, end.number))
            finish(lead, run, RunEnd(end.how), end.saved, 'listed')
        last = max(last, end.position)
    if last > target.position:
        lead.record(EndsNoted(target.key, last))
    lead.tell(HERE, EndsCommitted(target.key, last))
    return seen


def _take_active(
    lead: Lead,
    target: TargetState,
    active: tuple[ActiveRun, ...],
    sent: float,
) -> set[tuple]:
    seen = set()
    for row in active:
        key = (row.step, row.index)
        run = target.runs.get(key)
        if run is None or run.number != row.number:
            stray = Run(row.step, row.index, row.number, target.key)
            lead.say('stray run', id=row.step.job, target=target.key)
            lead.tell(HERE, StopOrder(stray))
            continue
        seen.add(key)
        _note_progress(lead, run, row)
    return seen


def _note_progress(lead: Lead, run: Run, row: ActiveRun) -> None:
    ordered = lead.orders.get((run.step, run.index))
    if ordered is None:
        ordered = Ordered(run, lead.now)
        ordered.answered = lead.now
        lead.orders[run.step, run.index] = ordered
    state = step_of(lead.cell, run.step)
    if row.saved and state:
        state.saved[run.index] = row.saved


def _resolve(lead: Lead, run: Run, clock: int, sent: float) -> None:
    """End a run that its target does not list, once that proves it over."""
    ordered = lead.orders.get((run.step, run.index))
    if ordered is None:
        finish(lead, run, RunEnd.REFUSED, why='never started')
    elif ordered.answered < sent:
        finish(lead, run, RunEnd.LOST, why='not listed any more')
    elif ordered.barred < sent:
        finish(lead, run, RunEnd.REFUSED, why='stopped before its start')
    elif 0 < ordered.deadline < clock:
        finish(lead, run, RunEnd.REFUSED, why='its start is too old')


def on_silence(lead: Lead, target: TargetState) -> None:
    """Note a renewal that brought no answer."""
    contact = lead.contacts[target.key]
    contact.failures += 1
    if contact.failures == 1:
        lead.say('target silent', target=target.key, runs=len(target.runs))


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


def pass_time(lead: Lead, now: float, wall: float) -> None:
    """Let time pass: repeat stops, give up silent targets."""
    lead.now = now
    lead.wall = wall
    if now >= lead.look_due:
        lead.look_due = now + LOOK
        lead.changed = True
        enqueue_due(lead)
    for ordered in list(lead.orders.values()):
        if now >= ordered.stop_due:
            ordered.stop_due = now + STOP_AGAIN
            lead.tell(HERE, StopOrder(ordered.run))
        elif now >= ordered.start_due:
            ordered.start_due = now + START_LOST
            lead.tell(HERE, ordered.start)
    for target in list(lead.cell.targets.values()):
        _review(lead, target)


def _review(lead: Lead, target: TargetState) -> None:
    contact = lead.contacts.get(target.key)
    if contact is None:
        contact = Contact(lead.now, inherited_until(lead))
        lead.contacts[target.key] = contact
    silent = contact.failures > 0 or not contact.reached
    if not silent or lead.now < contact.over_at:
        return
    _lose_runs(lead, target, 'its lease is over')
    if lead.now - max(contact.seen, contact.known) > GIVE_UP:
        end_life(lead, target, 'silent for long')
