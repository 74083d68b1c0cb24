"""Customers' rates: which of their jobs are surplus, and when to return.

A customer's weight is the number of its jobs per second that are within its
rate.  Jobs beyond it do not count towards the rate, so that a customer which
sends too many still gets its rate.
"""

from collections import defaultdict, deque
from collections.abc import Iterable

# Length of the sliding window: a customer may send its jobs of this time (s) at
# once.
RATE_WINDOW_S = 5.0
# Lower bound of the rate (1/s) in divisions.
_LEAST_RATE = 0.001
# Longest time until a refused caller is to return: a surge is over by then.
MAX_RETURN_S = 10.0


class CustomerRates:
    """When customers' jobs within their rates were accepted, by customer (s).

    ``return_at`` is when the newest refused caller of each is to return.
    ``in_rate_waits`` tells whether work within the rates waited for capacity
    at the end of the latest placement pass.
    """

    def __init__(self) -> None:
        """Begin without any job."""
        self.accepted: dict[str, deque[float]] = defaultdict(deque)
        self.return_at: dict[str, float] = {}
        self.in_rate_waits = False


def interval_of(weight: float) -> float:
    """Return the mean time between two jobs of a customer at its rate (s)."""
    return 1 / max(weight, _LEAST_RATE)


def window_of(weight: float) -> float:
    """Return the length of a customer's window (s), one interval at least."""
    return max(RATE_WINDOW_S, interval_of(weight))


def exceeds_rate(accepted: Iterable[float], weight: float, now: float) -> bool:
    """Tell whether one more job exceeds a rate of ``weight`` jobs per second.

    ``accepted`` has the times of earlier jobs within the rate.
    """
    window = window_of(weight)
    return sum(now - at < window for at in accepted) >= weight * window


def count_accepted(rates: CustomerRates, customer: str, at: float) -> None:
    """Count an accepted job that was within its customer's rate."""
    rates.accepted[customer].append(at)


def forget_old(
    rates: CustomerRates, customer: str, weight: float, now: float
) -> None:
    """Drop the times before a customer's window."""
    accepted = rates.accepted[customer]
    while accepted and now - accepted[0] >= window_of(weight):
        accepted.popleft()


def return_delay(
    rates: CustomerRates, customer: str, weight: float, now: float
) -> float:
    """Return after which time (s) a refused caller is to return.

    The first one returns when the rate allows another job, the next ones at
    the rate after it, all of them within ``MAX_RETURN_S``.
    """
    accepted = rates.accepted[customer]
    oldest = accepted[0] if accepted else now
    return_at = max(
        oldest + window_of(weight),
        rates.return_at.get(customer, now) + interval_of(weight),
    )
    rates.return_at[customer] = min(return_at, now + MAX_RETURN_S)
    return rates.return_at[customer] - now
