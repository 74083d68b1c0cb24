"""Callers that submit jobs and ask for them over connections kept open.

``python -m standins.soak_callers FILE SEED ENTRY[,ENTRY...] AUTHORIZATION``
uses several connections to each entry (host:port) at random until it receives
SIGTERM, and sends the header AUTHORIZATION unless it is empty.  A
submission or cancel without a clear answer is repeated.  Some jobs are
cancelled before they are sent, others later, several at a time.  Each request
that was sent in full adds a JSON line to FILE, see ``Call``.
"""

import asyncio
import json
import signal
import sys
import time
from collections import deque
from dataclasses import asdict, dataclass
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

import h11

from standins.platform_cell import PREFIX, QUEUE_HOST, SLOW_PREFIX
from standins.platform_workers import SLOW_JOB_PREFIX

CONNECTIONS_PER_ENTRY = 6
# Mean pause of a connection between two requests.
_MEAN_PAUSE_S = 0.2
_RECONNECT_DELAY_S = 0.1
# Header that tells the entry how long a caller waits for the response.
_DEADLINE_MS = 3000
# How long it then really waits.
_CALL_TIMEOUT_S = 4.0
# Share of requests that submit a job, and of jobs whose advice is slow.
_SUBMIT_SHARE = 0.1
_SLOW_SHARE = 0.25
# Shares of the jobs that are cancelled: before they are sent, or in a batch.
_OVERTAKEN_SHARE = 0.05
_CANCELLED_SHARE = 0.1
_CANCELLED_BATCH = 5
# Share of quick steps that are gangs.
_GANG_SHARE = 0.2
# Most tasks of a step, and the tasks of one whose advice is slow.
_MAX_COUNT = 4
_SLOW_COUNT = 10
# CPU (thousandths) of a task, and of one whose advice is slow.
_TASK_CPU = 1000
_SLOW_TASK_CPU = 2500
_READ_BYTES = 65_536
_HTTP_OK = 200
# Statuses after which the outcome of a submission is unknown.
_UNCLEAR = frozenset({0, 502, 504})
# Statuses that acknowledge a cancel.
CANCEL_ACKS = frozenset({200, 410})


@dataclass(frozen=True, slots=True)
class Call:
    """A request and its response; times in s on the monotonic clock.

    ``sent_at`` is when the last byte was sent.  ``status`` is 0 without a
    complete response, ``timed_out`` tells whether the caller gave up.  ``job``
    is the job's id, empty where a queue was asked for; ``state`` is the state
    shown.  A submission has (count, cpu, gang) of each step in ``steps``.
    """

    entry: str
    method: str
    job: str
    sent_at: float
    ended_at: float
    status: int
    timed_out: bool = False
    state: str = ''
    steps: tuple[tuple[int, int, bool], ...] = ()


@dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    body: bytes = b''
    steps: tuple[tuple[int, int, bool], ...] = ()


class _Callers:
    """State of all callers: jobs accepted so far, and what is to be sent.

    ``to_repeat`` has submissions, ``to_cancel`` cancels that are due, and
    ``later_cancels`` those that wait until they make a batch.
    """

    def __init__(self, out: Any, seed: int, authorization: str) -> None:
        self.out = out
        self.authorization = authorization
        self.seed = seed
        self.random = Random(seed)
        self.numbers = count(1)
        self.accepted: list[str] = []
        self.to_repeat: deque[_Request] = deque()
        self.cancel_random = Random(f'cancels {seed}')
        self.to_cancel: deque[_Request] = deque()
        self.later_cancels: list[_Request] = []
        self.stopped = asyncio.Event()


