"""Callers of a platform cell that notice requests without an answer."""

import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from standins.platform_cell import (
    PREFIX,
    QUEUE_HOST,
    PlatformCell,
    job,
    key_headers,
)

# A caller waits this long for an answer (s): longer than an entry may take.
_ANSWER_TIMEOUT_S = 10
# Range of the pause between a caller's requests (s).
_PAUSE_S = (0.01, 0.1)
# The kinds of request, as often as they are to be sent.
_KINDS = ('POST', 'GET', 'LIST', 'LIST')
_END_OF_HEAD = b'\r\n\r\n'
_LENGTH = b'content-length:'
_CLOSES = b'connection: close'


@dataclass(frozen=True, slots=True)
class Caller:
    """How a caller uses its connections.

    It sends ``at_once`` requests before it reads their answers, and goes on
    with the same connection if ``keeps_open``.
    """

    name: str
    at_once: int = 1
    keeps_open: bool = True


@dataclass(frozen=True, slots=True)
class Unanswered:
    """Requests sent whole that got no complete answer.

    ``waited`` is the time from the last byte to the end of the connection (s).
    """

    caller: str
    entry: str
    waited: float


class CallLog:
    """What all callers have sent, by caller, and what was not answered."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.sent: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()
        self.unanswered: list[Unanswered] = []


def _encode_request(cell: PlatformCell, random: Random) -> bytes:
    kind = random.choice(_KINDS)
    job_id = f'{random.getrandbits(64):016x}'
    body = json.dumps(job(1, work_s=0)).encode() if kind == 'POST' else b''
    head = (
        f'{"GET" if kind == "LIST" else kind} '
        f'{PREFIX}{"" if kind == "LIST" else job_id} HTTP/1.1',
        f'Host: {QUEUE_HOST}',
        f'Content-Length: {len(body)}',
        'X-Deadline-Ms: 3000',
        *(f'{name}: {text}' for name, text in key_headers(cell).items()),
    )
    return '\r\n'.join(head).encode() + _END_OF_HEAD + body


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return an answer's status, and whether it closes the connection."""
    head = (await reader.readuntil(_END_OF_HEAD)).lower()
    length = head.partition(_LENGTH)[-1].partition(b'\r\n')[0]
    await reader.readexactly(int(length))
    return int(head.split()[1]), _CLOSES in head


async def _call_once(
    cell: PlatformCell,
    caller: Caller,
    entry: str,
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    random: Random,
    calls: CallLog,
) -> bool:
    """Send requests and read the answers.

    Returns whether the connection can be used again.
    """
    reader, writer = streams
    requests = [_encode_request(cell, random) for _ in range(caller.at_once)]
    writer.write(b''.join(requests))
    sent_at = time.monotonic()
    calls.sent[caller.name] += caller.at_once
    closes = False
    for answered in range(caller.at_once):
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                status, closes = await _read_answer(reader)
        except (OSError, EOFError, TimeoutError):
            waited = time.monotonic() - sent_at
            lost = Unanswered(caller.name, entry, round(waited, 3))
            calls.unanswered += [lost for _ in range(answered, caller.at_once)]
            return False
        calls.statuses[status] += 1
    return not closes


async def call_repeatedly(
    cell: PlatformCell,
    entry: str,
    caller: Caller,
    is_over: Callable[[], bool],
    random: Random,
    calls: CallLog,
) -> None:
    """Send requests to one entry until ``is_over``.

    An entry that is not running is tried again until it accepts connections.
    """
    while not is_over():
        await asyncio.sleep(random.uniform(*_PAUSE_S))
        try:
            streams = await asyncio.open_connection(entry, cell.ports.callers)
        except OSError:
            continue
        usable = True
        while usable and not is_over():
            usable = await _call_once(
                cell, caller, entry, streams, random, calls
            )
            usable = usable and caller.keeps_open
            await asyncio.sleep(random.uniform(*_PAUSE_S))
        streams[1].transport.abort()
