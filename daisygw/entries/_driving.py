"""Driving: how an entry carries a job's orders out for its callers."""

import asyncio
from contextlib import suppress

from daisygw.contracts import (
    Contract,
    Kind,
    LinkError,
    OrderRejected,
    ResultCode,
    SchedulerResponse,
    StopOrder,
    Submit,
    TaskReport,
    TaskSettled,
    TaskStartOrder,
)
from daisygw.entries._state import (
    AnswerAt,
    Driven,
    Entry,
    Outcome,
    call_leader,
    home,
    in_background,
    send_to_leader,
    unanswered,
)
from daisygw.entries._target_client import ask_outcome, start, stop
from daisygw.links import log

# Milliseconds in a second.
_MS = 1000
_WITH_ANSWER = frozenset({ResultCode.ANSWERED})


async def submit(
    entry: Entry,
    contract: Contract,
    body: bytes,
    *,
    minted: bool,
) -> tuple[SchedulerResponse, Driven | None]:
    """Hand a request to its home; drive it here once accepted."""
    driven = entry.driven.get(contract.id)
    if driven is not None:
        return await _join(driven, contract)
    driven = Driven(contract, body)
    driven.submitted = asyncio.get_running_loop().create_future()
    driven.callers = 1
    entry.driven[contract.id] = driven
    answer = await _submit_to_home(entry, contract, minted=minted)
    driven.submitted.set_result(answer)
    if answer.code == ResultCode.ACCEPTED:
        return answer, driven
    entry.driven.pop(contract.id)
    return answer, None


async def _join(
    driven: Driven,
    contract: Contract,
) -> tuple[SchedulerResponse, Driven | None]:
    if driven.contract != contract:
        reason = 'this id was used for another request'
        return SchedulerResponse(0, ResultCode.ID_REUSED, reason), None
    driven.callers += 1
    answer = await asyncio.shield(driven.submitted)
    if answer.code == ResultCode.ACCEPTED:
        return answer, driven
    return answer, None


async def _submit_to_home(
    entry: Entry,
    contract: Contract,
    *,
    minted: bool,
) -> SchedulerResponse:
    answer, passed_on = await call_leader(
        entry,
        home(entry, contract.id),
        lambda seq: Submit(seq, contract),
        entry.boot.process.patience,
    )
    if answer is not None:
        return answer
    code, reason = unanswered(passed_on=passed_on, minted=minted)
    return SchedulerResponse(0, code, reason)


def resubmit(entry: Entry, group: str) -> None:
    """Attach every open job of a group to its new leader."""
    for driven in entry.driven.values():
        contract = driven.contract
        if home(entry, contract.id) == group:
            send_to_leader(entry, group, Submit(0, contract))


def leave(entry: Entry, driven: Driven) -> None:
    """Note that a caller has its answer, or went away."""
    driven.callers -= 1
    _release(entry, driven)


def _release(entry: Entry, driven: Driven) -> None:
    done = len(driven.outcomes) == driven.contract.count
    service = driven.contract.kind is Kind.SERVICE
    if driven.callers <= 0 and (done or service):
        entry.driven.pop(driven.contract.id, None)


def on_order(entry: Entry, order: TaskStartOrder) -> None:
    """Carry out an order, unless the same attempt is under way."""
    if order.spec:
        in_background(entry, _start_service(entry, order))
        return
    driven = entry.driven.get(order.key.job)
    if driven is None:
        group = home(entry, order.key.job)
        send_to_leader(entry, group, OrderRejected(order.key, order.attempt))
        return
    if order.key.index in driven.outcomes:
        return
    known = driven.runs.get(order.key.index)
    if known:
        if known[0].attempt >= order.attempt and not known[1].done():
            return
        known[1].cancel()
    task = in_background(entry, _run(entry, driven, order))
    driven.runs[order.key.index] = (order, task)


async def _start_service(entry: Entry, order: TaskStartOrder) -> None:
    with suppress(LinkError):
        await start(entry, order, order.spec.encode('utf-8'))


async def _run(entry: Entry, driven: Driven, order: TaskStartOrder) -> None:
    began = asyncio.get_running_loop().time()
    try:
        outcome = await start(entry, order, driven.body)
    except LinkError as exc:
        if exc.code is ResultCode.NOT_STARTED:
            _report(entry, order, exc.code, 0)
            return
        log('lost', id=order.key.job, index=order.key.index, why=exc.reason)
        outcome = await ask_outcome(entry, order)
    run = int((asyncio.get_running_loop().time() - began) * _MS)
    if outcome.code == ResultCode.ANSWERED:
        _finish(entry, driven, outcome)
    _report(entry, order, outcome.code, run)


def _report(entry: Entry, order: TaskStartOrder, code: int, run: int) -> None:
    report = TaskReport(order.key, order.attempt, code, run)
    send_to_leader(entry, home(entry, order.key.job), report)


def on_settled(entry: Entry, settled: TaskSettled) -> None:
    """Take a task's outcome from its home."""
    driven = entry.driven.get(settled.key.job)
    if driven is None or settled.key.index in driven.outcomes:
        return
    run = driven.runs.get(settled.key.index)
    if run:
        run[1].cancel()
    at = None
    if settled.code in _WITH_ANSWER:
        at = AnswerAt(settled.key, settled.attempt, settled.address)
    index = settled.key.index
    outcome = Outcome(index, settled.attempt, settled.code, None, at)
    _finish(entry, driven, outcome)


def _finish(entry: Entry, driven: Driven, outcome: Outcome) -> None:
    if outcome.index in driven.outcomes:
        return
    driven.outcomes[outcome.index] = outcome
    driven.runs.pop(outcome.index, None)
    driven.changed.set()
    driven.changed = asyncio.Event()
    _release(entry, driven)


def on_stop(entry: Entry, order: StopOrder) -> None:
    """Pass a stop on to its target."""
    in_background(entry, stop(entry, order))
