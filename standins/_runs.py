"""The state of a simulated target: attempts, term, lease and counts."""

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

_MS_PER_S = 1000
# Used until the first acknowledgement gives the values of the policy.
_DEFAULT_LEASE_S = 6.0
_DEFAULT_MAX_ORDER_AGE_S = 3.0
# How long after its start an ended and reported attempt is remembered.
_KEEP_ENDED_RUNS_S = 600.0


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """A start order as it was received.

    ``announced`` numbers the target's announcement that it was based on; the
    order's age counts from the time at which that was sent.
    """

    key: TaskKey
    attempt: int
    term: int
    incarnation: str
    announced: int
    size: Size


class Run:
    """One attempt to run a task on this target.

    ``code`` is its result code and ``answer`` its answer once it has ended.
    """

    def __init__(self, order: ReceivedOrder, at: float) -> None:
        """Create an attempt that starts at ``at`` (s, monotonic clock)."""
        self.order = order
        self.at = at
        self.ended = asyncio.Event()
        self.code = 0
        self.answer = b''
        self.task: asyncio.Task | None = None


class Observations:
    """Counts of what the target executed and refused, for test assertions.

    ``starts`` counts by task, ``refused`` by reason.  ``overlaps`` names tasks
    that started while another attempt of them ran, ``over_capacity`` those
    that did not fit into the free capacity.  ``started_leaving`` counts starts
    on a leaving target.  A span is (task, attempt, start, end), times in s.
    """

    def __init__(self) -> None:
        """Create empty counts."""
        self.starts: Counter[str] = Counter()
        self.overlaps: list[str] = []
        self.over_capacity: list[str] = []
        self.refused: Counter[str] = Counter()
        self.started_leaving = 0
        self.peak = ZERO_SIZE
        self.spans: list[tuple[str, int, float, float]] = []


class Target:
    """A simulated target.

    ``number`` is that of its newest announcement, ``heard`` that of the newest
    acknowledged one, and ``sent`` holds when each was sent (s).  ``every`` is
    the interval between announcements (s).  ``held`` is the capacity in use,
    ``reports`` the ended attempts that are not acknowledged yet.
    ``slowness`` multiplies run times.
    """

    def __init__(self, spec: TargetSpec) -> None:
        """Create a target without a lease, with nothing running."""
        self.spec = spec
        self.term = 0
        self.number = 0
        self.heard = 0
        self.sent: dict[int, float] = {}
        self.lease_end = float('-inf')
        self.lease = _DEFAULT_LEASE_S
        self.order_age = _DEFAULT_MAX_ORDER_AGE_S
        self.every = 1.0
        self.runs: dict[tuple[TaskKey, int], Run] = {}
        self.newest: dict[TaskKey, int] = {}
        self.reports: dict[tuple[TaskKey, int], EndedAttempt] = {}
        self.held = ZERO_SIZE
        self.observations = Observations()
        self.fails = False
        self.slowness = 1.0
        self.answers_to_truncate = 0


def task_name(key: TaskKey) -> str:
    """Return a task's name as ``job/index``."""
    return f'{key.job}/{key.index}'


def rejection_reason(target: Target, order: ReceivedOrder, now: float) -> str:
    """Return why an order is rejected; empty if it is accepted."""
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


def record_rejection(target: Target, order: ReceivedOrder, reason: str) -> None:
    """Record a rejection.

    Unless the order was for another incarnation or of an older term, the
    attempt is recorded as ended, so that a repeated order cannot start it.
    """
    target.observations.refused[reason] += 1
    if reason in {'incarnation', 'term'}:
        return
    run = Run(order, time.monotonic())
    target.runs[order.key, order.attempt] = run
    _record_end(target, run, ResultCode.NOT_STARTED, b'')


def start_attempt(target: Target, order: ReceivedOrder, body: bytes) -> Run:
    """Start an attempt as a background task."""
    now = time.monotonic()
    run = Run(order, now)
    target.term = max(target.term, order.term)
    target.newest[order.key] = order.attempt
    target.runs[order.key, order.attempt] = run
    _record_start(target, order)
    target.held = plus(target.held, order.size)
    run.task = asyncio.ensure_future(_execute(target, run, body))
    return run


def _record_start(target: Target, order: ReceivedOrder) -> None:
    observations = target.observations
    observations.starts[task_name(order.key)] += 1
    observations.started_leaving += int(target.spec.leaving)
    for other in target.runs.values():
        same = other.order.key == order.key
        if same and other.task and not other.ended.is_set():
            observations.overlaps.append(task_name(order.key))
    free = minus(target.spec.capacity, target.held)
    if not fits(order.size, free):
        observations.over_capacity.append(task_name(order.key))


