"""Orders of a kind that wait to be sent, in turn over their targets."""

from collections import Counter
from collections.abc import Callable, Generator
from contextlib import contextmanager
from math import ceil
from typing import Any

from daisygw.cell import Run

# Orders that are open at a target that leaves them unanswered.
_SILENT_ORDERS = 1


class OrderQueue:
    """Orders by run that wait to be sent, and those that are open.

    ``limit_of`` returns how many may be open at a target (key), ``most_open``
    is how many may be open at all: each target has an equal share of these.
    ``waiting`` has the orders by target, the oldest first, and ``ready`` the
    targets whose next order may be sent, in the order of their turns.  The
    ``silent`` targets left their last order unanswered.  ``senders`` tasks send
    orders, each one at a time.
    """

    def __init__(self, most_open: int, limit_of: Callable[[str], int]) -> None:
        """Begin empty."""
        self.most_open = most_open
        self.limit_of = limit_of
        self.waiting: dict[str, dict[Run, Any]] = {}
        self.ready: dict[str, None] = {}
        self.open: set[Run] = set()
        self.open_at: Counter[str] = Counter()
        self.silent: set[str] = set()
        self.senders = 0


def add_order(queue: OrderQueue, order: Any) -> None:
    """Add an order, unless one for the same run waits or is open."""
    if order.run in queue.open:
        return
    key = order.run.instance
    queue.waiting.setdefault(key, {}).setdefault(order.run, order)
    _update_turn(queue, key)


def _update_turn(queue: OrderQueue, key: str) -> None:
    """Give a target a turn if it has an order that may be sent, or none."""
    waits = bool(queue.waiting.get(key))
    if waits and queue.open_at[key] < _limit(queue, key):
        queue.ready.setdefault(key)
    else:
        queue.ready.pop(key, None)


def _limit(queue: OrderQueue, key: str) -> int:
    """Return how many orders may be open at a target, at least 1."""
    targets = max(len(queue.waiting), len(queue.open_at))
    limit = min(queue.limit_of(key), ceil(queue.most_open / targets))
    return min(limit, _SILENT_ORDERS) if key in queue.silent else limit


def note_answer(queue: OrderQueue, key: str, *, answered: bool) -> None:
    """Note whether a target has answered an order that is still open."""
    if answered:
        queue.silent.discard(key)
    else:
        queue.silent.add(key)


@contextmanager
def taking_order(queue: OrderQueue) -> Generator[Any, None, None]:
    """Take the oldest order of the target whose turn it is; one is ready.

    It counts as open until the context ends.
    """
    key = next(iter(queue.ready))
    queue.ready.pop(key)
    orders = queue.waiting[key]
    order = orders.pop(next(iter(orders)))
    if not orders:
        queue.waiting.pop(key)
    queue.open.add(order.run)
    queue.open_at[key] += 1
    _update_turn(queue, key)
    try:
        yield order
    finally:
        _close_order(queue, key, order.run)


def _close_order(queue: OrderQueue, key: str, run: Run) -> None:
    queue.open.discard(run)
    queue.open_at[key] -= 1
    if not queue.open_at[key]:
        queue.open_at.pop(key)
        if key not in queue.waiting:
            queue.silent.discard(key)
    _update_turn(queue, key)
