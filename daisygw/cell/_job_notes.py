"""What a leader notes about jobs beside the log."""

from collections import deque


class JobNotes:
    """Confirmed starts that are not recorded, and cancels of unknown jobs.

    ``started`` names jobs of which a target has confirmed a start that is not
    in the log yet; it is from ``starts_due`` (s) on.  ``early_cancels`` lists
    cancels that are in the log (since when, customer, job), the oldest first.
    """

    def __init__(self) -> None:
        """Begin without notes."""
        self.started: set[str] = set()
        self.starts_due = float('inf')
        self.early_cancels: deque[tuple[float, str, str]] = deque()
