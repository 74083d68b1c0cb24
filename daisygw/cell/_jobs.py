"""Requests about jobs (submit, cancel, show) and about configurations."""

from daisygw.cell._admission import Refusal, refusal_for
from daisygw.cell._confirmations import state_of_job
from daisygw.cell._customers import (
    customer_of,
    may_use_job,
    may_use_queue,
    owner_of_new_job,
)
from daisygw.cell._early_cancels import (
    is_cancelled_early,
    note_early_cancel,
    purge_early_cancels,
)
from daisygw.cell._fairness import (
    count_in_rate,
    is_over_rate,
    surplus_refusal,
)
from daisygw.cell._leader import (
    CellLeader,
    clean_up_job,
    enqueue_job,
    update_queues,
)
from daisygw.cell._limits import limit_refusal
from daisygw.cell._state import CellJob
from daisygw.contracts import (
    CellResponse,
    ConfigRequest,
    ConfigStored,
    JobCancelled,
    JobEnqueued,
    JobRequest,
    JobsPurged,
    JobState,
    JobVerb,
    Queue,
    ResultCode,
    queue_for,
)

# How long the state of an ended job can be queried; the platform requires 120.
ENDED_JOB_RETENTION_S = 300.0
# Retry delay given to a caller whose cancel could not be noted.
_CANCEL_RETRY_S = 5
# Retry delay given to the caller of an overdue job, if it still listens.
_OVERDUE_RETRY_S = 1


def on_job_request(lead: CellLeader, request: JobRequest, entry: str) -> None:
    """Handle a caller's request about a job or a queue."""
    cfg = lead.cell.cfg
    if cfg is None:
        _refuse(lead, request, entry, ResultCode.NOT_CONFIGURED, retry=1)
        return
    queue = queue_for(cfg, request.host, request.path)
    if queue is None:
        _refuse(lead, request, entry, ResultCode.UNKNOWN_QUEUE)
        return
    customer = customer_of(lead.cell.key_index, request.key)
    if not may_use_queue(cfg, queue, customer):
        _refuse(lead, request, entry, ResultCode.UNKNOWN_KEY)
        return
    name = request.path[len(queue.prefix) :]
    if request.verb is JobVerb.COUNT or not name:
        answer = CellResponse(
            request.seq, ResultCode.ANSWERED, pending=_count_queued(lead, queue)
        )
        lead.answer(entry, answer)
    elif request.verb is JobVerb.SUBMIT:
        _submit(lead, request, entry, queue, customer)
    else:
        _handle_known_job(lead, request, entry, queue, customer)


def _refuse(
    lead: CellLeader,
    request: JobRequest,
    entry: str,
    code: ResultCode,
    retry: float = 0,
    reason: str = '',
    customer: str = '',
) -> None:
    cfg = lead.cell.cfg
    lead.log_event(
        'refused',
        id=request.path,
        code=code,
        reason=reason,
        retry_after_s=retry,
        customer=customer,
        config=cfg.version if cfg else 0,
        waiting=len(lead.waiting),
    )
    lead.answer(
        entry,
        CellResponse(request.seq, code, retry_after=retry, reason=reason),
    )


def _count_queued(lead: CellLeader, queue: Queue) -> int:
    return sum(
        state_of_job(lead, job) is JobState.QUEUED
        and job.enqueued.host == queue.host
        and job.enqueued.prefix == queue.prefix
        for job in lead.cell.jobs.values()
    )


def _submit(
    lead: CellLeader,
    request: JobRequest,
    entry: str,
    queue: Queue,
    customer: str,
) -> None:
    if request.job is None:
        _refuse(lead, request, entry, ResultCode.MALFORMED)
        return
    existing = lead.cell.jobs.get(request.job.id)
    if existing and not may_use_job(lead.cell.cfg, existing.enqueued, customer):
        _refuse(lead, request, entry, ResultCode.ID_REUSED)
        return
    if existing is None:
        owner = owner_of_new_job(queue, customer)
        surplus = is_over_rate(lead, owner)
        refusal = (
            _given_up_refusal(lead, request, owner)
            or limit_refusal(lead, request.job, owner)
            or refusal_for(lead, request.job, queue)
            or (surplus and surplus_refusal(lead, owner))
        )
        if refusal:
            _refuse(lead, request, entry, *refusal, owner)
            return
        _accept(lead, request, queue, owner, surplus=surplus)
    lead.answer(entry, CellResponse(request.seq, ResultCode.ACCEPTED))


