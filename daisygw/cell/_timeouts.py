"""Timeouts: orders to repeat, due steps and targets whose lease expired."""

from daisygw.cell._leader import (
    LOCAL_PROCESS,
    START_SEND_TIMEOUT_S,
    CellLeader,
    StopOrder,
    enqueue_due,
    inherited_leases_end,
)
from daisygw.cell._starts import STOP_RETRY_S
from daisygw.cell._state import Run, TargetState
from daisygw.cell._targets import end_instance, finish
from daisygw.cell._waits import report_long_waits
from daisygw.contracts import RunEnd
from daisygw.machines import LeaseState, granted_expiry, lease_bound

# Interval of placement passes without any change: tickets expire, targets
# leave quarantine and occurrences become due.
SCAN_INTERVAL_S = 0.1
# A target instance whose lease has expired is removed this long after its last
# answer, or after it became known if it never answered.
REMOVAL_DELAY_S = 20.0
# A start that is not answered within 0.2 s is given up by its sender; one that
# is carried out seconds later is not covered.
START_DELIVERY_S = 0.5


def advance_clock(lead: CellLeader, now: float, wall: float) -> None:
    """Repeat due orders; end runs and instances whose lease has expired."""
    lead.now = now
    lead.wall = wall
    if now >= lead.scan_due:
        lead.scan_due = now + SCAN_INTERVAL_S
        lead.changed = True
        enqueue_due(lead)
        report_long_waits(lead)
    if now >= lead.notes.starts_due:
        lead.record_starts()
    for outstanding in list(lead.orders.values()):
        if now >= outstanding.stop_due:
            outstanding.stop_due = now + STOP_RETRY_S
            lead.send_message(LOCAL_PROCESS, StopOrder(outstanding.run))
        elif now >= outstanding.start_due:
            outstanding.start_due = now + START_SEND_TIMEOUT_S
            lead.send_message(LOCAL_PROCESS, outstanding.start)
    for target in list(lead.cell.targets.values()):
        _check_lease(lead, target)


def _check_lease(lead: CellLeader, target: TargetState) -> None:
    lease_state = lead.lease_states.get(target.key)
    if lease_state is None:
        lease_state = LeaseState(lead.now, inherited_leases_end(lead))
        lead.lease_states[target.key] = lease_state
    unreachable = lease_state.failures > 0 or not lease_state.has_answered
    if not unreachable or lead.now < lease_state.expires_at:
        return
    expired = [
        run
        for run in target.runs.values()
        if lead.now >= _unlisted_until(lead, run)
    ]
    if expired:
        _log_expired_lease(lead, target, lease_state, len(expired))
    for run in expired:
        finish(lead, run, RunEnd.LOST, why='lease expired')
    silent_since = max(lease_state.last_answer_at, lease_state.known_since)
    if not target.runs and lead.now - silent_since > REMOVAL_DELAY_S:
        end_instance(lead, target, 'unreachable for too long')


def _unlisted_until(lead: CellLeader, run: Run) -> float:
    """Return until when (s) a run may be at work on an unknown instance.

    An answer to a start names no instance.  The target may have restarted and
    begun the run, under the longest lease, if no list has shown it.
    """
    outstanding = lead.orders.get((run.step, run.index))
    if outstanding is None or outstanding.listed:
        return float('-inf')
    return (
        outstanding.last_sent
        + START_DELIVERY_S
        + lease_bound(lead.longest_lease)
    )


def _log_expired_lease(
    lead: CellLeader, target: TargetState, lease_state: LeaseState, runs: int
) -> None:
    """Log which lease was the last to end, and how long ago (s)."""
    lead.log_event(
        'lease expired',
        target=target.key,
        runs=runs,
        silent_s=round(lead.now - lease_state.last_answer_at, 3)
        if lease_state.has_answered
        else None,
        granted_s=round(lead.now - granted_expiry(lease_state), 3)
        if lease_state.granted_until
        else None,
        inherited_s=round(lead.now - lease_state.inherited_until, 3),
    )
