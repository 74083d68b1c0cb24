"""What it costs callers to delay a step: a pure estimate.

A caller loses most of a job's value when a step of it starts after ``due``,
and the rest when it starts after ``worthless_at``.  This loss, per unit of work
that it takes to avoid it, is the cost of delaying the step; a limit that is
farther away counts less.  All costs decay at the same rate, so the order of
two steps changes only when one of them passes a limit: ``rank`` needs no
clock in between.
"""

from dataclasses import dataclass
from math import exp, inf, isfinite, log

# Shares of a job's value that are lost at ``due`` and at ``worthless_at``.
LOSS_WHEN_LATE = 0.8
LOSS_WHEN_WORTHLESS = 0.2
# Each priority level divides the value by this.
PRIORITY_FACTOR = 2.0
# Time (s) in which about the whole capacity of a busy cell is freed once: a
# limit that is farther away than this can be met by work that starts later.
HORIZON_S = 3.0
# Bounds of values and of work, in shares of the cell times seconds: the
# logarithm is defined, and an estimate of 0 does not outrank everything.
_MIN_WORK = 1e-9
_MAX_WORK = 1e12
_MIN_HORIZON_S = 1e-3
# Bounds of exponents, so that nothing overflows.
_MAX_EXPONENT = 700.0
_MAX_PRIORITY = 64


@dataclass(frozen=True, slots=True)
class Stake:
    """What a caller loses by a delay, and the work that avoids the loss.

    ``value`` and ``work`` are in shares of the cell times seconds; ``due`` and
    ``worthless_at`` are the latest starts (s).
    """

    value: float
    work: float
    due: float
    worthless_at: float


def job_value(work: float, priority: int) -> float:
    """Return a job's value, in the unit of ``work``; priority 0 is the highest.

    A part that does not grow with the work would place small jobs before large
    ones of the same urgency, and wide gangs would end late.
    """
    return _bounded(work) / PRIORITY_FACTOR ** min(
        max(priority, 0), _MAX_PRIORITY
    )


def _bounded(amount: float) -> float:
    """Return an amount of work within the bounds; the least if it is none."""
    return max(_MIN_WORK, min(_MAX_WORK, amount))


def rank(stake: Stake, now: float, horizon: float = HORIZON_S) -> float:
    """Return the logarithm of the cost at time 0; it is -inf without a loss.

    Of two ranks at the same ``now`` (s) the higher is that of the step whose
    delay costs more.  A rank changes only where ``next_limit`` is passed.
    """
    late_limit = max(stake.worthless_at, stake.due)
    # A comparison with a value that is not a number is false.
    known = -inf < stake.due and late_limit < inf and horizon < inf
    if not known or not now <= late_limit:
        return -inf
    horizon = max(horizon, _MIN_HORIZON_S)
    per_work = log(_bounded(stake.value) / _bounded(stake.work))
    if now > stake.due:
        return per_work + log(LOSS_WHEN_WORTHLESS) - late_limit / horizon
    later = LOSS_WHEN_WORTHLESS * exp((stake.due - late_limit) / horizon)
    return per_work + log(LOSS_WHEN_LATE + later) - stake.due / horizon


def next_limit(stake: Stake, now: float) -> float:
    """Return the next time (s) at which ``rank`` changes."""
    if now <= stake.due:
        return stake.due
    return stake.worthless_at if now <= stake.worthless_at else inf


def delay_cost(stake: Stake, now: float, horizon: float = HORIZON_S) -> float:
    """Return the cost of delaying a step at ``now`` (s), 0 or above."""
    time_zero = rank(stake, now, horizon)
    if time_zero == -inf or not isfinite(now):
        return 0
    exponent = time_zero + now / max(horizon, _MIN_HORIZON_S)
    return exp(min(exponent, _MAX_EXPONENT))
