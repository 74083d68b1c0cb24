"""Which connections a process closes when clients make it hold too much.

Answers three loads: many large bodies that stop short of their end, many that
are sent at the same time, and many connections without any request.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# A connection that has sent nothing for this long (s) makes no progress:
# longer than a lost packet needs to be sent again.
STALLED_S = 1.0
# Part of a budget that one round of evictions frees, so that the search for
# them is not repeated for each packet.
_FREED_PART = 0.125


@dataclass(frozen=True, slots=True)
class Holding:
    """What a connection holds: ``size`` in bytes, ``active_at`` in s.

    ``served`` tells whether a request on it has been answered, and
    ``processing`` whether a whole request has not been answered yet.
    """

    conn: Any
    size: int
    active_at: float
    served: bool
    processing: bool


def choose_largest(
    holdings: Iterable[Holding], needed: int, budget: int, now: float
) -> list[Any]:
    """Return connections to close so that ``needed`` bytes (or more) are free.

    Those without progress go first, of these the largest.  A whole request
    is not given up: its caller may already rely on it.
    """
    candidates = [one for one in holdings if one.size and not one.processing]
    candidates.sort(key=lambda one: (_is_stalled(one, now), one.size))
    freed = 0
    goal = max(needed, int(budget * _FREED_PART))
    chosen = []
    while candidates and freed < goal:
        victim = candidates.pop()
        freed += victim.size
        chosen.append(victim.conn)
    return chosen if freed >= needed else []


def choose_idle(
    holdings: Iterable[Holding], most: int, now: float
) -> list[Any]:
    """Return connections to close so that new ones have descriptors.

    Connections that were never answered go first, then those that have been
    silent for longest; none that has a whole request.  Where all others make
    progress with a request, the one that has been silent for longest goes:
    clients that send a byte now and then would keep all others out.
    """
    candidates = [one for one in holdings if not one.processing]
    idle = [one for one in candidates if not one.size or _is_stalled(one, now)]
    idle.sort(key=lambda one: (one.served, one.active_at))
    count = max(1, int(most * _FREED_PART))
    slowest = sorted(candidates, key=lambda one: one.active_at)[:1]
    return [one.conn for one in idle[:count] or slowest]


def _is_stalled(holding: Holding, now: float) -> bool:
    return now - holding.active_at >= STALLED_S
