"""What a leader knows of the load on its cell."""

from daisygw.contracts import ZERO_SIZE


class CellLoad:
    """The capacity of a leader's cell and the work that is sent to it.

    ``capacity`` is that of the usable targets, ``mean_work`` by queue the
    moving average of a job's work (share of the capacity times s), and
    ``typical_work`` the value of it that ranks use; ``version`` rises when one
    of these changes.  The next caller that
    is refused for the advisor's time is to return at ``next_return_at`` (s),
    and one that is refused for want of room at ``next_room_at``.  Of the steps
    that waited at ``backlog_at`` (s), ``backlog_ranks`` holds the negative
    ranks in order, and ``backlog_sums`` the work up to each; for the jobs since
    then, ``backlog_added`` holds rank and work.
    """

    def __init__(self) -> None:
        """Begin without knowledge."""
        self.capacity = ZERO_SIZE
        self.mean_work: dict[str, float] = {}
        self.typical_work: dict[str, float] = {}
        self.version = 0
        self.next_return_at = float('-inf')
        self.next_room_at = float('-inf')
        self.backlog_at = float('-inf')
        self.backlog_ranks: list[float] = []
        self.backlog_sums: list[float] = []
        self.backlog_added: list[tuple[float, float]] = []
