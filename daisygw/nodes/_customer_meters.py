"""Gauges by customer: what each has running, its limit, what waits.

Their labels are the customers of the configuration only, so that no caller can
add any.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from functools import partial

from daisygw.cell import Cell, CellLeader, steps_without_start
from daisygw.contracts import ZERO_SIZE, Size, StepKey
from daisygw.nodes._meters import Meters, add_labelled_gauge
from daisygw.nodes._state_machine import CellState

_MILLICORES = 1000


def add_customer_gauges(meters: Meters, state: CellState) -> None:
    """Register the gauges; what waits is known on the leader only."""
    by_resource = ('customer', 'resource')
    add_labelled_gauge(
        meters,
        'customer_running',
        'What a customer has running',
        by_resource,
        lambda: _running(state.cell),
    )
    add_labelled_gauge(
        meters,
        'customer_limit',
        'What a customer may have running (0: no limit)',
        by_resource,
        lambda: _limits(state.cell),
    )
    for name, held_only in (('waiting', False), ('held', True)):
        add_labelled_gauge(
            meters,
            f'customer_steps_{name}',
            f'Steps of a customer that are {name}',
            ('customer',),
            partial(_steps, state, held_only=held_only),
        )


def _amounts(customer: str, size: Size) -> Iterator[tuple[tuple, float]]:
    """Yield labels and values of a size."""
    yield (customer, 'cores'), size.cpus / _MILLICORES
    yield (customer, 'memory_mib'), size.memory
    yield (customer, 'accelerators'), size.accelerators


def _running(cell: Cell) -> Mapping[tuple, float]:
    return dict(
        row
        for name in cell.customers
        for row in _amounts(name, cell.customer_usage.get(name, ZERO_SIZE))
    )


def _limits(cell: Cell) -> Mapping[tuple, float]:
    return dict(
        row
        for name, customer in cell.customers.items()
        for row in _amounts(name, customer.limit)
    )


def _is_held(lead: CellLeader, key: StepKey) -> bool:
    waiting = lead.waiting.get(key)
    return waiting is not None and waiting.held


def _steps(state: CellState, *, held_only: bool) -> Mapping[tuple, float]:
    lead = state.lead
    steps = steps_without_start(lead) if lead else ()
    counts = Counter(
        state.cell.jobs[key.job].enqueued.customer
        for key in steps
        if not held_only or _is_held(lead, key)
    )
    return {(name,): counts[name] for name in state.cell.customers}
