"""Customers' shares of a cell that is full.

A customer's weight is its share of the capacity, and its rate: the jobs that it
sends beyond the rate are surplus.  Surplus starts after all other work, where
capacity is free, and is refused while other work waits for capacity.  Other
work is placed by urgency; among steps of about the same urgency, the customer
that has the smaller share of the cell in relation to its weight comes first.
"""

from collections.abc import Callable, Iterable
from functools import reduce
from math import log

from daisygw.cell._admission import Refusal
from daisygw.cell._capacity import FreeCapacity, is_mostly_free
from daisygw.cell._cost import HORIZON_S
from daisygw.cell._leader import CellLeader, WaitingStep
from daisygw.cell._rates import (
    is_bucket_empty,
    return_delay,
    take_token,
)
from daisygw.cell._waits import NO_CAPACITY, wait_cause
from daisygw.contracts import (
    ZERO_SIZE,
    ResultCode,
    Size,
    plus,
    weighted_share,
)

# Steps are about equally urgent if the logarithms of what their delays cost lie
# in the same interval of this length: half a second of slack.
_COST_INTERVAL = 0.5 / HORIZON_S
# Cost, as a negative rank, of steps whose delay costs nothing more.
_WORTHLESS_COST = 1e8
# Places surplus after all other work.
_SURPLUS_COST = 1e9
# The cost of a delay is divided by what a customer has beyond this multiple of
# its share.
EXCESSIVE_SHARE = 2.0
# What a weight of 0 counts as.
_MIN_WEIGHT = 1e-6
# Weight of jobs without a customer, and of those whose customer was removed.
_DEFAULT_WEIGHT = 1.0
# Lower bound of a weight in divisions.
_LEAST_WEIGHT = 0.001


def is_surplus(waiting: WaitingStep) -> bool:
    """Tell whether a step's job exceeded its customer's rate."""
    return waiting.job.enqueued.surplus


def reading_shares(lead: CellLeader) -> Callable[[str], float]:
    """Return a function that reads a customer's share of the cell by its name.

    The share is a multiple of the one that its weight gives it.  All shares are
    0 in a cell without customers.
    """
    cell = lead.cell
    if not cell.customers:
        return lambda name: 0
    capacities = (target.instance.capacity for target in cell.targets.values())
    capacity = reduce(plus, capacities, ZERO_SIZE)
    total = sum(customer.weight for customer in cell.customers.values())
    total = max(total, _MIN_WEIGHT)
    known: dict[str, tuple[Size | None, float]] = {}

    def share_of(name: str) -> float:
        held = cell.customer_usage.get(name)
        earlier, share = known.get(name, (None, 0))
        if held is earlier:
            return share
        customer = cell.customers.get(name)
        weight = customer.weight if customer else _DEFAULT_WEIGHT
        weight = max(weight, _LEAST_WEIGHT)
        share = weighted_share(held or ZERO_SIZE, capacity, weight) * total
        known[name] = (held, share)
        return share

    return share_of


def cost_with_share(waiting: WaitingStep, cost: float, share: float) -> float:
    """Return a step's cost, as a negative rank, with its customer's share.

    The cost is divided by the excess of the share; surplus comes last.
    """
    if cost > _WORTHLESS_COST:
        cost = _WORTHLESS_COST
    elif share > EXCESSIVE_SHARE:
        cost += log(share / EXCESSIVE_SHARE)
    return cost + _SURPLUS_COST if waiting.job.enqueued.surplus else cost


def fair_key(
    waiting: WaitingStep, urgency: tuple[float, float], share: float
) -> tuple[float, float, float]:
    """Return a sort key that also counts a customer's share.

    ``urgency`` is the step's sort key without shares: what its delay costs, as
    a negative rank, and its latest useful start (s).
    """
    cost, due = urgency
    cost = cost_with_share(waiting, cost, share)
    return (cost // _COST_INTERVAL, share, due)


def is_over_rate(lead: CellLeader, customer: str) -> bool:
    """Tell whether one more job of a customer would be surplus."""
    known = lead.cell.customers.get(customer)
    if known is None:
        return False
    return is_bucket_empty(lead.rates, customer, known.weight, lead.now)


def count_in_rate(lead: CellLeader, customer: str) -> None:
    """Count a job that was accepted now, within its customer's rate."""
    known = lead.cell.customers.get(customer)
    if known is not None:
        take_token(lead.rates, customer, known.weight, lead.now)


def surplus_refusal(lead: CellLeader, customer: str) -> Refusal | None:
    """Refuse a surplus job while other work waits for capacity.

    In a cell that is mostly free that work lacks something else than room, such
    as targets of one kind.
    """
    if not lead.waiting or not lead.rates.in_rate_waits or is_mostly_free(lead):
        return None
    weight = lead.cell.customers[customer].weight
    delay = return_delay(lead.rates, customer, weight, lead.now)
    reason = f'the customer sends more than {weight:g} jobs per second'
    return (ResultCode.OVERLOADED, delay, reason)


def note_shortage(
    lead: CellLeader,
    free_capacity: FreeCapacity,
    considered: Iterable[WaitingStep],
) -> None:
    """Note whether steps within the rates still wait for capacity."""
    lead.rates.in_rate_waits = bool(lead.cell.customers) and any(
        wait_cause(lead, free_capacity, waiting) == NO_CAPACITY
        for waiting in considered
        if waiting.state.key in lead.waiting and not is_surplus(waiting)
    )
