"""Pauses of a process, during which received bytes waited unread.

A process that is stopped, or has no processor time, reads nothing, but its
peers go on sending.
"""

import asyncio
from collections.abc import Generator
from contextlib import contextmanager

_TICK_INTERVAL_S = 0.25
# A tick that is later than this follows a pause.
_MAX_DELAY_S = 0.25
# What has waited during a pause is read within this time after it.
_SETTLING_S = 0.25


class PauseWatch:
    """When a process last ran, and its newest pause (s, loop time)."""

    def __init__(self, now: float) -> None:
        """Begin without a pause."""
        self.ticked_at = now
        self.paused_at = now
        self.resumed_at = float('-inf')


def record_tick(watch: PauseWatch, now: float) -> None:
    """Note that the process runs, and the pause before if there was one."""
    if _is_late(watch, now):
        watch.paused_at = _pause_start(watch)
        watch.resumed_at = now
    watch.ticked_at = now


def waiting_since(watch: PauseWatch, now: float) -> float:
    """Return since when (s) bytes that are read now may have waited."""
    if _is_late(watch, now):
        return _pause_start(watch)
    return watch.paused_at if now - watch.resumed_at < _SETTLING_S else now


def _is_late(watch: PauseWatch, now: float) -> bool:
    return now - watch.ticked_at > _TICK_INTERVAL_S + _MAX_DELAY_S


def _pause_start(watch: PauseWatch) -> float:
    """Return the start of a pause after the last tick.

    What waited during the pause before it may not have been read yet.
    """
    is_settled = watch.ticked_at - watch.resumed_at >= _SETTLING_S
    return watch.ticked_at if is_settled else watch.paused_at


@contextmanager
def watching_pauses() -> Generator[PauseWatch, None, None]:
    """Watch the pauses of the running loop within the context."""
    loop = asyncio.get_running_loop()
    watch = PauseWatch(loop.time())

    def tick() -> None:
        nonlocal timer
        record_tick(watch, loop.time())
        timer = loop.call_later(_TICK_INTERVAL_S, tick)

    timer = loop.call_later(_TICK_INTERVAL_S, tick)
    try:
        yield watch
    finally:
        timer.cancel()
