"""HTTP client for workers and the placement advisor."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from types import MappingProxyType
from typing import Any

import aiohttp

from daisygw.cell import (
    RENEWAL_CONNECTIONS,
    LeaseRenewal,
    OrderOutcome,
    Run,
    StartOrder,
)
from daisygw.contracts import LinkError, ResultCode, StepKey
from daisygw.machines import OTHER_TARGET, RenewalReply, TargetInstance
from daisygw.nodes import TargetCalls
from daisygw.platform import _codec

# Workers answer a start within a few ms; repeating one whose answer is lost or
# late is harmless.
_START_TIMEOUT_S = 0.2
# Added to the time that a worker may take for a stop, as it may answer only
# once the task has stopped.
_STOP_TIMEOUT_MARGIN_S = 0.6
# Added to the wait requested in a lease renewal to get its HTTP timeout.
_RENEWAL_TIMEOUT_MARGIN_S = 0.5
# How long idle connections to workers stay open.
_KEEP_ALIVE_S = 60.0
# The advisor handles one call at a time for each calling host.
_MAX_ADVISOR_CONNECTIONS = 12
# Upper bound on concurrent orders of a worker, whatever it accepts.
_MAX_ORDER_CONNECTIONS = 512
# Upper bound on a reply: lists of some 50,000 runs.
_MAX_REPLY_BYTES = 4_194_304
_HTTP_OK = 200
_HTTP_CONFLICT = 409
_HTTP_OTHER_INSTANCE = 421
_HTTP_BAD_REQUEST = 400
_HTTP_UNAVAILABLE = frozenset({429, 503})
_CONFLICT_OUTCOMES = MappingProxyType({
    'fence': OrderOutcome.FENCED,
    'old': OrderOutcome.UNSURE,
    'room': OrderOutcome.UNAVAILABLE,
})
CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


async def _post(
    session: aiohttp.ClientSession,
    url: str,
    body: bytes,
    timeout_s: float,
    headers: dict[str, str],
) -> tuple[int, bytes]:
    """Return status and body; raises ``LinkError`` without a response."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    headers = {'Content-Type': 'application/json', **headers}
    try:
        async with session.post(
            url, data=body, headers=headers, timeout=timeout
        ) as resp:
            return resp.status, await read_reply(resp)
    except CONNECTION_ERRORS as exc:
        reason = f'{url}: {exc!r}'
        raise LinkError(ResultCode.OUTCOME_UNKNOWN, reason) from exc


async def read_reply(
    resp: aiohttp.ClientResponse, max_bytes: int = _MAX_REPLY_BYTES
) -> bytes:
    """Return the body; raises ``LinkError`` where it is too long."""
    raw = b''
    async for chunk in resp.content.iter_any():
        raw += chunk
        if len(raw) > max_bytes:
            reason = f'{resp.url}: more than {max_bytes} bytes'
            raise LinkError(ResultCode.MALFORMED, reason)
    return raw


def _instance_headers(instance: TargetInstance) -> dict[str, str]:
    return {'X-Expected-Instance': instance.name}


def _order_outcome(status: int, raw: bytes) -> tuple[OrderOutcome, str]:
    if status == _HTTP_OK:
        return OrderOutcome.TAKEN, ''
    if status == _HTTP_OTHER_INSTANCE:
        return OrderOutcome.OTHER_INSTANCE, ''
    if status in _HTTP_UNAVAILABLE:
        return OrderOutcome.UNAVAILABLE, f'status {status}'
    if status == _HTTP_BAD_REQUEST:
        return OrderOutcome.REFUSED, f'status {status}'
    if status != _HTTP_CONFLICT:
        return OrderOutcome.UNSURE, f'status {status}'
    reason = _refusal_reason(raw)
    return _CONFLICT_OUTCOMES.get(reason, OrderOutcome.REFUSED), reason


def _refusal_reason(raw: bytes) -> str:
    try:
        return _codec.decode_reason(raw)
    except LinkError as exc:
        return exc.reason


class _Connections:
    """Sessions for calls to workers; renewals never wait behind orders."""

    def __init__(self) -> None:
        """Open sessions without connections."""
        self.renewals = _open_session(RENEWAL_CONNECTIONS)
        self.orders = _open_session(_MAX_ORDER_CONNECTIONS)


