"""The state of a stand-in target: attempts, fences, lease and counts."""

import asyncio
import json
import time
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

from daisygw.contracts import (
    ZERO_SIZE,
    ResultCode,
    Size,
    TaskKey,
    fits,
    minus,
    plus,
)
from daisygw.machines import (
    Announcement,
    EndedAttempt,
    RunningAttempt,
    TargetSpec,
)

_MS = 1000
_LEASE = 6.0
_ORDER_AGE = 3.0
_KEEP = 600.0


@dataclass(frozen=True, slots=True)
class OrderSeen:
    """An order as it came in."""

    key: TaskKey
    attempt: int
    term: int
    incarnation: str
    announced: int
    size: Size


class Run:
    """One attempt at this target."""

    def __init__(self, order: OrderSeen, at: float) -> None:
        """Begin at ``at`` (s, own clock), with no end yet."""
        self.order = order
        self.at = at
        self.ended = asyncio.Event()
        self.code = 0
        self.answer = b''
        self.task: asyncio.Task | None = None


class Judge:
    """What the target saw with its own eyes, for the checks of a trial."""

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self.starts: Counter[str] = Counter()
        self.overlaps: list[str] = []
        self.over_capacity: list[str] = []
        self.refused: Counter[str] = Counter()
        self.started_leaving = 0
        self.peak = ZERO_SIZE
        self.spans: list[tuple[str, int, float, float]] = []


class Target:
    """A stand-in target."""

    def __init__(self, spec: TargetSpec) -> None:
        """Begin unheard, with nothing running."""
        self.spec = spec
        self.term = 0
        self.number = 0
        self.heard = 0
        self.sent: dict[int, float] = {}
        self.lease_end = float('-inf')
        self.lease = _LEASE
        self.order_age = _ORDER_AGE
        self.every = 1.0
        self.runs: dict[tuple[TaskKey, int], Run] = {}
        self.newest: dict[TaskKey, int] = {}
        self.reports: dict[tuple[TaskKey, int], EndedAttempt] = {}
        self.held = ZERO_SIZE
        self.judge = Judge()
        self.fails = False
        self.slowness = 1.0
        self.cuts = 0


def name_of(key: TaskKey) -> str:
    """Return a readable name of a task."""
    return f'{key.job}/{key.index}'


def fault_of(target: Target, order: OrderSeen, now: float) -> str:
    """Return why an order is refused, empty where it is not."""
    sent = target.sent.get(order.announced, float('-inf'))
    if order.incarnation != target.spec.incarnation:
        return 'incarnation'
    if order.term < target.term:
        return 'term'
    if now - sent > target.order_age:
        return 'age'
    if now >= target.lease_end:
        return 'lease'
    if target.spec.leaving:
        return 'leaving'
    if order.attempt < target.newest.get(order.key, 0):
        return 'attempt'
    return ''


def refuse(target: Target, order: OrderSeen, fault: str) -> None:
    """Note a refusal; the attempt never starts here after it."""
    target.judge.refused[fault] += 1
    if fault in {'incarnation', 'term'}:
        return
    run = Run(order, time.monotonic())
    target.runs[order.key, order.attempt] = run
    _close(target, run, ResultCode.NOT_STARTED, b'')


def begin(target: Target, order: OrderSeen, body: bytes) -> Run:
    """Start an attempt."""
    now = time.monotonic()
    run = Run(order, now)
    target.term = max(target.term, order.term)
    target.newest[order.key] = order.attempt
    target.runs[order.key, order.attempt] = run
    _judge_start(target, order)
    target.held = plus(target.held, order.size)
    run.task = asyncio.ensure_future(_work(target, run, body))
    return run


def _judge_start(target: Target, order: OrderSeen) -> None:
    judge = target.judge
    judge.starts[name_of(order.key)] += 1
    judge.started_leaving += int(target.spec.leaving)
    for other in target.runs.values():
        same = other.order.key == order.key
        if same and other.task and not other.ended.is_set():
            judge.overlaps.append(name_of(order.key))
    free = minus(target.spec.capacity, target.held)
    if not fits(order.size, free):
        judge.over_capacity.append(name_of(order.key))


