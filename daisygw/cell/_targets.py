"""Lives of targets: reports, their end, and the ends of their runs.

A run gives its room back by its listed end, by proof that it never starts,
or when its target's clock has surely passed the latest time it was given.
"""

from daisygw.cell._lead import (
    CellLeader,
    enqueue_job,
    job_over,
    want_stop,
)
from daisygw.cell._learning import learn
from daisygw.cell._state import JobRecord, Run, StepState, TargetState, step_of
from daisygw.contracts import (
    CellResponse,
    InstanceClosed,
    InstanceEnded,
    ResultCode,
    RunEnd,
    RunFinished,
)
from daisygw.machines import (
    Contact,
    InstanceListed,
    TargetReport,
    instance_key,
)


def on_report(lead: CellLeader, report: TargetReport, entry: str) -> None:
    """Take a target's report on itself; acknowledge it once committed."""
    if report.left:
        _note_leaving(lead, report)
    elif report.instance is not None:
        _note_life(lead, report)
    lead.answer(entry, CellResponse(report.seq, ResultCode.ACCEPTED))


def _note_leaving(lead: CellLeader, report: TargetReport) -> None:
    for target in lead.cell.targets.values():
        if target.instance.name == report.name and not target.open:
            lead.log_event('target leaves', target=target.key)
            contact = lead.lease_states[target.key]
            contact.over_at = min(contact.over_at, lead.now + 1)


def _note_life(lead: CellLeader, report: TargetReport) -> None:
    instance = report.instance
    key = instance_key(instance)
    same = [
        one
        for one in lead.cell.targets.values()
        if one.instance.name == instance.name
        or one.instance.address == instance.address
    ]
    if any(one.instance.born > instance.born for one in same):
        return
    for older in same:
        if older.key != key:
            end_life(lead, older, 'replaced')
    if key not in lead.cell.targets:
        lead.record(InstanceListed(instance))
        lead.lease_states[key] = Contact(lead.now, lead.now)
        lead.log_event('target up', target=key, domain=instance.domain)
    target = lead.cell.targets[key]
    if report.draining and target.open:
        lead.record(InstanceClosed(key))
        lead.log_event('target drains', target=key, runs=len(target.runs))


def end_life(lead: CellLeader, target: TargetState, why: str) -> None:
    """Take a life as over: what ran there is lost."""
    lose_runs(lead, target, why)
    lead.record(InstanceEnded(target.key))
    lead.lease_states.pop(target.key, None)
    lead.relative_speed.pop(target.key, None)
    lead.suspects.pop(target.key, None)
    lead.log_event('target gone', target=target.key, why=why)


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
    """End a run in the log, and see what follows for its job."""
    state = step_of(lead.cell, run.step)
    job = lead.cell.jobs.get(run.step.job)
    ordered = lead.orders.pop((run.step, run.index), None)
    was_over = job is None or job.over
    if not checkpoint and state:
        checkpoint = state.checkpoint.get(run.index, '')
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
        learn(lead, run, how, ordered)
    if job.over:
        job_over(lead, job)
        return
    _follow(lead, job, state, run, how)


def _follow(
    lead: CellLeader,
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
        waiting.avoid.setdefault(run.index, set()).add(run.instance)