def _given_up_refusal(
    lead: CellLeader, request: JobRequest, owner: str
) -> Refusal | None:
    """Refuse a job that its caller has given up before it arrived."""
    if is_cancelled_early(lead, request.job.id, owner):
        return (ResultCode.CANCELLED, 0, 'cancelled before it arrived')
    if request.overdue:
        reason = 'its deadline passed before it was read'
        return (ResultCode.DEADLINE_PASSED, _OVERDUE_RETRY_S, reason)
    return None


def _accept(
    lead: CellLeader,
    request: JobRequest,
    queue: Queue,
    customer: str,
    *,
    surplus: bool,
) -> None:
    origin = (queue.host, queue.prefix)
    lead.record(JobEnqueued(request.job, *origin, lead.wall, customer, surplus))
    if not surplus:
        count_in_rate(lead, customer)
    lead.log_event(
        'accepted',
        id=request.job.id,
        queue=queue.name,
        customer=customer,
        surplus=surplus,
        steps=len(request.job.steps),
        waiting=len(lead.waiting),
        config=lead.cell.cfg.version,
    )
    enqueue_job(lead, lead.cell.jobs[request.job.id])


def _handle_known_job(
    lead: CellLeader,
    request: JobRequest,
    entry: str,
    queue: Queue,
    customer: str,
) -> None:
    name = request.path[len(queue.prefix) :]
    job = lead.cell.jobs.get(name)
    if job is None and request.verb is JobVerb.CANCEL:
        owner = owner_of_new_job(queue, customer)
        if not note_early_cancel(lead, name, owner):
            reason = 'too many cancels of unknown jobs'
            code = ResultCode.OVERLOADED
            _refuse(lead, request, entry, code, _CANCEL_RETRY_S, reason, owner)
            return
    if job is None or not may_use_job(lead.cell.cfg, job.enqueued, customer):
        _refuse(lead, request, entry, ResultCode.UNKNOWN_JOB)
        return
    if request.verb is JobVerb.CANCEL:
        _cancel(lead, job)
    state = state_of_job(lead, job)
    answer = CellResponse(request.seq, ResultCode.ANSWERED, state=state)
    lead.answer(entry, answer)


def _cancel(lead: CellLeader, job: CellJob) -> None:
    if not job.over:
        lead.record(JobCancelled(job.spec.id))
        lead.log_event('cancelled', id=job.spec.id)
        clean_up_job(lead, job)


def on_config_request(
    lead: CellLeader, request: ConfigRequest, entry: str
) -> None:
    """Store a newer configuration; acknowledge one that is not newer."""
    current = lead.cell.cfg
    if request.cfg is not None and (
        current is None or request.cfg.version > current.version
    ):
        lead.record(ConfigStored(request.cfg))
        lead.log_event(
            'configuration',
            version=request.cfg.version,
            before=current.version if current else 0,
            queues=len(request.cfg.queues),
            customers=len(request.cfg.customers or ()),
        )
        update_queues(lead)
    current = lead.cell.cfg
    if current is None:
        answer = CellResponse(request.seq, ResultCode.NOT_CONFIGURED)
    else:
        answer = CellResponse(
            request.seq, ResultCode.ANSWERED, document=current.document
        )
    lead.answer(entry, answer)


def purge_old_jobs(lead: CellLeader) -> None:
    """Delete jobs that ended long ago and have no runs, and old cancels."""
    purge_early_cancels(lead)
    expired = []
    while lead.ended and lead.now - lead.ended[0][0] > ENDED_JOB_RETENTION_S:
        _, name = lead.ended.popleft()
        job = lead.cell.jobs.get(name)
        if job and any(state.runs for state in job.steps.values()):
            lead.ended.append((lead.now, name))
        elif job:
            expired.append(name)
    if expired:
        lead.record(JobsPurged(tuple(expired)))
