"""Decisions about jobs: accept, refuse, cancel, show; and configurations."""

from daisygw.cell._admission import verdict
from daisygw.cell._lead import (
    CellLeader,
    enqueue_job,
    job_over,
)
from daisygw.cell._state import JobRecord
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

# How long an ended job can still be asked for, s; the platform asks for 120.
KEEP = 300.0


def on_job_ask(lead: CellLeader, ask: JobRequest, entry: str) -> None:
    """Decide on a caller's request."""
    cfg = lead.cell.cfg
    if cfg is None:
        _refuse(lead, ask, entry, ResultCode.NOT_CONFIGURED, retry=1)
        return
    queue = queue_for(cfg, ask.host, ask.path)
    if queue is None:
        _refuse(lead, ask, entry, ResultCode.UNKNOWN_QUEUE)
        return
    name = ask.path[len(queue.prefix) :]
    if ask.verb is JobVerb.COUNT or not name:
        answer = CellResponse(
            ask.seq, ResultCode.ANSWERED, pending=_count(lead, queue)
        )
        lead.answer(entry, answer)
    elif ask.verb is JobVerb.SUBMIT:
        _submit(lead, ask, entry, queue)
    else:
        _about_job(lead, ask, entry, name)


def _refuse(
    lead: CellLeader,
    ask: JobRequest,
    entry: str,
    code: ResultCode,
    retry: float = 0,
    reason: str = '',
) -> None:
    cfg = lead.cell.cfg
    lead.log_event(
        'refused',
        id=ask.path,
        code=code,
        reason=reason,
        retry_after_s=retry,
        config=cfg.version if cfg else 0,
        waiting=len(lead.waiting),
    )
    lead.answer(
        entry,
        CellResponse(ask.seq, code, retry_after=retry, reason=reason),
    )


def _count(lead: CellLeader, queue: Queue) -> int:
    return sum(
        job.state is JobState.QUEUED
        and job.entered.host == queue.host
        and job.entered.prefix == queue.prefix
        for job in lead.cell.jobs.values()
    )


def _submit(
    lead: CellLeader, ask: JobRequest, entry: str, queue: Queue
) -> None:
    known = lead.cell.jobs.get(ask.job.id)
    if known is None:
        refusal = verdict(lead, ask.job, queue)
        if refusal:
            _refuse(lead, ask, entry, *refusal)
            return
        _accept(lead, ask, queue)
    lead.answer(entry, CellResponse(ask.seq, ResultCode.ACCEPTED))


def _accept(lead: CellLeader, ask: JobRequest, queue: Queue) -> None:
    lead.record(JobEnqueued(ask.job, queue.host, queue.prefix, lead.wall))
    lead.log_event(
        'accepted',
        id=ask.job.id,
        queue=queue.name,
        steps=len(ask.job.steps),
        waiting=len(lead.waiting),
        config=lead.cell.cfg.version,
    )
    enqueue_job(lead, lead.cell.jobs[ask.job.id])


def _about_job(
    lead: CellLeader, ask: JobRequest, entry: str, name: str
) -> None:
    job = lead.cell.jobs.get(name)
    if job is None:
        _refuse(lead, ask, entry, ResultCode.UNKNOWN_JOB)
        return
    if ask.verb is JobVerb.CANCEL:
        _cancel(lead, job)
    answer = CellResponse(ask.seq, ResultCode.ANSWERED, state=job.state)
    lead.answer(entry, answer)


def _cancel(lead: CellLeader, job: JobRecord) -> None:
    if not job.over:
        lead.record(JobCancelled(job.spec.id))
        lead.log_event('cancelled', id=job.spec.id)
        job_over(lead, job)


def on_config_ask(lead: CellLeader, ask: ConfigRequest, entry: str) -> None:
    """Store a newer configuration; acknowledge one that is not newer."""
    current = lead.cell.cfg
    if ask.cfg is not None and (
        current is None or ask.cfg.version > current.version
    ):
        lead.record(ConfigStored(ask.cfg))
        lead.log_event(
            'configuration',
            version=ask.cfg.version,
            before=current.version if current else 0,
            queues=len(ask.cfg.queues),
        )
        for job in lead.cell.jobs.values():
            enqueue_job(lead, job)
    current = lead.cell.cfg
    if current is None:
        answer = CellResponse(ask.seq, ResultCode.NOT_CONFIGURED)
    else:
        answer = CellResponse(
            ask.seq, ResultCode.ANSWERED, document=current.document
        )
    lead.answer(entry, answer)


def forget_old_jobs(lead: CellLeader) -> None:
    """Forget jobs that ended long ago and hold nothing."""
    gone = []
    while lead.ended and lead.now - lead.ended[0][0] > KEEP:
        _, name = lead.ended.popleft()
        job = lead.cell.jobs.get(name)
        if job and any(state.runs for state in job.steps.values()):
            lead.ended.append((lead.now, name))
        elif job:
            gone.append(name)
    if gone:
        lead.record(JobsPurged(tuple(gone)))
