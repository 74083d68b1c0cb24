"""What the placement advisor has answered, and what it was asked."""

from dataclasses import dataclass

from daisygw.contracts import StepKey


class Approval:
    """The placement advisor's answers about a step, by target instance.

    A ticket is the token of an approval, which a start order must carry.
    ``tickets`` holds it with its expiry on the leader's clock (s).  The step
    intends to start on the ``chosen`` targets once ``calls`` are answered.
    """

    def __init__(self) -> None:
        """Begin without answers or open calls."""
        self.tickets: dict[str, tuple[str, float]] = {}
        self.denied: set[str] = set()
        self.chosen: frozenset[str] = frozenset()
        self.calls = 0
        self.retry_at = float('-inf')


@dataclass(frozen=True, slots=True)
class PendingAdvice:
    """A request to the advisor about a step, sent at ``sent_at`` (s).

    ``targets`` are target keys; the call takes the advisor ``work`` (s).
    """

    step: StepKey
    targets: tuple[str, ...]
    sent_at: float
    work: float