async def _work(target: Target, run: Run, body: bytes) -> None:
    asked = _parse(body)
    wait = asked.get('ms', 0) / _MS * target.slowness
    forever = asked.get('forever', False)
    try:
        await asyncio.sleep(float('inf') if forever else wait)
    except asyncio.CancelledError:
        return
    if target.fails or asked.get('fail'):
        finish(target, run, ResultCode.TASK_FAILED, b'')
        return
    finish(target, run, ResultCode.ANSWERED, _answer(run, asked, body))


def _parse(body: bytes) -> dict[str, Any]:
    try:
        asked = json.loads(body)
    except ValueError:
        return {}
    return asked if isinstance(asked, dict) else {}


def _answer(run: Run, asked: dict[str, Any], body: bytes) -> bytes:
    mark = f'{name_of(run.order.key)}:'.encode()
    length = asked.get('answer_bytes', 0)
    if length:
        return (mark * (length // len(mark) + 1))[:length]
    return mark + asked.get('say', '').encode('utf-8')


def finish(target: Target, run: Run, code: int, answer: bytes) -> None:
    """End a running attempt."""
    if run.ended.is_set():
        return
    target.held = minus(target.held, run.order.size)
    now = time.monotonic()
    key = run.order.key
    target.judge.spans.append((name_of(key), run.order.attempt, run.at, now))
    _close(target, run, code, answer)


def _close(target: Target, run: Run, code: int, answer: bytes) -> None:
    order = run.order
    took = int((time.monotonic() - run.at) * _MS)
    run.code = int(code)
    run.answer = answer
    run.ended.set()
    ended = EndedAttempt(order.key, order.attempt, run.code, took)
    target.reports[order.key, order.attempt] = ended


def stop_run(target: Target, run: Run, code: int) -> None:
    """Stop an attempt before its end."""
    if run.task:
        run.task.cancel()
    finish(target, run, code, b'')


def lapse(target: Target, now: float) -> None:
    """Stop everything where the lease is over."""
    if now < target.lease_end:
        return
    for run in list(target.runs.values()):
        if not run.ended.is_set():
            stop_run(target, run, ResultCode.WORKER_LOST)


def announce(target: Target) -> Announcement:
    """Return the next announcement."""
    target.number += 1
    target.sent[target.number] = time.monotonic()
    running = tuple(
        RunningAttempt(key, attempt)
        for (key, attempt), run in target.runs.items()
        if not run.ended.is_set()
    )
    return Announcement(
        target.spec,
        target.number,
        target.heard,
        running,
        tuple(target.reports.values()),
        target.held,
    )


def acknowledged(
    target: Target,
    said: Announcement,
    taken: dict[str, Any],
) -> None:
    """Take an acknowledgement: the lease runs from when it was sent."""
    number = said.number
    target.heard = max(target.heard, number)
    target.lease = taken['lease']
    target.order_age = taken['order_age']
    target.every = taken['every']
    end = target.sent[number] + target.lease
    target.lease_end = max(target.lease_end, end)
    for ended in said.ended:
        target.reports.pop((ended.key, ended.attempt), None)
    for old in [one for one in target.sent if one < number - 100]:
        target.sent.pop(old)
    _forget(target, time.monotonic())


def _forget(target: Target, now: float) -> None:
    for name, run in list(target.runs.items()):
        old = run.ended.is_set() and now - run.at > _KEEP
        if old and name not in target.reports:
            target.runs.pop(name)
            target.newest.pop(name[0], None)


def leave(target: Target) -> None:
    """Take no new work from now on."""
    target.spec = replace(target.spec, leaving=True)


def _open_spans(target: Target) -> list[tuple[str, int, float, float]]:
    now = time.monotonic()
    return [
        (name_of(run.order.key), run.order.attempt, run.at, now)
        for run in target.runs.values()
        if not run.ended.is_set()
    ]


def counts(target: Target) -> dict[str, Any]:
    """Return what the target saw, for the checks of a trial."""
    judge = target.judge
    return {
        'name': target.spec.name,
        'starts': dict(judge.starts),
        'overlaps': judge.overlaps,
        'over_capacity': judge.over_capacity,
        'refused': dict(judge.refused),
        'started_leaving': judge.started_leaving,
        'spans': [*judge.spans, *_open_spans(target)],
        'running': sum(not run.ended.is_set() for run in target.runs.values()),
    }
