"""Resource sizes: what a task needs and what a worker has."""

from dataclasses import dataclass

_NO_LIMIT = float('inf')


@dataclass(frozen=True, slots=True)
class Size:
    """An amount of each resource.

    Units: ``cpus`` in millicores, ``memory`` in MiB,
    ``accelerators`` whole, ``slots`` whole (tasks at a time).
    """

    cpus: int = 0
    memory: int = 0
    accelerators: int = 0
    slots: int = 1


ZERO_SIZE = Size(slots=0)


def fits(need: Size, free: Size) -> bool:
    """Return whether ``need`` fits into ``free`` in every resource."""
    return (
        need.slots <= free.slots
        and need.cpus <= free.cpus
        and need.memory <= free.memory
        and need.accelerators <= free.accelerators
    )


def plus(left: Size, right: Size) -> Size:
    """Add two sizes, resource by resource."""
    return Size(
        left.cpus + right.cpus,
        left.memory + right.memory,
        left.accelerators + right.accelerators,
        left.slots + right.slots,
    )


def minus(left: Size, right: Size) -> Size:
    """Subtract ``right`` from ``left``, resource by resource."""
    return Size(
        left.cpus - right.cpus,
        left.memory - right.memory,
        left.accelerators - right.accelerators,
        left.slots - right.slots,
    )


def times(size: Size, count: int) -> Size:
    """Multiply a size by a whole ``count``."""
    return Size(
        size.cpus * count,
        size.memory * count,
        size.accelerators * count,
        size.slots * count,
    )


def count_fitting(size: Size, capacity: Size) -> int:
    """Return how many tasks of ``size`` fit into ``capacity``."""
    share = dominant_share(size, capacity)
    if not fits(size, capacity) or share == 0:
        return 0
    return int(1 / share)


def dominant_share(used: Size, capacity: Size) -> float:
    """Return the largest share (0 to 1) of a resource of ``capacity``."""
    return max(
        used.cpus / (capacity.cpus or _NO_LIMIT),
        used.memory / (capacity.memory or _NO_LIMIT),
        used.accelerators / (capacity.accelerators or _NO_LIMIT),
        used.slots / (capacity.slots or _NO_LIMIT),
    )
