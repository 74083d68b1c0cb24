"""Runs a case: a cell, its workers, a record of all, and an exit status."""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

from review.lab import web
from review.lab.cell import (
    PREFIX,
    QUEUE_HOST,
    ZONES,
    CannotRunError,
    Cell,
    running_cell,
)
from review.lab.worker import Machine, Run, run_clock

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
_LIMIT_S = 115
_RETRIES = 4


class Case:
    """What a case has at hand.

    ``trouble`` tells whether the disruption is to take place.  ``accepted``
    maps the ids of jobs that were answered with 2xx to the time of that.
    """

    def __init__(self, folder: Path) -> None:
        """Open the record."""
        self.folder = folder
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.random = Random(27)
        self.accepted: dict[str, float] = {}
        self.cell: Cell | None = None
        self.machines: list[Machine] = []
        self.tasks: set[asyncio.Task] = set()

    def record(self, event: str, **fields: Any) -> None:
        """Add a line to the record."""
        at = time.monotonic() - self.began
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.lines.append(f'{at:8.3f} {event} {text}')

    def save(self) -> None:
        """Write the record."""
        text = '\n'.join(self.lines)
        (self.folder / 'record.txt').write_text(f'{text}\n', 'utf-8')

    @property
    def runs(self) -> list[Run]:
        """All runs on all workers."""
        return [run for one in self.machines for run in one.history]

    def background(self, work: Any) -> asyncio.Task:
        """Run a coroutine beside the case."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        return task


def new_id(case: Case) -> str:
    """Return a new job id."""
    return f'{case.random.getrandbits(64):016x}'


def job(count: int = 2, work_s: Any = 1.0, **more: Any) -> dict[str, Any]:
    """Return a job of one step."""
    step = {'count': count, 'cpu': 1000, 'memMb': 256, 'estimateMs': 1000}
    step |= more.pop('step', {})
    return {'spec': json.dumps({'work_s': work_s}), 'steps': [step], **more}


async def request(
    case: Case, method: str, name: str, document: Any = None, turn: int = 0
) -> tuple[int, Any]:
    """Send one request of a client to an edge machine; record it."""
    entry = case.cell.entries[turn % len(case.cell.entries)]
    case.record('sent', method=method, job=name, entry=entry)
    status, body = await web.call(
        entry,
        method,
        PREFIX + name,
        document,
        {'Host': QUEUE_HOST, 'X-Deadline-Ms': '3000'},
    )
    case.record('answered', method=method, job=name, status=status, body=body)
    return status, body


async def submit(
    case: Case, document: dict[str, Any], name: str = ''
) -> tuple[str, int]:
    """Hand a job in as a client does, with retries; return id and status."""
    name = name or new_id(case)
    status = 0
    for turn in range(_RETRIES + 1):
        status, _ = await request(
            case, 'POST', name, document, turn + len(case.lines)
        )
        if status == 200:
            case.accepted[name] = time.monotonic()
            break
        if status not in {0, 429, 502, 503, 504}:
            break
        await asyncio.sleep(0.5)
    return name, status


async def wait_for(
    case: Case, is_true: Callable[[], bool], seconds: float, what: str
) -> None:
    """Wait for what must happen before the case can begin."""
    until = time.monotonic() + seconds
    while not is_true():
        if time.monotonic() > until:
            raise CannotRunError(f'waited {seconds} s for {what}')
        await asyncio.sleep(0.05)


@asynccontextmanager
async def running_workers(
    case: Case, cell: Cell, count: int
) -> AsyncGenerator[None, None]:
    """Run workers until the end of the case."""
    case.cell = cell
    case.machines = [
        Machine(cell, number, case.record, ZONES[number % len(ZONES)])
        for number in range(1, count + 1)
    ]
    for machine in case.machines:
        await machine.boot(f'i-{machine.number:08x}')
    case.background(run_clock(case.machines))
    try:
        yield
    finally:
        for task in case.tasks:
            task.cancel()


async def _run(
    case: Case, workers: int, play: Callable[[Case], Awaitable[int]]
) -> int:
    # Ends the programs also when the script is told to stop.
    stop = asyncio.current_task().cancel
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
    async with (
        asyncio.timeout(_LIMIT_S),
        running_cell() as cell,
        running_workers(case, cell, workers),
    ):
        await asyncio.sleep(3.0)
        case.record('case begins', trouble=case.trouble)
        return await play(case)


def main(
    path: str, workers: int, play: Callable[[Case], Awaitable[int]]
) -> None:
    """Play a case that lies beside ``path``; exit with its result."""
    case = Case(Path(path).resolve().parent)
    try:
        result = asyncio.run(_run(case, workers, play))
    except (Exception, asyncio.CancelledError) as exc:
        # Also an error of the script itself: it must not look like a fault.
        case.record('cannot run', why=repr(exc))
        result = CANNOT_RUN
    words = {HELD: 'held', BROKEN: 'broken', CANNOT_RUN: 'could not run'}
    case.record(f'result: {words[result]}')
    case.save()
    sys.stdout.write('\n'.join(case.lines[-6:]) + '\n')
    sys.exit(result)
