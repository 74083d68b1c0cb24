"""Renewals: what a target is asked, and what its list of runs says."""

from dataclasses import dataclass

from daisygw.cell._lead import (
    LOCAL_PROCESS,
    CellLeader,
    EndsCommitted,
    Ordered,
    StopOrder,
    lease_for,
)
from daisygw.cell._state import Run, TargetState, step_of
from daisygw.cell._targets import (
    end_life,
    finish,
)
from daisygw.contracts import (
    EndsAcknowledged,
    RunEnd,
)
from daisygw.machines import (
    ActiveRun,
    ListedEnd,
    RenewalReply,
    grant,
    is_responsive,
    note_clock,
)

# The longest wait that a renewal asks for, s: a quarter of the shortest lease.
HOLD_WAIT = 1.0


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """A look at a target: which ends are noted, until when it may run on.

    ``deadline`` is on the target's clock (ms; none: not renewed); ``wait``
    (s) is how long the target may wait for an end.
    """

    noted: int
    deadline: int | None
    wait: float


def next_renewal(lead: CellLeader, target: TargetState) -> LeaseRenewal:
    """Return the next look at a target; one in doubt is not renewed."""
    contact = lead.lease_states[target.key]
    if not is_responsive(contact):
        return LeaseRenewal(contact.noted, None, 0)
    deadline = grant(contact, lead.now, lease_for(lead, target))
    return LeaseRenewal(contact.noted, deadline, HOLD_WAIT)


def start_deadline(lead: CellLeader, run: Run) -> int | None:
    """Return until when a start holds, none where it is not wanted any more.

    A repeat carries the time of the first copy, so that no copy outlasts it.
    """
    ordered = lead.orders.get((run.step, run.index))
    contact = lead.lease_states.get(run.instance)
    if ordered is None or ordered.run != run or contact is None:
        return None
    if not ordered.deadline:
        lease = lease_for(lead, lead.cell.targets[run.instance])
        ordered.deadline = grant(contact, lead.now, lease)
    ordered.start_due = float('inf')
    return ordered.deadline


def acknowledge_ends(lead: CellLeader, ends: EndsCommitted) -> None:
    """Note that a target's ends are durable, so that it may forget them."""
    contact = lead.lease_states.get(ends.instance)
    if contact:
        contact.noted = max(contact.noted, ends.position)


def on_renewal_reply(
    lead: CellLeader,
    target: TargetState,
    holding: RenewalReply,
    sent: float,
) -> None:
    """Take a target's lists, asked for at ``sent`` (s)."""
    contact = lead.lease_states[target.key]
    if holding.born != target.instance.born:
        end_life(lead, target, 'another life answered')
        return
    regained = contact.failures or not contact.reached
    contact.failures = 0
    contact.reached = True
    note_clock(contact, lead.now, holding.clock)
    if regained:
        lead.changed = True
        lead.log_event(
            'target reached', target=target.key, runs=len(target.runs)
        )
    ended = _take_ends(lead, target, holding.ended)
    active = _take_active(lead, target, holding.active, sent)
    for key, run in list(target.runs.items()):
        if key not in active and (key, run.number) not in ended:
            _resolve(lead, run, holding.clock, sent)


def _take_ends(
    lead: CellLeader,
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
            finish(lead, run, RunEnd(end.how), end.checkpoint, 'listed')
        last = max(last, end.position)
    if last > target.position:
        lead.record(EndsAcknowledged(target.key, last))
    lead.send_message(LOCAL_PROCESS, EndsCommitted(target.key, last))
    return seen


def _take_active(
    lead: CellLeader,
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
            lead.send_message(LOCAL_PROCESS, StopOrder(stray))
            continue
        seen.add(key)
        _note_progress(lead, run, row)
    return seen


def _note_progress(lead: CellLeader, run: Run, row: ActiveRun) -> None:
    ordered = lead.orders.get((run.step, run.index))
    if ordered is None:
        ordered = Ordered(run, lead.now)
        ordered.answered = lead.now
        lead.orders[run.step, run.index] = ordered
    state = step_of(lead.cell, run.step)
    if row.checkpoint and state:
        state.checkpoint[run.index] = row.checkpoint


def _resolve(lead: CellLeader, run: Run, clock: int, sent: float) -> None:
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


def on_renewal_failure(lead: CellLeader, target: TargetState) -> None:
    """Note a renewal that brought no answer."""
    contact = lead.lease_states[target.key]
    contact.failures += 1
    if contact.failures == 1:
        lead.log_event(
            'target silent', target=target.key, runs=len(target.runs)
        )
