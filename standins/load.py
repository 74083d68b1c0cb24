"""Callers: an open loop of submissions with resends, and what came back."""

import asyncio
import json
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from daisygw.contracts import CodeClass, ResultCode, code_class

_RESENDS = 8
_RESEND_WAIT = 0.3
_CODE = 'Daisygw-Code'
_RESEND_CODES = frozenset({ResultCode.NO_LEADER, ResultCode.STOPPING})


@dataclass(frozen=True, slots=True)
class Arrival:
    """A submission: when (s from the start), what and with which body."""

    at: float
    contract: dict[str, Any]
    body: bytes = b'{}'
    work_name: str = ''


@dataclass(frozen=True, slots=True)
class Reply:
    """One answer to one sending of a submission."""

    code: int
    answer: bytes


@dataclass(frozen=True, slots=True)
class SubmissionRecord:
    """What a caller saw of one submission; times in seconds."""

    arrival: Arrival
    sent: float
    took: float
    replies: tuple[Reply, ...] = field(default_factory=tuple)

    @property
    def code(self) -> int:
        """The last code that came back."""
        return self.replies[-1].code

    @property
    def answer(self) -> bytes:
        """The last answer that came back."""
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
            code = int(reply.headers.get(_CODE, ResultCode.ANSWERED))
            return Reply(code, answer)
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        return Reply(ResultCode.ENTRY_UNREACHABLE, repr(exc).encode())


def _send_again(code: int) -> bool:
    kind = code_class(code)
    unknown = kind in {CodeClass.UNKNOWN, CodeClass.PROCESS}
    return unknown or code in _RESEND_CODES


async def _call(
    http: aiohttp.ClientSession,
    entries: Sequence[str],
    arrival: Arrival,
    number: int,
    began: float,
) -> SubmissionRecord:
    await asyncio.sleep(max(began + arrival.at - time.monotonic(), 0))
    sent = time.monotonic()
    replies = []
    resends = _RESENDS if 'id' in arrival.contract else 0
    for turn in range(resends + 1):
        entry = entries[(number + turn) % len(entries)]
        reply = await _send(http, entry, arrival)
        replies.append(reply)
        if not _send_again(reply.code):
            break
        await asyncio.sleep(_RESEND_WAIT)
    took = time.monotonic() - sent
    return SubmissionRecord(arrival, sent - began, took, tuple(replies))


async def run_load(
    entries: Sequence[str],
    arrivals: Iterable[Arrival],
    timeout: float = 90,
) -> list[SubmissionRecord]:
    """Send every arrival at its time, over all entries in turn."""
    limits = aiohttp.ClientTimeout(total=timeout, sock_connect=2)
    connector = aiohttp.TCPConnector(limit=0)
    began = time.monotonic()
    async with aiohttp.ClientSession(
        timeout=limits,
        connector=connector,
    ) as http:
        calls = [
            _call(http, entries, arrival, number, began)
            for number, arrival in enumerate(arrivals)
        ]
        return list(await asyncio.gather(*calls))
