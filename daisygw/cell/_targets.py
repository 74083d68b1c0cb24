"""Target instances: their reports and removal, and the ends of their runs.

A run releases its capacity when its target lists its end, when it is certain
that it never starts, or when its target's lease has certainly expired.
"""

from collections.abc import Iterable

from daisygw.cell._confirmations import confirm_start
from daisygw.cell._fences import next_generation
from daisygw.cell._leader import (
    LOCAL_PROCESS,
    CellLeader,
    Probe,
    clean_up_job,
    enqueue_job,
    request_gang_stop,
)
from daisygw.cell._state import (
    MAYBE_UNSTARTED,
    CellJob,
    Run,
    StepState,
    TargetState,
    step_of,
)
from daisygw.cell._statistics import record_result
from daisygw.cell._trust import record_return, restart_probation
from daisygw.contracts import (
    CellResponse,
    ContractError,
    InstanceClosed,
    InstanceEnded,
    ResultCode,
    RunEnd,
    RunFinished,
)
from daisygw.machines import (
    InstanceListed,
    LeaseState,
    TargetInstance,
    TargetReport,
    agrees,
    instance_key,
)

# A target that took no start, as it has no room, is unhealthy or leaves orders
# unanswered, gets no new work for this time.
UNAVAILABLE_S = 1.0
# A target that shuts down ends what it runs within this time.
SHUTDOWN_S = 1.0
# A report of shutdown is for an instance that has been known for this time, as
# one of the instance before arrives earlier: calls take up to 12 s.
MAX_REPORT_DELAY_S = 15.0


def on_target_report(
    lead: CellLeader, report: TargetReport, entry: str
) -> None:
    """Apply a target's status report; acknowledge it once committed."""
    if report.left:
        _record_shutdown(lead, report)
    elif report.instance is not None:
        _register_instance(lead, report)
    lead.answer(entry, CellResponse(report.seq, ResultCode.ACCEPTED))


def _record_shutdown(lead: CellLeader, report: TargetReport) -> None:
    """Expect no answers of a draining target that shuts down.

    The report names no instance, and may come late from the one before.
    """
    for target in lead.cell.targets.values():
        if target.instance.name == report.name and not target.open:
            lease_state = lead.lease_states[target.key]
            known_s = lead.now - lease_state.known_since
            lead.log_event(
                'target leaves', target=target.key, known_s=round(known_s, 3)
            )
            if known_s >= MAX_REPORT_DELAY_S:
                lease_state.expires_at = min(
                    lease_state.expires_at, lead.now + SHUTDOWN_S
                )


def _register_instance(lead: CellLeader, report: TargetReport) -> None:
    """List a reported instance that is not known, and close a draining one.

    Raises ``ContractError`` for a report that names no target to use.
    """
    instance = report.instance
    target = lead.cell.targets.get(instance_key(instance))
    if target and not agrees(target.instance, instance):
        _withdraw_unproven(lead, target, instance)
        target = None
    if target is None:
        if _is_superseded(lead, instance):
            return
        target = _list_instance(lead, instance)
    if report.draining and target.open:
        lead.record(InstanceClosed(target.key))
        lead.log_event(
            'target drains', target=target.key, runs=len(target.runs)
        )


def _withdraw_unproven(
    lead: CellLeader, target: TargetState, instance: TargetInstance
) -> None:
    """Remove an instance that is reported as ``instance`` now.

    Raises ``ContractError`` where the first report has proved right, or where
    runs depend on it.
    """
    if target.runs or lead.lease_states[target.key].has_answered:
        reason = f'{target.key}: known with another service or address'
        raise ContractError(ResultCode.OTHER_REPORT, reason)
    _check_service(lead, instance)
    end_instance(lead, target, 'reported differently')


def _check_service(lead: CellLeader, instance: TargetInstance) -> None:
    cfg = lead.cell.cfg
    if cfg and instance.service not in cfg.services:
        reason = f'{instance.name}: no service {instance.service!r}'
        raise ContractError(ResultCode.UNKNOWN_SERVICE, reason)


def same_target(
    lead: CellLeader, instance: TargetInstance
) -> list[TargetState]:
    """Return the other instances with the same name or address."""
    return [
        other
        for other in lead.cell.targets.values()
        if instance_key(instance) != other.key
        and (
            other.instance.name == instance.name
            or other.instance.address == instance.address
        )
    ]


