"""Open-loop load generator: submissions with resends, and their replies."""

import asyncio
import json
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from daisygw.contracts import CodeClass, ResultCode, code_class

_MAX_RESENDS = 8
_RESEND_DELAY_S = 0.3
_CODE_HEADER = 'Daisygw-Code'
_RESEND_CODES = frozenset({ResultCode.NO_LEADER, ResultCode.STOPPING})


@dataclass(frozen=True, slots=True)
class Arrival:
    """A submission: its time (s from the start), contract and body."""

    at: float
    contract: dict[str, Any]
    body: bytes = b'{}'
    work_name: str = ''


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to one attempt to send a submission.

    Without a response the code is ENTRY_UNREACHABLE and the answer the error.
    """

    code: int
    answer: bytes


@dataclass(frozen=True, slots=True)
class SubmissionRecord:
    """A submission with all its replies; times in seconds."""

    arrival: Arrival
    sent: float
    took: float
    replies: tuple[Reply, ...] = field(default_factory=tuple)

    @property
    def code(self) -> int:
        """The result code of the last reply."""
        return self.replies[-1].code

    @property
    def answer(self) -> bytes:
        """The answer of the last reply."""
        return self.replies[-1].answer


async def _send(
    http: aiohttp.ClientSession,
    entry: str,
    arrival: Arrival,
) -> Reply:
    headers = {'Daisygw-Contract': json.dumps(arrival.contract)}
    url = f'http://{entry}/v1/requests'
    try:
        async with http.post(
            url,
            data=arrival.body,
            headers=headers,
        ) as reply:
            answer = await reply.read()
            code = int(reply.headers.get(_CODE_HEADER, ResultCode.ANSWERED))
            return Reply(code, answer)
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        return Reply(ResultCode.ENTRY_UNREACHABLE, repr(exc).encode())


def _should_resend(code: int) -> bool:
    kind = code_class(code)
    unknown = kind in {CodeClass.UNKNOWN, CodeClass.PROCESS}
    return unknown or code in _RESEND_CODES


async def _submit(
    http: aiohttp.ClientSession,
    entries: Sequence[str],
    arrival: Arrival,
    number: int,
    started_at: float,
) -> SubmissionRecord:
    await asyncio.sleep(max(started_at + arrival.at - time.monotonic(), 0))
    sent = time.monotonic()
    replies = []
    resends = _MAX_RESENDS if 'id' in arrival.contract else 0
    for attempt in range(resends + 1):
        entry = entries[(number + attempt) % len(entries)]
        reply = await _send(http, entry, arrival)
        replies.append(reply)
        if not _should_resend(reply.code):
            break
        await asyncio.sleep(_RESEND_DELAY_S)
    took = time.monotonic() - sent
    return SubmissionRecord(arrival, sent - started_at, took, tuple(replies))


async def run_load(
    entries: Sequence[str],
    arrivals: Iterable[Arrival],
    timeout: float = 90,
) -> list[SubmissionRecord]:
    """Send every submission at its time, round-robin over the entry hosts."""
    limits = aiohttp.ClientTimeout(total=timeout, sock_connect=2)
    connector = aiohttp.TCPConnector(limit=0)
    started_at = time.monotonic()
    async with aiohttp.ClientSession(
        timeout=limits,
        connector=connector,
    ) as http:
        calls = [
            _submit(http, entries, arrival, number, started_at)
            for number, arrival in enumerate(arrivals)
        ]
        return list(await asyncio.gather(*calls))