async def _execute(target: Target, run: Run, body: bytes) -> None:
    params = _parse_body(body)
    wait = params.get('ms', 0) / _MS_PER_S * target.slowness
    forever = params.get('forever', False)
    try:
        await asyncio.sleep(float('inf') if forever else wait)
    except asyncio.CancelledError:
        return
    if target.fails or params.get('fail'):
        finish(target, run, ResultCode.TASK_FAILED, b'')
        return
    finish(target, run, ResultCode.ANSWERED, _answer(run, params, body))


def _parse_body(body: bytes) -> dict[str, Any]:
    try:
        params = json.loads(body)
    except ValueError:
        return {}
    return params if isinstance(params, dict) else {}


def _answer(run: Run, params: dict[str, Any], body: bytes) -> bytes:
    prefix = f'{task_name(run.order.key)}:'.encode()
    length = params.get('answer_bytes', 0)
    if length:
        return (prefix * (length // len(prefix) + 1))[:length]
    return prefix + params.get('say', '').encode('utf-8')


def finish(target: Target, run: Run, code: int, answer: bytes) -> None:
    """Record the end of a running attempt and release its capacity."""
    if run.ended.is_set():
        return
    target.held = minus(target.held, run.order.size)
    now = time.monotonic()
    key = run.order.key
    target.observations.spans.append((
        task_name(key),
        run.order.attempt,
        run.at,
        now,
    ))
    _record_end(target, run, code, answer)


def _record_end(target: Target, run: Run, code: int, answer: bytes) -> None:
    order = run.order
    took_ms = int((time.monotonic() - run.at) * _MS_PER_S)
    run.code = int(code)
    run.answer = answer
    run.ended.set()
    ended = EndedAttempt(order.key, order.attempt, run.code, took_ms)
    target.reports[order.key, order.attempt] = ended


def stop_run(target: Target, run: Run, code: int) -> None:
    """Cancel a running attempt and record its end with ``code``."""
    if run.task:
        run.task.cancel()
    finish(target, run, code, b'')


def stop_if_lease_expired(target: Target, now: float) -> None:
    """Stop all running attempts if the lease has expired."""
    if now < target.lease_end:
        return
    for run in list(target.runs.values()):
        if not run.ended.is_set():
            stop_run(target, run, ResultCode.WORKER_LOST)


def next_announcement(target: Target) -> Announcement:
    """Return the next announcement, and record when it was sent."""
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


def apply_acknowledgement(
    target: Target,
    announcement: Announcement,
    acknowledgement: dict[str, Any],
) -> None:
    """Extend the lease and drop acknowledged reports.

    The lease counts from the time at which the announcement was sent.
    """
    number = announcement.number
    target.heard = max(target.heard, number)
    target.lease = acknowledgement['lease']
    target.order_age = acknowledgement['order_age']
    target.every = acknowledgement['every']
    end = target.sent[number] + target.lease
    target.lease_end = max(target.lease_end, end)
    for ended in announcement.ended:
        target.reports.pop((ended.key, ended.attempt), None)
    for old in [one for one in target.sent if one < number - 100]:
        target.sent.pop(old)
    _forget_ended_runs(target, time.monotonic())


def _forget_ended_runs(target: Target, now: float) -> None:
    for name, run in list(target.runs.items()):
        old = run.ended.is_set() and now - run.at > _KEEP_ENDED_RUNS_S
        if old and name not in target.reports:
            target.runs.pop(name)
            target.newest.pop(name[0], None)


def mark_leaving(target: Target) -> None:
    """Refuse new attempts from now on."""
    target.spec = replace(target.spec, leaving=True)


def _running_spans(target: Target) -> list[tuple[str, int, float, float]]:
    now = time.monotonic()
    return [
        (task_name(run.order.key), run.order.attempt, run.at, now)
        for run in target.runs.values()
        if not run.ended.is_set()
    ]


def counts(target: Target) -> dict[str, Any]:
    """Return the observations as a JSON object, for test assertions."""
    observations = target.observations
    return {
        'name': target.spec.name,
        'starts': dict(observations.starts),
        'overlaps': observations.overlaps,
        'over_capacity': observations.over_capacity,
        'refused': dict(observations.refused),
        'started_leaving': observations.started_leaving,
        'spans': [*observations.spans, *_running_spans(target)],
        'running': sum(not run.ended.is_set() for run in target.runs.values()),
    }
