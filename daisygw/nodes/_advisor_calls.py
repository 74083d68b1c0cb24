"""Calls to the placement advisor that the processes make for the leader.

The advisor serves the calls of one process in turn, so the leader spreads them
over the processes that it hears.  A call ends with the answer of its caller,
which also reports a failure, or when the caller is lost.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from math import ceil
from typing import Any

from daisygw.cell import LONG_CALL_S
from daisygw.contracts import AdviceRequest, AdviceResponse
from daisygw.links.processes import Link
from daisygw.nodes._entry import ADVISOR_QUEUE_TIMEOUT_S

# The share of the processes that long calls may use; the others stay free for
# short calls.
_LONG_CALL_SHARE = 0.75
# A process that sent nothing for this long is not asked to call: two heartbeats
# of a link and some margin.
_MAX_SILENCE_S = 0.6
# The calls of one that sent nothing for this long fail; a link that is only
# slow has more time.
_LOST_SILENCE_S = 0.9
# A call fails this long after its caller should have given it up: a few turns
# of both processes.
_TIMEOUT_MARGIN_S = 0.6
# How often the callers of open calls are checked.
_CHECK_INTERVAL_S = 0.1
# After a check that was late by this much, this process has been suspended, and
# what it received meanwhile is read before the next one.
_SUSPENDED_S = 0.2


@dataclass(frozen=True, slots=True)
class _OpenCall:
    """A call that ``caller`` makes; it fails at ``timeout_at`` (s).

    ``link`` is the one that the request was sent on.
    """

    request: AdviceRequest
    caller: str
    link: Link | None
    timeout_at: float


class AdvisorCalls:
    """The open calls by correlation id, and the expected end of each caller's.

    ``callers`` returns the processes heard within a time (s) by name, with
    their links (None: this process).  ``on_answer`` takes each answer,
    ``start_task`` runs a coroutine.  ``busy_until`` is the loop time (s) at
    which a process will have finished its calls.  The callers are checked
    while calls are open.
    """

    def __init__(
        self,
        callers: Callable[[float], dict[str, Link | None]],
        on_answer: Callable[[AdviceResponse], None],
        start_task: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        """Begin without open calls."""
        self.callers = callers
        self.on_answer = on_answer
        self.start_task = start_task
        self.open: dict[int, _OpenCall] = {}
        self.busy_until: dict[str, float] = {}
        self.checked = False


def long_callers(calls: AdvisorCalls) -> int:
    """Return how many processes make long calls."""
    return _long_share(len(calls.callers(_MAX_SILENCE_S)))


def _long_share(processes: int) -> int:
    return ceil(_LONG_CALL_SHARE * processes)


def assign_call(calls: AdvisorCalls, request: AdviceRequest) -> Link | None:
    """Assign a call to the process that is free first; return its link."""
    now = asyncio.get_running_loop().time()
    callers = calls.callers(_MAX_SILENCE_S)
    names = sorted(callers)
    if request.work > LONG_CALL_S:
        names = names[: _long_share(len(names))]
    overdue = _overdue_callers(calls, now)
    caller = min(
        names,
        key=lambda name: (
            name in overdue,
            max(calls.busy_until.get(name, 0), now),
        ),
    )
    calls.busy_until[caller] = (
        max(calls.busy_until.get(caller, 0), now) + request.work
    )
    # The caller gives up earlier and says so.
    timeout = request.work + ADVISOR_QUEUE_TIMEOUT_S + _TIMEOUT_MARGIN_S
    link = callers[caller]
    calls.open[request.seq] = _OpenCall(request, caller, link, now + timeout)
    if not calls.checked:
        calls.checked = True
        calls.start_task(_check_callers(calls))
    return link


def _overdue_callers(calls: AdvisorCalls, now: float) -> set[str]:
    """Return the processes that should have answered all their calls."""
    return {
        call.caller
        for call in calls.open.values()
        if calls.busy_until.get(call.caller, 0) <= now
    }


def end_call(calls: AdvisorCalls, answer: AdviceResponse) -> None:
    """Pass an answer on; its caller turns to its next call now.

    After a call that failed, the advisor may still work on it.
    """
    call = calls.open.pop(answer.seq, None)
    if call and answer.answered:
        remaining = sum(
            other.request.work
            for other in calls.open.values()
            if other.caller == call.caller
        )
        now = asyncio.get_running_loop().time()
        calls.busy_until[call.caller] = now + remaining
    calls.on_answer(answer)


async def _check_callers(calls: AdvisorCalls) -> None:
    """End the calls of lost callers as failed, while calls are open."""
    loop = asyncio.get_running_loop()
    try:
        while calls.open:
            due = loop.time() + _CHECK_INTERVAL_S
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if loop.time() - due < _SUSPENDED_S:
                _end_lost_calls(calls, loop.time())
    finally:
        calls.checked = False


def _end_lost_calls(calls: AdvisorCalls, now: float) -> None:
    heard = calls.callers(_LOST_SILENCE_S)
    for call in list(calls.open.values()):
        lost = call.caller not in heard or heard[call.caller] is not call.link
        if lost or now >= call.timeout_at:
            end_call(calls, AdviceResponse(call.request.seq, answered=False))
