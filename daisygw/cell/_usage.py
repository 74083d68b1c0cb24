"""Sizes that tasks hold on targets, and that customers have running."""

from daisygw.contracts import ZERO_SIZE, Size, Step, minus, plus


def task_size(step: Step) -> Size:
    """Return the capacity that a task of the step holds on a target.

    Tasks of a step that ``fills`` hold memory and accelerators only.
    """
    if step.fills:
        return Size(0, step.size.memory, step.size.accelerators, 0)
    return step.size


def add_usage(usage: dict[str, Size], customer: str, size: Size) -> None:
    """Count a task that a customer has running."""
    _store(usage, customer, plus(usage.get(customer, ZERO_SIZE), size))


def remove_usage(usage: dict[str, Size], customer: str, size: Size) -> None:
    """Stop counting a task that a customer has running."""
    _store(usage, customer, minus(usage.get(customer, ZERO_SIZE), size))


def _store(usage: dict[str, Size], customer: str, size: Size) -> None:
    """Keep no entry for a customer with nothing running."""
    usage[customer] = size
    if size == ZERO_SIZE:
        usage.pop(customer)
