"""Submits jobs for callers and executes their orders on targets."""

import asyncio
from contextlib import suppress

from daisygw.contracts import (
    Contract,
    ContractError,
    Kind,
    LinkError,
    OrderRejected,
    ResultCode,
    SchedulerResponse,
    Submit,
    TaskReport,
    TaskSettled,
    TaskStartOrder,
    TaskStopOrder,
)
from daisygw.entries._state import (
    AnswerLocation,
    DrivenJob,
    Entry,
    Outcome,
    call_leader,
    request_home,
    send_to_leader,
    start_background_task,
    unanswered_result,
)
from daisygw.entries._target_client import poll_outcome, start, stop
from daisygw.links import log

_MS_PER_S = 1000
_CODES_WITH_ANSWER = frozenset({ResultCode.ANSWERED})


async def submit(
    entry: Entry,
    contract: Contract,
    body: bytes,
    *,
    id_generated: bool,
) -> tuple[SchedulerResponse, DrivenJob | None]:
    """Submit a request to its home domain; drive the job once accepted.

    A request that this entry drives already gets one more caller.  Returns the
    response, and the job unless it was refused.  ``id_generated`` tells that
    the id is new, so that no earlier submission can have used it.
    """
    driven = entry.driven.get(contract.id)
    if driven is not None:
        return await _attach(driven, contract)
    driven = DrivenJob(contract, body)
    driven.submission = asyncio.get_running_loop().create_future()
    driven.caller_count = 1
    entry.driven[contract.id] = driven
    answer = await _submit_to_home(entry, contract, id_generated=id_generated)
    driven.submission.set_result(answer)
    if answer.code == ResultCode.ACCEPTED:
        return answer, driven
    entry.driven.pop(contract.id)
    return answer, None


async def _attach(
    driven: DrivenJob,
    contract: Contract,
) -> tuple[SchedulerResponse, DrivenJob | None]:
    if driven.contract != contract:
        reason = 'this id was used for another request'
        return SchedulerResponse(0, ResultCode.ID_REUSED, reason), None
    driven.caller_count += 1
    answer = await asyncio.shield(driven.submission)
    if answer.code == ResultCode.ACCEPTED:
        return answer, driven
    return answer, None


async def _submit_to_home(
    entry: Entry,
    contract: Contract,
    *,
    id_generated: bool,
) -> SchedulerResponse:
    try:
        answer, forwarded = await call_leader(
            entry,
            request_home(entry, contract.id),
            lambda seq: Submit(seq, contract),
            entry.boot_settings.process.patience,
        )
    except ContractError as exc:
        return SchedulerResponse(0, exc.code, exc.reason)
    if answer is not None:
        return answer
    code, reason = unanswered_result(
        forwarded=forwarded, id_generated=id_generated
    )
    return SchedulerResponse(0, code, reason)


def resubmit_jobs(entry: Entry, group: str) -> None:
    """Resubmit all driven jobs of a group to its new leader."""
    for driven in entry.driven.values():
        contract = driven.contract
        if request_home(entry, contract.id) == group:
            send_to_leader(entry, group, Submit(0, contract))


def detach_caller(entry: Entry, driven: DrivenJob) -> None:
    """Record that a caller got its answer or disconnected.

    The job is no longer driven once it has no callers and all its outcomes are
    known; a service as soon as it has no callers.
    """
    driven.caller_count -= 1
    _discard_if_finished(entry, driven)


def _discard_if_finished(entry: Entry, driven: DrivenJob) -> None:
    done = len(driven.outcomes) == driven.contract.count
    service = driven.contract.kind is Kind.SERVICE
    if driven.caller_count <= 0 and (done or service):
        entry.driven.pop(driven.contract.id, None)


def handle_start_order(entry: Entry, order: TaskStartOrder) -> None:
    """Start the ordered attempt, unless it or a later one is running."""
    if order.spec:
        start_background_task(entry, _start_service(entry, order))
        return
    driven = entry.driven.get(order.key.job)
    if driven is None:
        group = request_home(entry, order.key.job)
        send_to_leader(entry, group, OrderRejected(order.key, order.attempt))
        return
    if order.key.index in driven.outcomes:
        return
    current_run = driven.runs.get(order.key.index)
    if current_run:
        if (
            current_run[0].attempt >= order.attempt
            and not current_run[1].done()
        ):
            return
        current_run[1].cancel()
    task = start_background_task(entry, _run_attempt(entry, driven, order))
    driven.runs[order.key.index] = (order, task)


async def _start_service(entry: Entry, order: TaskStartOrder) -> None:
    with suppress(LinkError):
        await start(entry, order, order.spec.encode('utf-8'))


async def _run_attempt(
    entry: Entry, driven: DrivenJob, order: TaskStartOrder
) -> None:
    started_at = asyncio.get_running_loop().time()
    try:
        outcome = await start(entry, order, driven.body)
    except LinkError as exc:
        if exc.code is ResultCode.NOT_STARTED:
            _report_attempt(entry, order, exc.code, 0)
            return
        log('lost', id=order.key.job, index=order.key.index, why=exc.reason)
        outcome = await poll_outcome(entry, order)
    run_ms = int((asyncio.get_running_loop().time() - started_at) * _MS_PER_S)
    if outcome.code == ResultCode.ANSWERED:
        _record_outcome(entry, driven, outcome)
    _report_attempt(entry, order, outcome.code, run_ms)


def _report_attempt(
    entry: Entry, order: TaskStartOrder, code: int, run_ms: int
) -> None:
    report = TaskReport(order.key, order.attempt, code, run_ms)
    send_to_leader(entry, request_home(entry, order.key.job), report)


def handle_settled(entry: Entry, settled: TaskSettled) -> None:
    """Record a task's outcome as decided by its home domain."""
    driven = entry.driven.get(settled.key.job)
    if driven is None or settled.key.index in driven.outcomes:
        return
    run = driven.runs.get(settled.key.index)
    if run:
        run[1].cancel()
    at = None
    if settled.code in _CODES_WITH_ANSWER:
        at = AnswerLocation(settled.key, settled.attempt, settled.address)
    index = settled.key.index
    outcome = Outcome(index, settled.attempt, settled.code, None, at)
    _record_outcome(entry, driven, outcome)


def _record_outcome(entry: Entry, driven: DrivenJob, outcome: Outcome) -> None:
    if outcome.index in driven.outcomes:
        return
    driven.outcomes[outcome.index] = outcome
    driven.runs.pop(outcome.index, None)
    driven.changed.set()
    driven.changed = asyncio.Event()
    _discard_if_finished(entry, driven)


def handle_stop_order(entry: Entry, order: TaskStopOrder) -> None:
    """Forward a stop order to the target."""
    start_background_task(entry, stop(entry, order))