class _Connection:
    """An open connection and the state of its HTTP exchange."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.CLIENT)


def _make_step(callers: _Callers, number: int, *, slow: bool) -> dict[str, Any]:
    """Return a step; the steps of a job depend on those before them."""
    gang = slow or callers.random.random() < _GANG_SHARE
    tasks = _SLOW_COUNT if slow else callers.random.randint(1, _MAX_COUNT)
    return {
        'count': tasks,
        'cpu': _SLOW_TASK_CPU if slow else _TASK_CPU,
        'memMb': 100,
        'estimateMs': 1000,
        'gang': gang,
        'dependsOn': list(range(number)),
    }


def _make_submission(callers: _Callers) -> _Request:
    """Return the submission of a new job with one or two steps."""
    slow = callers.random.random() < _SLOW_SHARE
    last = 1 if slow else callers.random.randint(0, 1)
    steps = [
        _make_step(callers, number, slow=slow) for number in range(last + 1)
    ]
    job_id = f'{callers.seed & 0xFFFFF:05x}{next(callers.numbers):010x}'
    spec = {
        'cpu': steps[0]['cpu'],
        'work_s': round(callers.random.uniform(0.2, 1.5), 3),
    }
    prefix, first = (SLOW_PREFIX, SLOW_JOB_PREFIX) if slow else (PREFIX, '0')
    path = f'{prefix}{first}{job_id}'
    submission = _Request(
        'POST',
        path,
        json.dumps({'spec': json.dumps(spec), 'steps': steps}).encode('utf-8'),
        tuple((step['count'], step['cpu'], step['gang']) for step in steps),
    )
    draw = callers.cancel_random.random()
    if draw < _OVERTAKEN_SHARE:
        # The cancel arrives as if it had overtaken the job.
        callers.to_repeat.append(submission)
        return _Request('DELETE', path)
    if draw < _OVERTAKEN_SHARE + _CANCELLED_SHARE:
        _cancel_later(callers, path)
    return submission


def _cancel_later(callers: _Callers, path: str) -> None:
    callers.later_cancels.append(_Request('DELETE', path))
    if len(callers.later_cancels) >= _CANCELLED_BATCH:
        callers.to_cancel.extend(callers.later_cancels)
        callers.later_cancels.clear()


def _next_request(callers: _Callers) -> _Request:
    if callers.to_cancel:
        return callers.to_cancel.popleft()
    if callers.to_repeat:
        return callers.to_repeat.popleft()
    if callers.random.random() < _SUBMIT_SHARE:
        return _make_submission(callers)
    return _Request('GET', callers.random.choice([PREFIX, *callers.accepted]))


async def _send(conn: _Connection, req: _Request, authorization: str) -> None:
    headers = [
        ('Host', QUEUE_HOST),
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(req.body))),
        ('X-Deadline-Ms', str(_DEADLINE_MS)),
    ]
    if authorization:
        headers.append(('Authorization', authorization))
    events = (
        h11.Request(method=req.method, target=req.path, headers=headers),
        h11.Data(data=req.body),
        h11.EndOfMessage(),
    )
    conn.writer.write(b''.join(conn.http.send(event) for event in events))
    await conn.writer.drain()


async def _receive(conn: _Connection) -> tuple[int, bytes]:
    """Return status and body of a complete response.

    Raises:
        h11.RemoteProtocolError: the connection ended before that.

    """
    status, body = 0, b''
    while True:
        event = conn.http.next_event()
        if event is h11.NEED_DATA:
            conn.http.receive_data(await conn.reader.read(_READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        else:
            return status, body


async def _exchange(
    callers: _Callers, conn: _Connection, entry: str, req: _Request
) -> None:
    """Send a request, await its response and record both."""
    status, body, timed_out = 0, b'', False
    sent_at = None
    try:
        async with asyncio.timeout(_CALL_TIMEOUT_S):
            await _send(conn, req, callers.authorization)
            sent_at = time.monotonic()
            status, body = await _receive(conn)
    except TimeoutError:
        timed_out = True
    except (OSError, h11.RemoteProtocolError):
        conn.writer.close()
    _note_outcome(callers, req, status)
    if sent_at is not None:
        state = json.loads(body).get('state', '') if status == _HTTP_OK else ''
        call = Call(
            entry.rpartition(':')[0],
            req.method,
            req.path.rpartition('/')[2],
            sent_at,
            time.monotonic(),
            status,
            timed_out,
            state,
            req.steps,
        )
        callers.out.write(f'{json.dumps(asdict(call))}\n')
        callers.out.flush()


def _note_outcome(callers: _Callers, req: _Request, status: int) -> None:
    if req.method == 'POST' and status == _HTTP_OK:
        callers.accepted.append(req.path)
    elif req.method == 'POST' and status in _UNCLEAR:
        callers.to_repeat.append(req)
    elif req.method == 'DELETE' and status not in CANCEL_ACKS:
        callers.to_cancel.append(req)


async def _use_connection(
    callers: _Callers, conn: _Connection, entry: str
) -> None:
    """Send requests one after the other until the connection ends."""
    while not callers.stopped.is_set() and not conn.writer.is_closing():
        await _exchange(callers, conn, entry, _next_request(callers))
        if conn.http.their_state is not h11.DONE:
            return
        conn.http.start_next_cycle()
        await asyncio.sleep(callers.random.uniform(0, 2 * _MEAN_PAUSE_S))


async def _keep_calling(callers: _Callers, entry: str) -> None:
    host, _, port = entry.rpartition(':')
    while not callers.stopped.is_set():
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(_RECONNECT_DELAY_S)
            continue
        try:
            await _use_connection(callers, _Connection(reader, writer), entry)
        finally:
            writer.close()


def read_calls(path: Path) -> list[Call]:
    """Return the calls that the callers recorded in a file."""
    return [Call(**json.loads(line)) for line in path.read_text().splitlines()]


async def _run(
    file_name: str, seed: str, entries: str, authorization: str
) -> None:
    with Path(file_name).open('w') as out:
        callers = _Callers(out, int(seed), authorization)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, callers.stopped.set)
        await asyncio.gather(
            *(
                _keep_calling(callers, entry)
                for entry in entries.split(',') * CONNECTIONS_PER_ENTRY
            )
        )


if __name__ == '__main__':
    asyncio.run(_run(*sys.argv[1:]))
