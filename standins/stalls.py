"""Detection of times when a process itself stood still."""

import asyncio
import time

_CHECK_INTERVAL_S = 0.05
# Shorter delays of a process are not stalls.
_MIN_STALL_S = 0.2


async def watch_stalls(stalls: list[tuple[float, float]]) -> None:
    """Add begin and end (s, monotonic) of each stall, until cancelled."""
    while True:
        began_at = time.monotonic()
        await asyncio.sleep(_CHECK_INTERVAL_S)
        ended_at = time.monotonic()
        if ended_at - began_at > _MIN_STALL_S:
            stalls.append((began_at, ended_at))
