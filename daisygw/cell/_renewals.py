"""Lease renewals: what they request, and how a target's lists are applied."""

from dataclasses import dataclass

from daisygw.cell._confirmations import confirm_start
from daisygw.cell._leader import (
    LOCAL_PROCESS,
    CellLeader,
    EndsCommitted,
    OutstandingOrder,
    StopOrder,
    lease_for,
)
from daisygw.cell._restarts import on_other_instance, settle_dispute
from daisygw.cell._state import Run, TargetState
from daisygw.cell._statistics import record_progress
from daisygw.cell._targets import defer_work, finish
from daisygw.cell._trust import is_long_silence, record_return
from daisygw.contracts import (
    EndsAcknowledged,
    RunEnd,
)
from daisygw.machines import (
    ActiveRun,
    EndedRun,
    RenewalReply,
    assume_longest_lease,
    grant_lease,
    is_disputed,
    is_responsive,
    record_clock,
)

# Longest time that a renewal asks the target to wait for an end: a quarter of
# the shortest lease.
RENEWAL_WAIT_S = 1.0
# A target refuses a copy of a start that arrives later than this, so that a
# run that it does not list by then never starts.  Several copies are sent in
# this time; the lease of what has started comes from renewals.
START_VALIDITY_S = 2.0


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """A request that extends a target's lease and reads its lists of runs.

    ``noted`` is the acknowledged position: ends up to it are durable.
    ``deadline`` is the end of the lease on the target's clock (ms; none: not
    extended); ``wait`` (s) is how long the target may wait for an end.
    """

    noted: int
    deadline: int | None
    wait: float


def next_renewal(lead: CellLeader, target: TargetState) -> LeaseRenewal:
    """Return a target's next renewal.

    It extends the lease and acknowledges ends only if the target responds:
    another instance, which numbers its ends from 1 again, may have followed.
    """
    lease_state = lead.lease_states[target.key]
    if not is_responsive(lease_state):
        return LeaseRenewal(0, None, 0)
    deadline = grant_lease(lease_state, lead.now, lease_for(lead, target))
    return LeaseRenewal(lease_state.noted, deadline, RENEWAL_WAIT_S)


def start_deadline(lead: CellLeader, run: Run) -> int | None:
    """Return the deadline of a start (ms), or none if it must not be sent.

    It is on the target's clock.  A repeated start carries the deadline of the
    first copy, so that no copy outlives it.
    """
    outstanding = lead.orders.get((run.step, run.index))
    lease_state = lead.lease_states.get(run.instance)
    if outstanding is None or outstanding.run != run or lease_state is None:
        return None
    if is_disputed(lease_state):
        return None
    outstanding.start_due = float('inf')
    if not outstanding.deadline:
        lease = lease_for(lead, lead.cell.targets[run.instance])
        lease = min(lease, START_VALIDITY_S)
        outstanding.deadline = grant_lease(lease_state, lead.now, lease)
        outstanding.valid_until = lead.now + lease
    if lead.now > outstanding.valid_until:
        # Only another instance would still start the run.
        return None
    outstanding.last_sent = lead.now
    return outstanding.deadline


def acknowledge_ends(lead: CellLeader, ends: EndsCommitted) -> None:
    """Advance a target's acknowledged position, so that it can drop ends."""
    lease_state = lead.lease_states.get(ends.instance)
    if lease_state:
        lease_state.noted = max(lease_state.noted, ends.position)


def on_renewal_reply(
    lead: CellLeader,
    target: TargetState,
    reply: RenewalReply,
    sent: float,
) -> None:
    """Apply a target's reply to the renewal that was sent at ``sent`` (s)."""
    lease_state = lead.lease_states[target.key]
    if reply.born != target.instance.born:
        on_other_instance(lead, target, reply, sent)
        return
    settle_dispute(lead, target, reply, sent)
    if is_disputed(lease_state):
        # Its lists have runs of an instance before that are not adopted yet.
        return
    regained = lease_state.failures or not lease_state.has_answered
    if not lease_state.has_answered:
        assume_longest_lease(lease_state, reply.clock, lead.longest_lease)
    if is_long_silence(lead, lease_state):
        record_return(lead, target.instance.name)
    lease_state.failures = 0
    lease_state.has_answered = True
    record_clock(lease_state, lead.now, reply.clock)
    if regained:
        lead.changed = True
        lead.log_event(
            'target reached',
            target=target.key,
            runs=len(target.runs),
            active=len(reply.active),
            ended=len(reply.ended),
            first_end=reply.ended[0].position if reply.ended else None,
            clock_ms=reply.clock,
        )
    ended = _apply_ends(lead, target, reply.ended)
    active = _apply_active(lead, target, reply.active, sent)
    unlisted = [
        run
        for key, run in target.runs.items()
        if key not in active and (key, run.number) not in ended
    ]
    if reply.more_ended:
        # The missing runs may be on a later page of ended runs.
        lead.log_event(
            'ends continue',
            target=target.key,
            ended=len(reply.ended),
            unlisted=len(unlisted),
        )
        return
    _resolve_all_unlisted(lead, target, unlisted, reply, sent)


