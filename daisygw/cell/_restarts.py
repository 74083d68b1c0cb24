"""Instances that replace others of the same target, and the runs of these.

A restarted target takes calls for the instance before until a call of a new
generation reaches it.  So the runs of that instance are lost only once such a
call has been answered by the next one, which may list some of them.  From then
on it starts no others; an instance that follows it may.
"""

from daisygw.cell._confirmations import confirm_start
from daisygw.cell._fences import next_generation
from daisygw.cell._leader import CellLeader, OutstandingOrder
from daisygw.cell._state import Run, TargetState
from daisygw.cell._targets import (
    dispute,
    end_instance,
    finish,
    same_target,
)
from daisygw.contracts import RunEnd, RunsPlaced, StepKey
from daisygw.machines import (
    OTHER_TARGET,
    ActiveRun,
    EndedRun,
    RenewalReply,
    assume_longest_lease,
    is_disputed,
    record_clock,
)


def settle_dispute(
    lead: CellLeader, target: TargetState, reply: RenewalReply, sent: float
) -> None:
    """Use a disputed instance that answered a renewal sent at ``sent`` (s).

    Earlier instances with its name or address are gone.  It takes over those
    of their runs that it lists.
    """
    if not _settles(lead, target, sent):
        return
    lead.lease_states[target.key].disputed_at = float('-inf')
    for other in same_target(lead, target.instance):
        if other.instance.born < target.instance.born:
            _adopt_runs(lead, other, target, reply)
            end_instance(lead, other, 'replaced')


def _settles(lead: CellLeader, target: TargetState, sent: float) -> bool:
    """Tell whether a call sent at ``sent`` (s) is later than a dispute."""
    lease_state = lead.lease_states[target.key]
    return is_disputed(lease_state) and sent > lease_state.disputed_at


def on_other_instance(
    lead: CellLeader, target: TargetState, reply: RenewalReply, sent: float
) -> None:
    """Handle the reply of another instance than the one that was asked.

    The latter is gone, but the other one may still carry out its starts until
    it has seen a new generation.
    """
    if reply == OTHER_TARGET:
        end_instance(lead, target, 'another target answered')
    elif _settles(lead, target, sent):
        _apply_lists(lead, target, reply)
    elif not is_disputed(lead.lease_states[target.key]):
        lead.log_event(
            'target restarted',
            target=target.key,
            born=reply.born,
            runs=len(target.runs),
        )
        _follow_lease(lead, target, reply)
        dispute(lead, (target,), next_generation(lead))


def _apply_lists(
    lead: CellLeader, target: TargetState, reply: RenewalReply
) -> None:
    """End the runs of an instance by the lists of the one that follows it.

    Those at work there keep their capacity until they end, or until the other
    instance is known and takes them over.
    """
    active = {_row_key(row) for row in reply.active}
    ended = {_row_key(row): row for row in reply.ended}
    for run in list(target.runs.values()):
        key = (run.step, run.index, run.number)
        end = ended.get(key)
        if end:
            finish(lead, run, RunEnd(end.how), end.checkpoint, 'listed')
        elif key in active:
            confirm_start(lead, run)
        elif not reply.more_ended:
            finish(lead, run, RunEnd.LOST, why='another instance answered')
    if not target.runs:
        end_instance(lead, target, 'another instance answered')
        return
    _follow_lease(lead, target, reply)


def _follow_lease(
    lead: CellLeader, target: TargetState, reply: RenewalReply
) -> None:
    """Count the lease of the instance that answered, which may run the runs."""
    lease_state = lead.lease_states[target.key]
    assume_longest_lease(lease_state, reply.clock, lead.longest_lease)
    record_clock(lease_state, lead.now, reply.clock)


def _row_key(row: ActiveRun | EndedRun) -> tuple[StepKey, int, int]:
    return (row.step, row.index, row.number)


def _adopt_runs(
    lead: CellLeader,
    former: TargetState,
    target: TargetState,
    reply: RenewalReply,
) -> None:
    """Move the runs of a former instance that the next one lists to it."""
    listed = {_row_key(row) for row in (*reply.active, *reply.ended)}
    adopted = [
        run
        for run in former.runs.values()
        if reply.more_ended or (run.step, run.index, run.number) in listed
    ]
    for run in adopted:
        row = (run.index, run.number, target.key)
        lead.record(RunsPlaced(run.step, (row,)))
        _move_order(lead, run, target.key)
    if adopted:
        lead.log_event(
            'runs adopted',
            target=target.key,
            former=former.key,
            runs=len(adopted),
        )


def _move_order(lead: CellLeader, run: Run, key: str) -> None:
    """Replace the orders of a run by those of its adopted successor.

    No copy of its start can arrive any more, so it is lost if it is unlisted.
    """
    earlier = lead.orders.get((run.step, run.index))
    moved = Run(run.step, run.index, run.number, key)
    order = OutstandingOrder(moved, lead.now)
    order.answered = lead.elected
    if earlier:
        order.checkpoint = earlier.checkpoint
        order.stop_due = earlier.stop_due
    lead.orders[run.step, run.index] = order
