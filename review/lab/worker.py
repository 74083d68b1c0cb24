"""A sound worker as PROTOCOL.md describes it, and its machine.

A worker is one life.  Its machine can go dark (nothing is answered and
connections stay open), be cut off (all bytes wait until the cut ends), and
start a worker again, under the same id or another one.
"""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.lab import web
from review.lab.cell import SERVICE, WORKER, Cell

_MS = 1000
# PROTOCOL.md: ends are returned 500 at a time.
ENDS_PAGE = 500
_HOLD_MAX_MS = 10_000
_HEARTBEAT_S = 1.5
_POLL_S = 0.01
# Heartbeats are acknowledged within a second.
_ACK_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Run:
    """One run of a task on one life of a worker; times are monotonic (s)."""

    worker: str
    task: str
    number: int
    started: float
    due: float
    ended: float | None = None
    how: str = 'running'
    position: int = 0
    # When ``ackCursor`` reached its end, and whether the lease had lapsed
    # between the two.
    noted: float | None = None
    lapsed_between: bool = False


@dataclass(slots=True)
class Life:
    """One life of a worker: what it holds and knows."""

    name: str
    born_ms: int
    born: float
    capacity: dict[str, int]
    fence: int = 0
    lease_ms: int = 0
    lapsed_at: float = float('-inf')
    position: int = 0
    sequence: int = 0
    running: dict[str, Run] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)
    ends: list[Run] = field(default_factory=list)

    def clock(self, now: float) -> int:
        """Return the worker's own clock (ms)."""
        return int((now - self.born) * _MS)


Record = Callable[..., None]


class Machine:
    """A machine at one address that runs one worker at a time."""

    def __init__(
        self, cell: Cell, number: int, record: Record, zone: str
    ) -> None:
        """Create the machine; ``boot`` starts its worker."""
        self.cell = cell
        self.number = number
        self.record = record
        self.zone = zone
        self.host = cell.worker_host(number)
        self.server = web.Server(self._handle)
        self.life: Life | None = None
        self.dark = False
        self.history: list[Run] = []
        self.stop_s = 0.05
        self.last_start = 0.0
        self.capacity = {'cpu': 64_000, 'memMb': 262_144, 'gpu': 0}
        self.heartbeats: asyncio.Task | None = None

    async def boot(self, name: str) -> None:
        """Start a worker: it listens, and then announces itself."""
        now = time.monotonic()
        self.life = Life(name, int(time.time() * _MS), now, self.capacity)
        self.dark = False
        self.record('worker up', worker=name, born=self.life.born_ms)
        self.server.reset()
        if self.server.listener is None:
            await self.server.listen(self.host, WORKER)
        self.heartbeats = asyncio.ensure_future(self._send_heartbeats())

    def crash(self) -> None:
        """End the worker without a word: its connections go silent."""
        advance(self, time.monotonic())
        now = time.monotonic()
        for run in self.life.running.values():
            run.ended, run.how = now, 'crashed'
        self.life.running.clear()
        self.record('worker crashed', worker=self.life.name)
        self.heartbeats.cancel()
        self.life = None
        self.dark = True

    def cut(self) -> None:
        """Cut the machine off: all bytes from and to it wait."""
        self.record('cut begins', worker=self.life.name)
        self.server.passing.clear()

    def join(self) -> None:
        """End the cut."""
        self.record('cut ends', worker=self.life.name)
        self.server.passing.set()

    async def _handle(self, request: web.Request) -> tuple[int, Any] | None:
        life = self.life
        if self.dark or life is None:
            return None
        _, path, headers, body = request
        expected = headers.get('x-expected-instance', life.name)
        if expected != life.name:
            return 421, self._body(life)
        handler = {
            '/run-start': self._start,
            '/run-stop': self._stop,
            '/hold': self._hold,
        }.get(path)
        if handler is None or not isinstance(body, dict):
            return 404, None
        answer = await handler(life, body)
        return answer if self.life is life else None

    def _body(self, life: Life, **more: Any) -> dict[str, Any]:
        return {'clockMs': life.clock(time.monotonic()), **more}

    def _refuse(self, life: Life, reason: str) -> tuple[int, Any]:
        return 409, self._body(life, reason=reason)

    async def _start(self, life: Life, order: dict) -> tuple[int, Any]:
        now = time.monotonic()
        advance(self, now)
        task, number = order['task'], order['runNumber']
        if order['fencingToken'] < life.fence:
            return self._refuse(life, 'fence')
        life.fence = order['fencingToken']
        if order['deadlineMs'] <= life.clock(now):
            return self._refuse(life, 'late')
        _extend(life, now, order['deadlineMs'])
        known = life.running.get(task)
        if known and known.number == number:
            return 200, self._body(life)
        if known or number <= life.highest.get(task, 0):
            return self._refuse(life, 'old')
        work = json.loads(order['spec'] or '{}').get('work_s', 1.0)
        if isinstance(work, list):
            low, high, index = *work, int(task.rpartition('.')[2])
            work = low + (high - low) * ((index * 7919) % 1000) / 1000
        run = Run(life.name, task, number, now, now + work)
        life.running[task] = run
        self.last_start = now
        self.history.append(run)
        self.record('run starts', worker=life.name, task=task, run=number)
        return 200, self._body(life)

    async def _stop(self, life: Life, order: dict) -> tuple[int, Any]:
        advance(self, time.monotonic())
        task, number = order['task'], order['runNumber']
        if order['fencingToken'] < life.fence:
            return self._refuse(life, 'fence')
        life.fence = order['fencingToken']
        life.highest[task] = max(life.highest.get(task, 0), number)
        run = life.running.get(task)
        if run and run.number <= number:
            await asyncio.sleep(self.stop_s)
            advance(self, time.monotonic())
            if life.running.get(task) is run:
                _end(self, life, run, time.monotonic(), 'stopped')
        return 200, self._body(life)

    async def _hold(self, life: Life, order: dict) -> tuple[int, Any]:
        now = time.monotonic()
        until = now + min(order.get('waitMs', 0), 2 * _MS) / _MS
        advance(self, now)
        if order['fencingToken'] < life.fence:
            return self._refuse(life, 'fence')
        life.fence = order['fencingToken']
        if 'deadlineMs' in order:
            _extend(life, now, order['deadlineMs'])
        _forget(self, life, now, order['ackCursor'])
        while not life.ends and time.monotonic() < until:
            await asyncio.sleep(_POLL_S)
            if self.life is not life:
                return 200, None
            advance(self, time.monotonic())
        active = [
            [run.task, run.number, '', 0, 0] for run in life.running.values()
        ]
        ends = [
            [run.position, run.task, run.number, run.how, '']
            for run in life.ends[:ENDS_PAGE]
        ]
        return 200, self._body(
            life, born=life.born_ms, active=active, finished=ends
        )

    async def _send_heartbeats(self) -> None:
        life = self.life
        turn = self.number
        while True:
            await self.server.passing.wait()
            life.sequence += 1
            address = self.cell.controls[turn % len(self.cell.controls)]
            path = f'/instances/{life.name}'
            status, _ = await web.call(
                address,
                'PUT',
                path,
                report(self, life),
                timeout=_ACK_TIMEOUT_S,
            )
            if status == 200:
                await asyncio.sleep(_HEARTBEAT_S)
            else:
                turn += 1
                await asyncio.sleep(0.05)