def _open_session(max_connections_per_host: int) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=max_connections_per_host,
        keepalive_timeout=_KEEP_ALIVE_S,
    )
    return aiohttp.ClientSession(connector=connector)


async def _close(connections: _Connections) -> None:
    await connections.renewals.close()
    await connections.orders.close()


async def _reopen(connections: _Connections) -> None:
    """Close all connections; later calls open new ones."""
    former = connections.renewals, connections.orders
    connections.renewals = _open_session(RENEWAL_CONNECTIONS)
    connections.orders = _open_session(_MAX_ORDER_CONNECTIONS)
    for session in former:
        await session.close()


def _advise(
    session: aiohttp.ClientSession, advisor: str
) -> Callable[..., Awaitable[tuple[tuple[str, str], ...]]]:
    """Return the call to the advisor at an address (host and port)."""

    async def advise(
        step: StepKey, targets: tuple[str, ...], patience: float
    ) -> tuple[tuple[str, str], ...]:
        body = _codec.encode({
            'stepId': _codec.encode_step(step),
            'workers': targets,
        })
        url = f'http://{advisor}/advise'
        status, raw = await _post(session, url, body, patience, {})
        return _read_approvals(status, raw)

    return advise


def _make_calls(
    connections: _Connections,
    advise: Callable[..., Awaitable[tuple[tuple[str, str], ...]]],
    stop_timeout_s: float,
) -> TargetCalls:
    async def start(
        instance: TargetInstance, order: StartOrder, deadline: int, fence: int
    ) -> tuple[OrderOutcome, str]:
        body = _codec.encode_start(order, deadline, fence)
        url = f'http://{instance.address}/run-start'
        status, raw = await _post(
            connections.orders,
            url,
            body,
            _START_TIMEOUT_S,
            _instance_headers(instance),
        )
        return _order_outcome(status, raw)

    async def stop(
        instance: TargetInstance, run: Run, fence: int
    ) -> OrderOutcome:
        body = _codec.encode_stop(run, fence)
        url = f'http://{instance.address}/run-stop'
        status, raw = await _post(
            connections.orders,
            url,
            body,
            stop_timeout_s,
            _instance_headers(instance),
        )
        return _order_outcome(status, raw)[0]

    async def renew(
        instance: TargetInstance, fence: int, renewal: LeaseRenewal
    ) -> RenewalReply:
        body = _codec.encode_renewal(fence, renewal)
        url = f'http://{instance.address}/hold'
        status, raw = await _post(
            connections.renewals,
            url,
            body,
            renewal.wait + _RENEWAL_TIMEOUT_MARGIN_S,
            _instance_headers(instance),
        )
        return _read_renewal_reply(instance, status, raw)

    return TargetCalls(
        start, stop, renew, advise, partial(_reopen, connections)
    )


def _read_renewal_reply(
    instance: TargetInstance, status: int, raw: bytes
) -> RenewalReply:
    if status == _HTTP_OTHER_INSTANCE:
        return OTHER_TARGET
    if status != _HTTP_OK:
        reason = f'{instance.address}: status {status}'
        raise LinkError(ResultCode.OUTCOME_UNKNOWN, reason)
    return _codec.decode_renewal_reply(raw)


def _read_approvals(status: int, raw: bytes) -> tuple[tuple[str, str], ...]:
    if status != _HTTP_OK:
        reason = f'advisor: status {status}'
        raise LinkError(ResultCode.OUTCOME_UNKNOWN, reason)
    return _codec.decode_approvals(raw)


@asynccontextmanager
async def open_calls(
    advisor: str, stop_time_s: float
) -> AsyncGenerator[TargetCalls, Any]:
    """Provide calls; ``advisor`` is host and port of the advisor.

    Workers take at most ``stop_time_s`` (s) for a stop.
    """
    connections = _Connections()
    stop_timeout_s = stop_time_s + _STOP_TIMEOUT_MARGIN_S
    async with _open_session(_MAX_ADVISOR_CONNECTIONS) as session:
        try:
            yield _make_calls(
                connections, _advise(session, advisor), stop_timeout_s
            )
        finally:
            await _close(connections)
    await asyncio.sleep(0)
