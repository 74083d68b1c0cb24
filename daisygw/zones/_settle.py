"""What follows from the end of an attempt: an outcome, or another try."""

from daisygw.contracts import (
    CodeClass,
    Job,
    Kind,
    ResultCode,
    Task,
    TaskKey,
    TaskReport,
    TaskRequeued,
    TaskState,
    code_class,
)
from daisygw.machines import TargetQuarantined
from daisygw.zones._leader import DomainLeader, Observation, record
from daisygw.zones._queue import end_task, wait
from daisygw.zones._speed import note_run

# Retries beside the share of all starts: a new cell has started nothing.
_FREE_RETRIES = 10
# How long a target that could not be reached gets nothing, s: one
# announcement.
_AVOIDED_S = 1.0


def settle(
    lead: DomainLeader,
    key: TaskKey,
    attempt: int,
    code: int,
    run: int = 0,
) -> None:
    """Close an attempt with ``code``; a late or doubled end is dropped."""
    job = lead.replicated.job_registry.jobs.get(key.job)
    if job is None or not 0 <= key.index < len(job.tasks):
        return
    task = job.tasks[key.index]
    if task.state is not TaskState.LEASED or task.attempt != attempt:
        return
    lead.orders.pop(key, None)
    _forget_long(lead, key)
    _note_target(lead, key, task, code)
    if code == ResultCode.ANSWERED:
        note_run(lead, task.target, job.contract, run)
    if _ends(lead, job, task, code):
        end_task(lead, job, key.index, _final_code(job, task, code), run)
        return
    fault = code_class(code) is not CodeClass.NOT_RUN
    fault = fault and code != ResultCode.PREEMPTED
    requeued = TaskRequeued(
        key.job,
        key.index,
        attempt,
        code,
        lead.wall,
        fault,
    )
    record(lead, requeued)
    wait(lead, job, [key.index])


def _forget_long(lead: DomainLeader, key: TaskKey) -> None:
    if key in lead.long_tasks:
        lead.long_tasks.discard(key)
        lead.long_slots -= 1


def _ends(lead: DomainLeader, job: Job, task: Task, code: int) -> bool:
    kind = code_class(code)
    if kind is CodeClass.NOT_RUN or code == ResultCode.PREEMPTED:
        return False
    if code not in {ResultCode.TASK_FAILED, ResultCode.WORKER_LOST}:
        return True
    if not job.contract.repeatable:
        return True
    if job.contract.kind is Kind.SERVICE:
        return False
    return len(
        task.failed_on
    ) + 1 >= lead.policy.retries or not _has_retry_budget(lead)


def _has_retry_budget(lead: DomainLeader) -> bool:
    job_registry = lead.replicated.job_registry
    budget = job_registry.started * lead.policy.retry_share + _FREE_RETRIES
    return job_registry.retried < budget


def _final_code(job: Job, task: Task, code: int) -> int:
    tried = {*task.failed_on, task.target}
    if code == ResultCode.TASK_FAILED and len(tried) > 1:
        return ResultCode.FAILED_EVERYWHERE
    return code


def _note_target(
    lead: DomainLeader,
    key: TaskKey,
    task: Task,
    code: int,
) -> None:
    observation = lead.observations.get(task.target)
    if observation is None:
        return
    if code == ResultCode.ANSWERED:
        observation.failures.clear()
    elif code == ResultCode.TASK_FAILED:
        observation.failures.add(f'{key.job}/{key.index}')
        _judge(lead, task.target, observation)


def _judge(lead: DomainLeader, name: str, observation: Observation) -> None:
    """Set a target aside once enough distinct tasks have failed there."""
    worker = lead.replicated.workers.by_name.get(name)
    few = len(observation.failures) < lead.policy.aside_failures
    if worker is None or worker.aside or few:
        return
    record(lead, TargetQuarantined(name, aside=True))
    observation.probe_due = lead.now + lead.policy.probe_every


def _avoid(lead: DomainLeader, report: TaskReport) -> None:
    """Place nothing for a moment where an order could not be delivered."""
    job = lead.replicated.job_registry.jobs[report.key.job]
    target = job.tasks[report.key.index].target
    observation = lead.observations.get(target)
    if observation:
        observation.avoided_at = lead.now + _AVOIDED_S
        lead.replicated.workers.touched.add(target)


def on_report(lead: DomainLeader, report: TaskReport, entry: str) -> None:
    """Take what an entry saw of an attempt.

    That an order never left is believed only of the one entry that had it.
    """
    if code_class(report.code) is not CodeClass.NOT_RUN:
        settle(lead, report.key, report.attempt, report.code, report.run)
        return
    ordered = lead.orders.get(report.key)
    if ordered is None or ordered.attempt != report.attempt:
        return
    if lead.holders.get(report.key.job):
        _avoid(lead, report)
    if ordered.entries == {entry} and not ordered.inherited:
        settle(lead, report.key, report.attempt, report.code)