def report(machine: Machine, life: Life) -> dict[str, Any]:
    """Return what a worker says about itself."""
    return {
        'service': SERVICE,
        'address': f'{machine.host}:{WORKER}',
        'zone': machine.zone,
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldRemainingMs': 0,
        'capacity': life.capacity,
        'labels': ['a', f'r1-{machine.number // 8}'],
        'clockMs': life.clock(time.monotonic()),
        'born': life.born_ms,
        'sequence': life.sequence,
    }


def _extend(life: Life, now: float, deadline: int) -> None:
    longest = life.clock(now) + _HOLD_MAX_MS
    life.lease_ms = max(life.lease_ms, min(deadline, longest))


def _end(machine: Machine, life: Life, run: Run, at: float, how: str) -> None:
    life.running.pop(run.task)
    life.position += 1
    run.ended, run.how, run.position = at, how, life.position
    life.ends.append(run)
    life.highest[run.task] = max(life.highest.get(run.task, 0), run.number)
    machine.record(
        'run ends', worker=life.name, task=run.task, run=run.number, how=how
    )


def _forget(machine: Machine, life: Life, now: float, cursor: int) -> None:
    """Forget the ends up to ``cursor``: they are taken note of."""
    while life.ends and life.ends[0].position <= cursor:
        run = life.ends.pop(0)
        run.noted = now
        run.lapsed_between = life.lapsed_at >= run.ended
        machine.record(
            'end noted',
            worker=life.name,
            task=run.task,
            run=run.number,
            how=run.how,
        )


def advance(machine: Machine, now: float) -> None:
    """End the runs that are done, and kill all when the lease expires."""
    life = machine.life
    if life is None:
        return
    lapse = life.born + life.lease_ms / _MS
    due = sorted(life.running.values(), key=lambda run: run.due)
    for run in due:
        if run.due <= min(now, lapse):
            _end(machine, life, run, run.due, 'done')
    if lapse <= now:
        life.lapsed_at = lapse
        for run in list(life.running.values()):
            _end(machine, life, run, lapse, 'lapsed')


async def run_clock(machines: list[Machine]) -> None:
    """Let time pass on all machines, also while nobody asks."""
    while True:
        for machine in machines:
            advance(machine, time.monotonic())
        await asyncio.sleep(_POLL_S)
