"""Targets of like speed for gangs, which are as slow as their slowest one."""

from collections.abc import Mapping

# Targets are of like speed if their run times differ by at most this factor.
# Learned speeds err by about 5 percent.
LIKE_SPEED = 1.3
# Assumed approval rate of a queue before the first answer.
INITIAL_APPROVAL_RATE = 0.3


def slowest_needed(
    slowness: Mapping[str, float], room: Mapping[str, float], needed: float
) -> float | None:
    """Return the slowness of the slowest of the fastest targets needed.

    None: all of them together have too little room.
    """
    total = 0.0
    for key in sorted(slowness, key=slowness.__getitem__):
        total += room[key]
        if total >= needed:
            return slowness[key]
    return None