def _is_superseded(lead: CellLeader, instance: TargetInstance) -> bool:
    """Tell whether a later instance of the same target has answered."""
    return any(
        other.instance.born > instance.born
        and lead.lease_states[other.key].has_answered
        for other in same_target(lead, instance)
    )


def _list_instance(lead: CellLeader, instance: TargetInstance) -> TargetState:
    """List an instance, and ask at its address whether it is there.

    A report alone ends no other instance: its writer may be wrong.  All with
    the same name or address get no starts until one of them has answered.
    """
    _check_service(lead, instance)
    key = instance_key(instance)
    others = same_target(lead, instance)
    lead.record(InstanceListed(instance))
    generation = next_generation(lead)
    lead.lease_states[key] = LeaseState(lead.now, lead.now, generation)
    restart_probation(lead, instance.name)
    lead.log_event(
        'target up', target=key, domain=instance.domain, disputes=len(others)
    )
    target = lead.cell.targets[key]
    if others:
        dispute(lead, (*others, target), generation)
    else:
        lead.send_message(LOCAL_PROCESS, Probe(key))
    return target


def dispute(
    lead: CellLeader, instances: Iterable[TargetState], generation: int
) -> None:
    """Ask instances whether they are there, with calls of a new generation.

    Calls of a disputed instance do no harm to another one: they neither grant
    a lease, nor start or acknowledge anything.
    """
    for one in instances:
        lease_state = lead.lease_states[one.key]
        lease_state.disputed_at = lead.now
        lease_state.generation = generation
        lead.send_message(LOCAL_PROCESS, Probe(one.key))


def end_instance(lead: CellLeader, target: TargetState, why: str) -> None:
    """Remove a target instance and end its runs as lost."""
    lose_runs(lead, target, why)
    lead.record(InstanceEnded(target.key))
    lead.lease_states.pop(target.key, None)
    lead.relative_speed.pop(target.key, None)
    lead.failed_jobs.pop(target.key, None)
    if target.open:
        record_return(lead, target.instance.name)
    lead.log_event('target gone', target=target.key, why=why)


def defer_work(lead: CellLeader, key: str) -> None:
    """Give a target that took no start no new work for a while."""
    lease_state = lead.lease_states.get(key)
    if lease_state:
        lease_state.unavailable_until = lead.now + UNAVAILABLE_S


def lose_runs(lead: CellLeader, target: TargetState, why: str) -> None:
    """End all runs of a target as lost."""
    for run in list(target.runs.values()):
        finish(lead, run, RunEnd.LOST, why=why)


def finish(
    lead: CellLeader,
    run: Run,
    how: RunEnd,
    checkpoint: str = '',
    why: str = '',
) -> None:
    """Record the end of a run, and continue or end its job."""
    state = step_of(lead.cell, run.step)
    job = lead.cell.jobs.get(run.step.job)
    outstanding = lead.orders.pop((run.step, run.index), None)
    was_over = job is None or job.over
    if checkpoint and state and state.step.gang:
        _share_checkpoint(lead, state, checkpoint)
    elif outstanding:
        checkpoint = checkpoint or outstanding.checkpoint
    if how not in MAYBE_UNSTARTED:
        confirm_start(lead, run)
    lead.record(RunFinished(run.step, run.index, run.number, how, checkpoint))
    lead.log_event(
        'run over',
        id=run.step.job,
        step=run.step.step,
        index=run.index,
        run=run.number,
        target=run.instance,
        how=how,
        why=why,
    )
    if state is None or job is None or was_over:
        return
    if how in {RunEnd.DONE, RunEnd.FAILED}:
        record_result(lead, run, how, outstanding)
    if job.over:
        clean_up_job(lead, job)
        return
    _continue_job(lead, job, state, run, how)


def _share_checkpoint(
    lead: CellLeader, state: StepState, checkpoint: str
) -> None:
    """Use the checkpoint of a gang's ended member for the others too."""
    for run in state.runs.values():
        outstanding = lead.orders.get((run.step, run.index))
        if outstanding:
            outstanding.checkpoint = checkpoint


def _continue_job(
    lead: CellLeader,
    job: CellJob,
    state: StepState,
    run: Run,
    how: RunEnd,
) -> None:
    if state.step.gang and how is not RunEnd.DONE:
        request_gang_stop(lead, state)
    if state.complete:
        lead.waiting.pop(state.key, None)
        lead.approvals.pop(state.key, None)
    enqueue_job(lead, job)
    waiting = lead.waiting.get(state.key)
    if waiting and how is RunEnd.FAILED:
        waiting.avoid.setdefault(run.index, set()).add(run.instance)
