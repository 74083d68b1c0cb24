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
    current_lead,
    start_background_task,
    still_leads,
)
from daisygw.nodes._order_queue import (
    OrderQueue,
    add_order,
    note_answer,
    taking_order,
)


def queue_start(executor: EffectExecutor, order: StartOrder) -> None:
    """Send a start, or queue it while many others are open.

    The leader orders a start again that was not sent for a while.
    """
    _queue_order(executor, executor.starts, order, _start)


def queue_stop(executor: EffectExecutor, order: StopOrder) -> None:
    """Send a stop, or queue it while many others are open.

    The leader orders a stop again until it is confirmed.
    """
    _queue_order(executor, executor.stops, order, _stop)


def _queue_order(
    executor: EffectExecutor,
    queue: OrderQueue,
    order: StartOrder | StopOrder,
    send: Callable[[EffectExecutor, Any], Awaitable[None]],
) -> None:
    add_order(queue, order)
    _add_sender(executor, queue, send)


def _add_sender(
    executor: EffectExecutor,
    queue: OrderQueue,
    send: Callable[[EffectExecutor, Any], Awaitable[None]],
) -> None:
    """Send one more order at a time, if one may be sent now."""
    if queue.ready and queue.senders < queue.most_open:
        queue.senders += 1
        start_background_task(executor, _send_orders(executor, queue, send))


async def _send_orders(
    executor: EffectExecutor,
    queue: OrderQueue,
    send: Callable[[EffectExecutor, Any], Awaitable[None]],
) -> None:
    """Send queued orders, the targets in turn, until none may be sent."""
    try:
        while queue.ready:
            with taking_order(queue) as order:
                _add_sender(executor, queue, send)
                await send(executor, order)
    finally:
        queue.senders -= 1


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
    answered = outcome is not OrderOutcome.NO_ANSWER
    note_answer(executor.starts, order.run.instance, answered=answered)
    if still_leads(executor, lead):
        on_started(lead, StartResult(order, outcome, sent, reason))


async def _stop(executor: EffectExecutor, order: StopOrder) -> None:
    lead = current_lead(executor)
    target = lead.cell.targets.get(order.run.instance) if lead else None
    if target is None:
        return
    fence = order_fence(lead, target.key)
    sent = _clock.now()
    try:
        outcome = await executor.node.calls.stop(
            target.instance, order.run, fence
        )
    except LinkError as exc:
        note_answer(executor.stops, target.key, answered=False)
        log(
            'stop failed',
            id=order.run.step.job,
            target=target.key,
            took_s=round(_clock.now() - sent, 3),
            reason=exc.reason,
        )
        return
    note_answer(executor.stops, target.key, answered=True)
    if still_leads(executor, lead):
        on_stopped(lead, order.run, outcome)
