"""Calls to workers and to the placement advisor over HTTP."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import msgspec

from daisygw.cell import LeaseRenewal, OrderOutcome, Run, StartOrder
from daisygw.contracts import LinkError, ResultCode, StepKey
from daisygw.machines import RenewalReply, TargetInstance
from daisygw.nodes import TargetCalls
from daisygw.platform import _codec

# A start is answered in a few ms; a repeat of one that was lost or is late
# does no harm, s.
_ORDER_WAIT = 0.2
# A stop may be answered once the task has stopped (``stopTimeoutMs``), s.
_STOP_WAIT = 1.0
# What a renewal may take beyond the wait that it asked for, s.
_HOLD_SLACK = 0.5
# Idle connections to workers are kept for this long, s.
_KEEP_ALIVE = 60.0
# Connections to one worker: a renewal and orders beside it, of 64 allowed.
_MOST_CONNECTIONS = 12
_HTTP_OK = 200
_HTTP_CONFLICT = 409
_HTTP_OTHER_LIFE = 421
_HTTP_UNHEALTHY = frozenset({400, 429, 503})
_UNSURE_REASONS = frozenset({'old'})
_FAILURES = (aiohttp.ClientError, OSError, TimeoutError)


async def _post(
    session: aiohttp.ClientSession,
    url: str,
    body: bytes,
    wait: float,
    headers: dict[str, str],
) -> tuple[int, bytes]:
    """Return status and body; raises LinkError where none came in time."""
    timeout = aiohttp.ClientTimeout(total=wait)
    headers = {'Content-Type': 'application/json', **headers}
    try:
        async with session.post(
            url, data=body, headers=headers, timeout=timeout
        ) as resp:
            return resp.status, await resp.read()
    except _FAILURES as exc:
        reason = f'{url}: {exc!r}'
        raise LinkError(ResultCode.OUTCOME_UNKNOWN, reason) from exc


def _headers(instance: TargetInstance) -> dict[str, str]:
    return {'X-Expected-Instance': instance.name}


def _outcome(status: int, raw: bytes) -> tuple[OrderOutcome, str]:
    if status == _HTTP_OK:
        return OrderOutcome.TAKEN, ''
    if status == _HTTP_OTHER_LIFE:
        return OrderOutcome.OTHER_INSTANCE, ''
    if status in _HTTP_UNHEALTHY:
        return OrderOutcome.REFUSED, f'status {status}'
    if status != _HTTP_CONFLICT:
        return OrderOutcome.UNSURE, f'status {status}'
    reason = _reason(raw)
    if reason == 'fence':
        return OrderOutcome.FENCED, reason
    if reason in _UNSURE_REASONS:
        return OrderOutcome.UNSURE, reason
    return OrderOutcome.REFUSED, reason


def _reason(raw: bytes) -> str:
    try:
        return _codec.decode_reply(raw).reason
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        return f'unreadable: {exc}'


def _calls(session: aiohttp.ClientSession, advisor: str) -> TargetCalls:
    async def start(
        instance: TargetInstance, order: StartOrder, deadline: int, fence: int
    ) -> tuple[OrderOutcome, str]:
        body = _codec.encode_start(order, deadline, fence)
        url = f'http://{instance.address}/run-start'
        status, raw = await _post(
            session, url, body, _ORDER_WAIT, _headers(instance)
        )
        return _outcome(status, raw)

    async def stop(
        instance: TargetInstance, run: Run, fence: int
    ) -> OrderOutcome:
        body = _codec.encode_stop(run, fence)
        url = f'http://{instance.address}/run-stop'
        status, raw = await _post(
            session, url, body, _STOP_WAIT, _headers(instance)
        )
        return _outcome(status, raw)[0]

    async def hold(
        instance: TargetInstance, fence: int, renewal: LeaseRenewal
    ) -> RenewalReply:
        body = _codec.encode_hold(fence, renewal)
        url = f'http://{instance.address}/hold'
        status, raw = await _post(
            session, url, body, renewal.wait + _HOLD_SLACK, _headers(instance)
        )
        return _holding(instance, status, raw)

    async def advise(
        step: StepKey, targets: tuple[str, ...], patience: float
    ) -> tuple[tuple[str, str], ...]:
        body = _codec.encode({
            'stepId': _codec.encode_step(step),
            'workers': targets,
        })
        url = f'http://{advisor}/advise'
        status, raw = await _post(session, url, body, patience, {})
        return _tickets(status, raw)

    return TargetCalls(start, stop, hold, advise)


def _holding(instance: TargetInstance, status: int, raw: bytes) -> RenewalReply:
    if status == _HTTP_OTHER_LIFE:
        return RenewalReply(-1, 0, (), ())
    if status != _HTTP_OK:
        reason = f'{instance.address}: status {status}'
        raise LinkError(ResultCode.OUTCOME_UNKNOWN, reason)
    return _codec.decode_holding(raw)


def _tickets(status: int, raw: bytes) -> tuple[tuple[str, str], ...]:
    if status != _HTTP_OK:
        reason = f'advisor: status {status}'
        raise LinkError(ResultCode.OUTCOME_UNKNOWN, reason)
    try:
        return _codec.decode_advice(raw).approved
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        raise LinkError(ResultCode.MALFORMED, f'advisor: {exc}') from exc


@asynccontextmanager
async def open_calls(advisor: str) -> AsyncGenerator[TargetCalls, Any]:
    """Give the calls while the body runs; ``advisor`` is an address."""
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=_MOST_CONNECTIONS,
        keepalive_timeout=_KEEP_ALIVE,
    )
    async with aiohttp.ClientSession(connector=connector) as session:
        yield _calls(session, advisor)
    await asyncio.sleep(0)
