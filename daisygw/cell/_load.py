"""What a leader knows of the load on its cell."""

from daisygw.contracts import ZERO_SIZE


class CellLoad:
    """The capacity of a leader's cell and the work that is sent to it.

    ``capacity`` is that of the usable targets, ``typical_work`` by queue the
    mean work of a job (share of the capacity times s).  The next caller that
    is refused for the advisor's time is to return at ``next_return_at`` (s).
    """

    def __init__(self) -> None:
        """Begin without knowledge."""
        self.capacity = ZERO_SIZE
        self.typical_work: dict[str, float] = {}
        self.next_return_at = float('-inf')
