"""Customers' rates: which of their jobs are surplus, and when to return.

A customer's weight is the number of its jobs per second that are within its
rate.  They are counted as by a token bucket, which allows some jobs at once.
Jobs beyond the rate take no token, so that a customer which sends too many
still gets its rate in each second.
"""

# Time (s) whose jobs a customer may send at once, and the least number of them:
# the customers of small weights do not send at even intervals.
BURST_S = 1.0
BURST_JOBS = 5
# Lower bound of the rate (1/s) in divisions.
_LEAST_RATE = 0.001
# Part of a token that rounding may take away.
_ROUNDING = 0.001
# Longest time until a refused caller is to return: a surge is over by then.
MAX_RETURN_S = 10.0


class CustomerRates:
    """The token buckets of all customers.

    ``full_at`` is when each bucket is full again if nothing more is sent (s),
    and ``return_at`` when the newest refused caller of each is to return.
    ``in_rate_waits`` tells whether work within the rates waited for capacity
    at the end of the latest placement pass.
    """

    def __init__(self) -> None:
        """Begin with full buckets."""
        self.full_at: dict[str, float] = {}
        self.return_at: dict[str, float] = {}
        self.in_rate_waits = False


def interval_of(weight: float) -> float:
    """Return the mean time between two jobs of a customer at its rate (s)."""
    return 1 / max(weight, _LEAST_RATE)


def burst_of(weight: float) -> float:
    """Return in which time (s) an empty bucket is full."""
    return max(BURST_S, BURST_JOBS * interval_of(weight))


def is_bucket_empty(
    rates: CustomerRates, customer: str, weight: float, now: float
) -> bool:
    """Tell whether one more job exceeds a rate of ``weight`` (1/s)."""
    tolerance = _ROUNDING * interval_of(weight)
    return _wait(rates, customer, weight, now) > tolerance


def take_token(
    rates: CustomerRates, customer: str, weight: float, at: float
) -> None:
    """Count a job within its customer's rate that was accepted at ``at`` (s).

    The jobs of each customer are counted in order.
    """
    full_at = max(rates.full_at.get(customer, at), at)
    rates.full_at[customer] = full_at + interval_of(weight)


def _wait(
    rates: CustomerRates, customer: str, weight: float, now: float
) -> float:
    """Return after which time (s) the bucket has a token, 0 or less if now."""
    full_at = max(rates.full_at.get(customer, now), now)
    return full_at + interval_of(weight) - burst_of(weight) - now


def return_delay(
    rates: CustomerRates, customer: str, weight: float, now: float
) -> float:
    """Return after which time (s) a refused caller is to return.

    The first one returns when the bucket has a token, the next ones at the
    rate after it, all of them within ``MAX_RETURN_S``.
    """
    return_at = max(
        now + _wait(rates, customer, weight, now),
        rates.return_at.get(customer, now) + interval_of(weight),
    )
    rates.return_at[customer] = min(return_at, now + MAX_RETURN_S)
    return rates.return_at[customer] - now
