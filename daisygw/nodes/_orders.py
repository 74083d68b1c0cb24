"""Sends a leader's start and stop orders to targets."""

from collections.abc import Awaitable, Callable
from typing import Any

from daisygw.cell import (
    OrderOutcome,
    StartOrder,
    StartResult,
    StopOrder,
    on_started,
    on_stopped,
    order_fence,
    start_deadline,
)
from daisygw.contracts import LinkError
from daisygw.links import log
from daisygw.nodes import _clock
from daisygw.nodes._executor import (
    EffectExecutor,
    OrderQueue,
    current_lead,
    start_background_task,
    still_leads,
)

# Orders of a kind that are sent at the same time: one turn of the loop that
# begins so many calls takes less than a heartbeat.
_MAX_OPEN_ORDERS = 128


def queue_start(executor: EffectExecutor, order: StartOrder) -> None:
    """Send a start, or queue it while many others are unanswered.

    The leader orders a start again that was not sent for a while.
    """
    _queue_order(executor, executor.starts, order, _start)


def queue_stop(executor: EffectExecutor, order: StopOrder) -> None:
    """Send a stop, or queue it while many others are unanswered.

    The leader orders a stop again until it is confirmed.
    """
    _queue_order(executor, executor.stops, order, _stop)


def _queue_order(
    executor: EffectExecutor,
    queue: OrderQueue,
    order: StartOrder | StopOrder,
    send: Callable[[EffectExecutor, Any], Awaitable[None]],
) -> None:
    queue.waiting.setdefault(order.run, order)
    if queue.open < _MAX_OPEN_ORDERS:
        queue.open += 1
        start_background_task(executor, _send_orders(executor, queue, send))


async def _send_orders(
    executor: EffectExecutor,
    queue: OrderQueue,
    send: Callable[[EffectExecutor, Any], Awaitable[None]],
) -> None:
    """Send queued orders, the oldest first, until none is left."""
    try:
        while queue.waiting:
            oldest = next(iter(queue.waiting))
            await send(executor, queue.waiting.pop(oldest))
    finally:
        queue.open -= 1


async def _start(executor: EffectExecutor, order: StartOrder) -> None:
    lead = current_lead(executor)
    target = lead.cell.targets.get(order.run.instance) if lead else None
    deadline = start_deadline(lead, order.run) if target else None
    if deadline is None:
        return
    sent = _clock.now()
    try:
        outcome, reason = await executor.node.calls.start(
            target.instance, order, deadline, order_fence(lead, target.key)
        )
    except LinkError as exc:
        outcome, reason = OrderOutcome.NO_ANSWER, exc.reason
    if still_leads(executor, lead):
        on_started(lead, StartResult(order, outcome, sent, reason))


async def _stop(executor: EffectExecutor, order: StopOrder) -> None:
    lead = current_lead(executor)
    target = lead.cell.targets.get(order.run.instance) if lead else None
    if target is None:
        return
    fence = order_fence(lead, target.key)
    try:
        outcome = await executor.node.calls.stop(
            target.instance, order.run, fence
        )
    except LinkError as exc:
        log('stop failed', id=order.run.step.job, reason=exc.reason)
        return
    if still_leads(executor, lead):
        on_stopped(lead, order.run, outcome)
