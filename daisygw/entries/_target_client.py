"""What an entry says to targets, over HTTP."""

import asyncio
from collections.abc import AsyncIterator
from urllib.parse import quote

import aiohttp

from daisygw.contracts import (
    Fence,
    LinkError,
    ResultCode,
    Size,
    StopOrder,
    TaskKey,
    TaskStartOrder,
)
from daisygw.entries._state import AnswerAt, Entry, Outcome

CODE_HEADER = 'Daisygw-Code'
# Bytes read at a time from an answer that is passed on.
_CHUNK = 65_536
# Answers up to this many bytes are read whole before the end is reported.
_BUFFERED = 262_144
# Longest wait for a connection to a target, s: loopback and a region take ms.
_CONNECT = 1.0
# How often the outcome of a run is asked for again, s.
_ASK_AGAIN = 0.25
# How long an answer's rest is asked for, s: a target that restarts takes
# less.
_PATIENCE = 10.0
# Most connections to one target: what it has of slots, at the users' sizes.
_CONNECTIONS = 64
_GONE = 404


def open_session() -> aiohttp.ClientSession:
    """Open the HTTP client that all orders share."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            limit_per_host=_CONNECTIONS,
        ),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT),
        auto_decompress=False,
    )


def _url(address: str, key: TaskKey, attempt: int, end: str = '') -> str:
    job = quote(key.job, safe='')
    path = f'/v1/tasks/{job}/{key.index}/{attempt}'
    return f'http://{address}{path}{end}'


def _fence_headers(fence: Fence) -> dict[str, str]:
    return {
        'Daisygw-Term': str(fence.term),
        'Daisygw-Incarnation': fence.incarnation,
        'Daisygw-Announced': str(fence.announced),
    }


def _size_headers(size: Size) -> dict[str, str]:
    return {
        'Daisygw-Cpus': str(size.cpus),
        'Daisygw-Memory': str(size.memory),
        'Daisygw-Accelerators': str(size.accelerators),
    }


def _code_of(response: aiohttp.ClientResponse) -> int:
    return int(response.headers.get(CODE_HEADER, ResultCode.TASK_FAILED))


async def start(entry: Entry, order: TaskStartOrder, body: bytes) -> Outcome:
    """Have a target run an attempt (or attach to it); wait for its end.

    Raises ``LinkError`` with NOT_STARTED where no byte left this process,
    and OUTCOME_UNKNOWN where the connection was lost later.
    """
    url = _url(order.address, order.key, order.attempt)
    headers = {**_fence_headers(order.fence), **_size_headers(order.size)}
    try:
        async with entry.http.post(url, data=body, headers=headers) as reply:
            return await _outcome(order, reply)
    except aiohttp.ClientConnectorError as exc:
        raise LinkError(ResultCode.NOT_STARTED, str(exc)) from exc
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        raise LinkError(ResultCode.OUTCOME_UNKNOWN, str(exc)) from exc


async def _outcome(
    order: TaskStartOrder,
    reply: aiohttp.ClientResponse,
) -> Outcome:
    code = _code_of(reply)
    index = order.key.index
    length = reply.content_length
    if length is not None and length <= _BUFFERED:
        body = await reply.read()
        return Outcome(index, order.attempt, code, body)
    at = AnswerAt(order.key, order.attempt, order.address)
    return Outcome(index, order.attempt, code, None, at)


async def ask_outcome(entry: Entry, order: TaskStartOrder) -> Outcome:
    """After a lost connection, ask for the attempt's outcome until known.

    It never starts anything: a target that does not know the attempt says
    so, and the leader decides what that proves.
    """
    url = _url(order.address, order.key, order.attempt, '/answer')
    while True:
        try:
            async with entry.http.get(url) as reply:
                if reply.status != _GONE:
                    return await _outcome(order, reply)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            pass
        await asyncio.sleep(_ASK_AGAIN)


async def stop(entry: Entry, order: StopOrder) -> None:
    """Have a target stop an attempt; the end comes by its announcement."""
    url = _url(order.address, order.key, order.attempt, '/stop')
    headers = _fence_headers(order.fence)
    headers[CODE_HEADER] = str(int(order.code))
    try:
        async with entry.http.post(url, headers=headers) as reply:
            await reply.read()
    except (aiohttp.ClientError, TimeoutError):
        return


async def read_answer(entry: Entry, at: AnswerAt) -> AsyncIterator[bytes]:
    """Yield the whole answer of an attempt, resumed where it broke off.

    Raises ``LinkError`` (ANSWER_GONE) where the target does not have it.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + _PATIENCE
    offset = 0
    while True:
        try:
            async for chunk in _read_from(entry, at, offset):
                offset += len(chunk)
                until = loop.time() + _PATIENCE
                yield chunk
            return
        except (aiohttp.ClientError, TimeoutError) as exc:
            if loop.time() >= until:
                raise LinkError(ResultCode.ANSWER_GONE, str(exc)) from exc
        await asyncio.sleep(_ASK_AGAIN)


async def _read_from(
    entry: Entry,
    at: AnswerAt,
    offset: int,
) -> AsyncIterator[bytes]:
    url = _url(at.address, at.key, at.attempt, f'/answer?offset={offset}')
    async with entry.http.get(url) as reply:
        if reply.status == _GONE:
            reason = 'the target does not keep this answer any more'
            raise LinkError(ResultCode.ANSWER_GONE, reason)
        async for chunk in reply.content.iter_chunked(_CHUNK):
            yield chunk
