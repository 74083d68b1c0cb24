"""HTTP client with which an entry starts and stops attempts on targets."""

import asyncio
from collections.abc import AsyncIterator
from urllib.parse import quote

import aiohttp

from daisygw.contracts import (
    Fence,
    LinkError,
    ResultCode,
    Size,
    TaskKey,
    TaskStartOrder,
    TaskStopOrder,
)
from daisygw.entries._state import AnswerLocation, Entry, Outcome

CODE_HEADER = 'Daisygw-Code'
# Size of the chunks in which an answer is relayed to a caller.
_CHUNK_BYTES = 65_536
# Answers up to this size are read whole before the outcome is reported.
_MAX_BUFFERED_BYTES = 262_144
# Connecting over loopback or within a region takes milliseconds.
_CONNECT_TIMEOUT_S = 1.0
# Delay before an attempt's outcome or answer is requested once more.
_RETRY_INTERVAL_S = 0.25
# Longest time without a new chunk of an answer; longer than a target takes to
# restart.
_ANSWER_TIMEOUT_S = 10.0
# As many as a target has slots, at the sizes that users request.
_MAX_CONNECTIONS_PER_TARGET = 64
_HTTP_NOT_FOUND = 404


def open_session() -> aiohttp.ClientSession:
    """Open the HTTP session shared by all calls to targets."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            limit_per_host=_MAX_CONNECTIONS_PER_TARGET,
        ),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S
        ),
        auto_decompress=False,
    )


def _url(address: str, key: TaskKey, attempt: int, suffix: str = '') -> str:
    job = quote(key.job, safe='')
    path = f'/v1/tasks/{job}/{key.index}/{attempt}'
    return f'http://{address}{path}{suffix}'


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


def _result_code(response: aiohttp.ClientResponse) -> int:
    return int(response.headers.get(CODE_HEADER, ResultCode.TASK_FAILED))


async def start(entry: Entry, order: TaskStartOrder, body: bytes) -> Outcome:
    """Start an attempt on a target, or attach to it; wait until it ends.

    Raises ``LinkError`` with NOT_STARTED if no connection was made, so that
    nothing was sent, and OUTCOME_UNKNOWN if the connection failed later.
    """
    url = _url(order.address, order.key, order.attempt)
    headers = {**_fence_headers(order.fence), **_size_headers(order.size)}
    try:
        async with entry.http_session.post(
            url, data=body, headers=headers
        ) as reply:
            return await _read_outcome(order, reply)
    except aiohttp.ClientConnectorError as exc:
        raise LinkError(ResultCode.NOT_STARTED, str(exc)) from exc
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        raise LinkError(ResultCode.OUTCOME_UNKNOWN, str(exc)) from exc


async def _read_outcome(
    order: TaskStartOrder,
    reply: aiohttp.ClientResponse,
) -> Outcome:
    code = _result_code(reply)
    index = order.key.index
    length = reply.content_length
    if length is not None and length <= _MAX_BUFFERED_BYTES:
        body = await reply.read()
        return Outcome(index, order.attempt, code, body)
    at = AnswerLocation(order.key, order.attempt, order.address)
    return Outcome(index, order.attempt, code, None, at)


async def poll_outcome(entry: Entry, order: TaskStartOrder) -> Outcome:
    """Poll for an attempt's outcome after its connection was lost.

    This never starts an attempt.  Where the target does not know it (404), the
    polling goes on until the leader settles the task, which cancels this.
    """
    url = _url(order.address, order.key, order.attempt, '/answer')
    while True:
        try:
            async with entry.http_session.get(url) as reply:
                if reply.status != _HTTP_NOT_FOUND:
                    return await _read_outcome(order, reply)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            pass
        await asyncio.sleep(_RETRY_INTERVAL_S)


async def stop(entry: Entry, order: TaskStopOrder) -> None:
    """Ask a target to stop an attempt; its announcement reports the end."""
    url = _url(order.address, order.key, order.attempt, '/stop')
    headers = _fence_headers(order.fence)
    headers[CODE_HEADER] = str(int(order.code))
    try:
        async with entry.http_session.post(url, headers=headers) as reply:
            await reply.read()
    except (aiohttp.ClientError, TimeoutError):
        return


async def read_answer(entry: Entry, at: AnswerLocation) -> AsyncIterator[bytes]:
    """Yield an attempt's answer; resume at the offset after a broken read.

    Raises ``LinkError`` (ANSWER_GONE) if the target no longer has it or
    cannot be reached for ``_ANSWER_TIMEOUT_S``.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + _ANSWER_TIMEOUT_S
    offset = 0
    while True:
        try:
            async for chunk in _read_answer_from(entry, at, offset):
                offset += len(chunk)
                until = loop.time() + _ANSWER_TIMEOUT_S
                yield chunk
            return
        except (aiohttp.ClientError, TimeoutError) as exc:
            if loop.time() >= until:
                raise LinkError(ResultCode.ANSWER_GONE, str(exc)) from exc
        await asyncio.sleep(_RETRY_INTERVAL_S)


async def _read_answer_from(
    entry: Entry,
    at: AnswerLocation,
    offset: int,
) -> AsyncIterator[bytes]:
    url = _url(at.address, at.key, at.attempt, f'/answer?offset={offset}')
    async with entry.http_session.get(url) as reply:
        if reply.status == _HTTP_NOT_FOUND:
            reason = 'the target no longer stores this answer'
            raise LinkError(ResultCode.ANSWER_GONE, reason)
        async for chunk in reply.content.iter_chunked(_CHUNK_BYTES):
            yield chunk
