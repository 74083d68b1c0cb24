"""Limits on what teams and customers have running, and their shares.

Teams of a deployment have quotas, customers of a cell have limits; both have
weights.
"""

from daisygw.contracts._size import (
    Size,
    dominant_share,
    fits,
    minus,
    plus,
)

# Stands for no limit on a resource; more than any cell has.
_UNLIMITED = 1_000_000_000_000_000
# What a weight of 0 counts as: it leaves the smallest share.
_MIN_WEIGHT = 1e-6


def limit_without_zeros(limit: Size) -> Size:
    """Return a customer's limit with a large number where there is none.

    A resource of 0 has no limit, and slots have none.
    """
    return Size(
        limit.cpus or _UNLIMITED,
        limit.memory or _UNLIMITED,
        limit.accelerators or _UNLIMITED,
        _UNLIMITED,
    )


def is_within(held: Size, need: Size, limit: Size) -> bool:
    """Tell whether ``need`` may be added to ``held`` within a limit."""
    return fits(plus(held, need), limit)


def fit_count(need: Size, free: Size, most: int) -> int:
    """Return how many times ``need`` fits into ``free``, up to ``most``.

    Slots do not count.
    """
    for needed, available in (
        (need.cpus, free.cpus),
        (need.memory, free.memory),
        (need.accelerators, free.accelerators),
    ):
        if needed:
            most = min(most, available // needed)
    return max(most, 0)


def count_within(held: Size, need: Size, limit: Size, most: int) -> int:
    """Return how many times ``need`` may be added to ``held``, up to ``most``.

    It is 0 while ``held`` exceeds the limit in any resource, needed or not.
    """
    if not fits(held, limit):
        return 0
    return fit_count(need, minus(limit, held), most)


def weighted_share(held: Size, capacity: Size, weight: float) -> float:
    """Return the dominant share of ``capacity`` that is held, per weight."""
    return dominant_share(held, capacity) / max(weight, _MIN_WEIGHT)
