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
from daisygw.cell._state import TargetState
from daisygw.cell._targets import end_instance, lose_runs
from daisygw.cell._waits import report_long_waits
from daisygw.machines import LeaseState, granted_expiry

# Interval of placement passes without any change: tickets expire, targets
# leave quarantine and occurrences become due.
SCAN_INTERVAL_S = 0.1
# A target instance whose lease has expired is removed this long after its last
# answer, or after it became known if it never answered.
REMOVAL_DELAY_S = 20.0


def advance_clock(lead: CellLeader, now: float, wall: float) -> None:
    """Repeat due orders; end runs and instances whose lease has expired."""
    lead.now = now
    lead.wall = wall
    if now >= lead.scan_due:
        lead.scan_due = now + SCAN_INTERVAL_S
        lead.changed = True
        enqueue_due(lead)
        report_long_waits(lead)
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
    if target.runs:
        _log_expired_lease(lead, target, lease_state)
    lose_runs(lead, target, 'lease expired')
    if (
        lead.now - max(lease_state.last_answer_at, lease_state.known_since)
        > REMOVAL_DELAY_S
    ):
        end_instance(lead, target, 'unreachable for too long')


def _log_expired_lease(
    lead: CellLeader, target: TargetState, lease_state: LeaseState
) -> None:
    """Log which lease was the last to end, and how long ago (s)."""
    lead.log_event(
        'lease expired',
        target=target.key,
        runs=len(target.runs),
        silent_s=round(lead.now - lease_state.last_answer_at, 3)
        if lease_state.has_answered
        else None,
        granted_s=round(lead.now - granted_expiry(lease_state), 3)
        if lease_state.granted_until
        else None,
        inherited_s=round(lead.now - lease_state.inherited_until, 3),
    )