def _resolve_all_unlisted(
    lead: CellLeader,
    target: TargetState,
    unlisted: list[Run],
    reply: RenewalReply,
    sent: float,
) -> None:
    """Handle the runs that are in neither list of a complete reply."""
    lost = sum(
        _resolve_unlisted(lead, run, reply.clock, sent) for run in unlisted
    )
    if lost:
        lead.log_event(
            'runs unlisted',
            target=target.key,
            runs=lost,
            active=len(reply.active),
            ended=len(reply.ended),
        )


def _apply_ends(
    lead: CellLeader,
    target: TargetState,
    ends: tuple[EndedRun, ...],
) -> set[tuple]:
    ended = set()
    last = target.position
    for end in ends:
        key = (end.step, end.index)
        run = target.runs.get(key)
        if end.position > target.position and run and run.number == end.number:
            ended.add((key, end.number))
            finish(lead, run, RunEnd(end.how), end.checkpoint, 'listed')
        elif end.position > target.position:
            _log_late_end(lead, target, end)
        last = max(last, end.position)
    if last > target.position:
        lead.record(EndsAcknowledged(target.key, last))
    lead.send_message(LOCAL_PROCESS, EndsCommitted(target.key, last))
    return ended


def _log_late_end(lead: CellLeader, target: TargetState, end: EndedRun) -> None:
    """Log an end of a run that has been given up, or was never ordered."""
    lead.log_event(
        'late end',
        id=end.step.job,
        step=end.step.step,
        index=end.index,
        run=end.number,
        target=target.key,
        how=end.how,
    )


def _apply_active(
    lead: CellLeader,
    target: TargetState,
    active: tuple[ActiveRun, ...],
    sent: float,
) -> set[tuple]:
    listed = set()
    for row in active:
        key = (row.step, row.index)
        run = target.runs.get(key)
        if run is None or run.number != row.number:
            stray = Run(row.step, row.index, row.number, target.key)
            lead.log_event(
                'stray run',
                id=row.step.job,
                step=row.step.step,
                index=row.index,
                run=row.number,
                target=target.key,
            )
            lead.send_message(LOCAL_PROCESS, StopOrder(stray))
            # No run here holds the capacity that it uses until it has stopped.
            defer_work(lead, target.key)
            continue
        listed.add(key)
        _record_listed(lead, run, row)
        record_progress(lead, run, row.percent)
    return listed


def _record_listed(lead: CellLeader, run: Run, row: ActiveRun) -> None:
    outstanding = lead.orders.get((run.step, run.index))
    if outstanding is None:
        outstanding = OutstandingOrder(run, lead.now)
        outstanding.answered = lead.now
        lead.orders[run.step, run.index] = outstanding
    outstanding.listed = True
    confirm_start(lead, run)
    outstanding.checkpoint = row.checkpoint or outstanding.checkpoint


def _resolve_unlisted(
    lead: CellLeader, run: Run, clock: int, sent: float
) -> bool:
    """End a run that its target does not list, once it can no longer run.

    Returns whether the run had started, so that it is lost.
    """
    outstanding = lead.orders.get((run.step, run.index))
    if outstanding is None:
        finish(lead, run, RunEnd.REFUSED, why='never started')
    elif outstanding.answered < sent:
        finish(lead, run, RunEnd.LOST, why='no longer listed')
        return True
    elif outstanding.stop_confirmed_at < sent:
        finish(lead, run, RunEnd.REFUSED, why='stopped before it started')
    elif 0 < outstanding.deadline < clock:
        defer_work(lead, run.instance)
        finish(lead, run, RunEnd.REFUSED, why='start deadline passed')
    return False


def on_renewal_failure(lead: CellLeader, target: TargetState) -> None:
    """Count a renewal that was not answered."""
    lease_state = lead.lease_states[target.key]
    lease_state.failures += 1
    if lease_state.failures == 1:
        lead.log_event(
            'target silent', target=target.key, runs=len(target.runs)
        )
