"""What a leader knows of the load on its cell."""

from collections import Counter

from daisygw.contracts import ZERO_SIZE


class CellLoad:
    """The capacity of a leader's cell and the work that is sent to it.

    ``capacity`` is that of the usable targets.  The next caller that is
    refused for the advisor's time is to return at ``next_return_at`` (s), and
    one that is refused for want of room at ``next_room_at``.  ``backlog`` holds
    the work that waited at ``backlog_at`` (s), and that of the jobs since then,
    by steps of the rank.
    """

    def __init__(self) -> None:
        """Begin without knowledge."""
        self.capacity = ZERO_SIZE
        self.next_return_at = float('-inf')
        self.next_room_at = float('-inf')
        self.backlog_at = float('-inf')
        self.backlog: Counter[int] = Counter()
