"""The end of an attempt: the task gets its outcome or is queued again."""

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
from daisygw.zones._speed import record_run_time

# Retries allowed beyond ``policy.retry_share`` of all starts, so that a new
# cell, which has started next to nothing, can retry too.
_FREE_RETRIES = 10
# A target that an order did not reach is given no tasks for this long: the
# time between two announcements.
_AVOIDED_S = 1.0


def close_attempt(
    lead: DomainLeader,
    key: TaskKey,
    attempt: int,
    code: int,
    run: int = 0,
) -> None:
    """Close an attempt with ``code``; ``run`` is its run time (ms).

    A late or duplicate report, for an attempt that is not the current one,
    is ignored.
    """
    job = lead.replicated.job_registry.jobs.get(key.job)
    if job is None or not 0 <= key.index < len(job.tasks):
        return
    task = job.tasks[key.index]
    if task.state is not TaskState.LEASED or task.attempt != attempt:
        return
    lead.orders.pop(key, None)
    _release_long_slot(lead, key)
    _record_target_result(lead, key, task, code)
    if code == ResultCode.ANSWERED:
        record_run_time(lead, task.target, job.contract, run)
    if _is_final(lead, job, task, code):
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


def _release_long_slot(lead: DomainLeader, key: TaskKey) -> None:
    if key in lead.long_tasks:
        lead.long_tasks.discard(key)
        lead.long_slots -= 1


def _is_final(lead: DomainLeader, job: Job, task: Task, code: int) -> bool:
    result_class = code_class(code)
    if result_class is CodeClass.NOT_RUN or code == ResultCode.PREEMPTED:
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


def _record_target_result(
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
        _quarantine_if_failing(lead, task.target, observation)


def _quarantine_if_failing(
    lead: DomainLeader, name: str, observation: Observation
) -> None:
    """Quarantine a target once enough distinct tasks have failed there."""
    worker = lead.replicated.workers.by_name.get(name)
    below_limit = len(observation.failures) < lead.policy.aside_failures
    if worker is None or worker.aside or below_limit:
        return
    record(lead, TargetQuarantined(name, aside=True))
    observation.probe_due = lead.now + lead.policy.probe_every


def _avoid_target(lead: DomainLeader, report: TaskReport) -> None:
    """Place no tasks for a while on a target that an order did not reach."""
    job = lead.replicated.job_registry.jobs[report.key.job]
    target = job.tasks[report.key.index].target
    observation = lead.observations.get(target)
    if observation:
        observation.avoided_until = lead.now + _AVOIDED_S
        lead.replicated.workers.touched.add(target)


def on_task_report(lead: DomainLeader, report: TaskReport, entry: str) -> None:
    """Handle an entry's report on an attempt.

    A report that the order was not sent closes the attempt only if no other
    entry was ever given the order, nor this one before it reconnected.
    """
    if code_class(report.code) is not CodeClass.NOT_RUN:
        close_attempt(lead, report.key, report.attempt, report.code, report.run)
        return
    outstanding = lead.orders.get(report.key)
    if outstanding is None or outstanding.attempt != report.attempt:
        return
    if lead.serving_entries.get(report.key.job):
        _avoid_target(lead, report)
    if outstanding.entries == {entry} and not outstanding.sender_unknown:
        close_attempt(lead, report.key, report.attempt, report.code)
