"""What the clients of an HTTP server may make a process hold."""

import resource
from collections import Counter
from dataclasses import dataclass
from typing import Any

from daisygw.links._eviction import Holding, choose_idle, choose_largest
from daisygw.links._logs import log

_MIB = 1_048_576
# Memory (MiB) and descriptors of a process that are not for callers: the
# program itself, and its files, links and calls.
_OWN_MEMORY_MIB = 96
_OWN_DESCRIPTORS = 200
# Part of the remaining memory for requests: each is held up to twice while it
# is decoded, and the rest is for the work that they cause.
_MEMORY_PART = 0.25
# Part of the remaining descriptors for connections of clients.
_DESCRIPTOR_PART = 0.6
# Bounds of the budget: a configuration of 8 MiB and a heartbeat of 4 MiB at
# least.
_MIN_BYTES = 16_777_216
_MAX_BYTES = 134_217_728
_MIN_CONNECTIONS = 32
# Memory of a connection without any request (bytes).
_CONNECTION_BYTES = 16_384
# Memory of a host whose settings name none (MiB).
DEFAULT_MEMORY_MIB = 1024
# The last part of a budget is for small requests (bytes): ordinary callers are
# served while large ones use the rest.
_RESERVED_PART = 0.2
SMALL_REQUEST_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """The most that clients may make a process hold: bytes, connections."""

    held: int
    connections: int


def budget_limits(memory_mib: float, descriptors: int) -> BudgetLimits:
    """Derive the limits from a host's memory (MiB) and descriptors."""
    spare = max(memory_mib - _OWN_MEMORY_MIB, 0) * _MIB * _MEMORY_PART
    held = int(min(max(spare, _MIN_BYTES), _MAX_BYTES))
    free_descriptors = max(descriptors - _OWN_DESCRIPTORS, 0)
    connections = min(
        int(free_descriptors * _DESCRIPTOR_PART), held // _CONNECTION_BYTES
    )
    return BudgetLimits(held, max(connections, _MIN_CONNECTIONS))


def descriptor_limit() -> int:
    """Return how many descriptors this process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


class HttpBudget:
    """What the clients of one server make the process hold.

    ``connections`` are all open ones and ``held`` the bytes of their requests;
    ``refused`` counts the refusals and evictions by cause.
    """

    def __init__(self, limits: BudgetLimits | None = None) -> None:
        """Begin without connections."""
        self.limits = limits or budget_limits(
            DEFAULT_MEMORY_MIB, descriptor_limit()
        )
        self.connections: set[Any] = set()
        self.held = 0
        self.refused: Counter[str] = Counter()
        self.logged: Counter[str] = Counter()


def has_room(budget: HttpBudget, size: int, added: int) -> bool:
    """Tell whether a request of ``size`` bytes may grow by ``added`` ones."""
    return _missing(budget, size, added) <= 0


def _missing(budget: HttpBudget, size: int, added: int) -> int:
    """Return how many bytes have to be freed for it."""
    reserved = int(budget.limits.held * _RESERVED_PART)
    if size + added <= SMALL_REQUEST_BYTES:
        reserved = 0
    return budget.held + added + reserved - budget.limits.held


def victims_for_bytes(
    budget: HttpBudget,
    holdings: list[Holding],
    size: int,
    added: int,
    now: float,
) -> list[Any]:
    """Return the connections to evict so that a request may grow.

    ``size`` and ``added`` are as in ``has_room``.
    """
    missing = _missing(budget, size, added)
    return choose_largest(holdings, missing, budget.limits.held, now)


def victims_for_connection(
    budget: HttpBudget, holdings: list[Holding], now: float
) -> list[Any]:
    """Return the connections to evict for one that has been accepted."""
    return choose_idle(holdings, budget.limits.connections, now)


def log_refusals(budget: HttpBudget) -> None:
    """Log what was refused since the last call, one line per cause."""
    for cause, total in budget.refused.items():
        count = total - budget.logged[cause]
        if count:
            log(
                'clients refused',
                cause=cause,
                count=count,
                held=budget.held,
                connections=len(budget.connections),
            )
    budget.logged = budget.refused.copy()
