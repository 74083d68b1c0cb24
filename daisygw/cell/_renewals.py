"""Renewals: what a target is asked, and what its list of runs says."""

from dataclasses import dataclass

from daisygw.cell._lead import (
    HERE,
    EndsCommitted,
    Lead,
    OutstandingOrder,
    StopOrder,
    lease_for,
)
from daisygw.cell._state import Run, TargetState, step_of
from daisygw.cell._targets import (
    end_instance,
    finish,
)
from daisygw.contracts import (
    EndsNoted,
    RunEnd,
)
from daisygw.machines import (
    ActiveRun,
    Holding,
    ListedEnd,
    grant_lease,
    is_sure,
    record_clock,
)

# The longest wait that a renewal asks for, s: a quarter of the shortest lease.
RENEWAL_WAIT_S = 1.0


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
    lease_state = lead.contacts[target.key]
    if not is_sure(lease_state):
        return Renewal(lease_state.noted, None, 0)
    deadline = grant_lease(lease_state, lead.now, lease_for(lead, target))
    return Renewal(lease_state.noted, deadline, RENEWAL_WAIT_S)


def deadline_of(lead: Lead, run: Run) -> int | None:
    """Return until when a start holds, none where it is not wanted any more.

    A repeat carries the time of the first copy, so that no copy outlasts it.
    """
    outstanding = lead.orders.get((run.step, run.index))
    lease_state = lead.contacts.get(run.life)
    if outstanding is None or outstanding.run != run or lease_state is None:
        return None
    if not outstanding.deadline:
        lease = lease_for(lead, lead.cell.targets[run.life])
        outstanding.deadline = grant_lease(lease_state, lead.now, lease)
    outstanding.start_due = float('inf')
    return outstanding.deadline


def note_committed(lead: Lead, ends: EndsCommitted) -> None:
    """Note that a target's ends are durable, so that it may forget them."""
    lease_state = lead.contacts.get(ends.life)
    if lease_state:
        lease_state.noted = max(lease_state.noted, ends.position)


def on_holding(
    lead: Lead,
    target: TargetState,
    holding: Holding,
    sent: float,
) -> None:
    """Take a target's lists, asked for at ``sent`` (s)."""
    lease_state = lead.contacts[target.key]
    if holding.born != target.life.born:
        end_instance(lead, target, 'another life answered')
        return
    regained = lease_state.failures or not lease_state.has_answered
    lease_state.failures = 0
    lease_state.has_answered = True
    record_clock(lease_state, lead.now, holding.clock)
    if regained:
        lead.changed = True
        lead.log_event(
            'target reached', target=target.key, runs=len(target.runs)
        )
    ended = _apply_ends(lead, target, holding.ended)
    active = _apply_active(lead, target, holding.active, sent)
    for key, run in list(target.runs.items()):
        if key not in active and (key, run.number) not in ended:
            _resolve_unlisted(lead, run, holding.clock, sent)


def _apply_ends(
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
    lead.emit(HERE, EndsCommitted(target.key, last))
    return seen


def _apply_active(
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
            lead.log_event('stray run', id=row.step.job, target=target.key)
            lead.emit(HERE, StopOrder(stray))
            continue
        seen.add(key)
        _record_progress(lead, run, row)
    return seen


def _record_progress(lead: Lead, run: Run, row: ActiveRun) -> None:
    outstanding = lead.orders.get((run.step, run.index))
    if outstanding is None:
        outstanding = OutstandingOrder(run, lead.now)
        outstanding.answered = lead.now
        lead.orders[run.step, run.index] = outstanding
    state = step_of(lead.cell, run.step)
    if row.saved and state:
        state.saved[run.index] = row.saved


def _resolve_unlisted(lead: Lead, run: Run, clock: int, sent: float) -> None:
    """End a run that its target does not list, once that proves it over."""
    outstanding = lead.orders.get((run.step, run.index))
    if outstanding is None:
        finish(lead, run, RunEnd.REFUSED, why='never started')
    elif outstanding.answered < sent:
        finish(lead, run, RunEnd.LOST, why='not listed any more')
    elif outstanding.stop_confirmed_at < sent:
        finish(lead, run, RunEnd.REFUSED, why='stopped before its start')
    elif 0 < outstanding.deadline < clock:
        finish(lead, run, RunEnd.REFUSED, why='its start is too old')


def on_silence(lead: Lead, target: TargetState) -> None:
    """Note a renewal that brought no answer."""
    lease_state = lead.contacts[target.key]
    lease_state.failures += 1
    if lease_state.failures == 1:
        lead.log_event(
            'target silent', target=target.key, runs=len(target.runs)
        )
