"""Carrying out a leader's effects: renewals, orders and advice."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager, suppress
from functools import partial
from math import ceil
from types import MappingProxyType
from typing import Any

from daisygw.cell import (
    CellLeader,
    EndsCommitted,
    LogEvent,
    OrderOutcome,
    Probe,
    StartOrder,
    StartResult,
    StopOrder,
    TargetState,
    acknowledge_ends,
    next_renewal,
    on_advice,
    on_renewal_failure,
    on_renewal_reply,
    on_started,
    on_stopped,
    start_deadline,
)
from daisygw.contracts import AdviceRequest, AdviceResponse, LinkError
from daisygw.links import log
from daisygw.links.processes import Link, post, running
from daisygw.nodes import _clock
from daisygw.nodes._entry import give_advice
from daisygw.nodes._meters import count
from daisygw.nodes._scheduler import SchedulerNode, fence_of
from daisygw.zones import holds_leader_lease

# The pause after a renewal that brought no answer, s; it doubles up to the
# second one, which is a quarter of a lease.
_SILENCE_PAUSE = 0.2
# Longest pause before a silent target is looked at again, s: a lease lasts 8.
_LONGEST_PAUSE = 1.0
# How often the set of targets is looked at, s.
_LOOK = 0.1
# How long the commit of listed ends is waited for before the next look, s.
_COMMIT_WAIT = 0.5
# How much longer than it should take the leader waits for advice, s: a few
# turns of both processes.
_ADVICE_SLACK = 0.6
# Calls to the advisor that take longer than this (s) are left to this share
# of its callers, so that short ones find a free one at any time.
_LONG_CALL = 0.3
# The part of callers that long calls may take; the rest is for starts and
# renewals.
_LONG_SHARE = 0.75
# A process that was not heard for this long is not asked to call the
# advisor, s: two pulses of a link and some slack.
_SILENT_CALLER = 0.6


class Orders:
    """What the leader's process has under way."""

    def __init__(self, node: SchedulerNode) -> None:
        """Begin with nothing under way."""
        self.node = node
        self.holds: dict[str, asyncio.Task] = {}
        self.noted = asyncio.Event()
        self.busy: dict[str, float] = {}


def _lead(orders: Orders) -> CellLeader | None:
    """Return the leader's state, if this process surely leads now."""
    node = orders.node
    lead = node.state.lead
    if lead is None or not holds_leader_lease(node.group.replica, _clock.now()):
        return None
    lead.now = _clock.now()
    return lead


def _still_leads(orders: Orders, lead: CellLeader) -> bool:
    """Tell whether an answer may still be taken in the same term."""
    if orders.node.state.lead is not lead:
        return False
    lead.now = _clock.now()
    orders.node.wake.set()
    return True


def _spawn(orders: Orders, work: Any) -> None:
    task = asyncio.ensure_future(work)
    background_tasks = orders.node.background_tasks
    background_tasks.add(task)
    task.add_done_callback(partial(_done, background_tasks))


def _done(background_tasks: set[asyncio.Task], task: asyncio.Task) -> None:
    background_tasks.discard(task)
    if not task.cancelled() and task.exception():
        log('errand failed', error=repr(task.exception()))


async def _hold_once(
    orders: Orders, lead: CellLeader, target: TargetState
) -> None:
    renewal = next_renewal(lead, target)
    sent = _clock.now()
    try:
        holding = await orders.node.calls.hold(
            target.instance, fence_of(orders.node), renewal
        )
    except LinkError as exc:
        if _still_leads(orders, lead) and target.key in lead.lease_states:
            on_renewal_failure(lead, target)
            await asyncio.sleep(_pause_after(lead, target, exc))
        return
    if _still_leads(orders, lead) and target.key in lead.lease_states:
        on_renewal_reply(lead, target, holding, sent)
        await _until_noted(orders, lead, target)


def _pause_after(
    lead: CellLeader, target: TargetState, exc: LinkError
) -> float:
    """Return how long to leave a target that did not answer alone (s)."""
    failures = lead.lease_states[target.key].failures
    if failures == 1:
        log('renewal failed', target=target.key, reason=exc.reason)
    return min(_SILENCE_PAUSE * 2 ** (failures - 1), _LONGEST_PAUSE)


async def _until_noted(
    orders: Orders, lead: CellLeader, target: TargetState
) -> None:
    """Wait until the ends that were listed are durable."""
    until = _clock.now() + _COMMIT_WAIT
    lease_state = lead.lease_states.get(target.key)
    while lease_state and lease_state.noted < target.position:
        left = until - _clock.now()
        if left <= 0:
            return
        with suppress(TimeoutError):
            await asyncio.wait_for(orders.noted.wait(), left)


async def _hold(orders: Orders, lead: CellLeader, target: TargetState) -> None:
    """Renew a target's lease for as long as this process leads."""
    while orders.node.state.lead is lead and target.key in lead.lease_states:
        if _lead(orders) is None:
            await asyncio.sleep(_LOOK)
            continue
        await _hold_once(orders, lead, target)


async def _watch_targets(orders: Orders) -> None:
    lead = None
    while True:
        if orders.node.state.lead is not lead:
            for task in orders.holds.values():
                task.cancel()
            orders.holds.clear()
            lead = orders.node.state.lead
        if lead:
            _hold_all(orders, lead)
        await asyncio.sleep(_LOOK)


def _hold_all(orders: Orders, lead: CellLeader) -> None:
    for key, target in lead.cell.targets.items():
        task = orders.holds.get(key)
        if (task is None or task.done()) and key in lead.lease_states:
            hold = asyncio.ensure_future(_hold(orders, lead, target))
            hold.add_done_callback(partial(_hold_ended, key))
            orders.holds[key] = hold
    for key in set(orders.holds) - set(lead.cell.targets):
        orders.holds.pop(key).cancel()


def _hold_ended(key: str, task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception():
        log('renewal ended', target=key, error=repr(task.exception()))


async def _start(orders: Orders, order: StartOrder) -> None:
    lead = _lead(orders)
    target = lead.cell.targets.get(order.run.instance) if lead else None
    deadline = start_deadline(lead, order.run) if target else None
    if deadline is None:
        return
    sent = _clock.now()
    try:
        outcome, reason = await orders.node.calls.start(
            target.instance, order, deadline, fence_of(orders.node)
        )
    except LinkError as exc:
        outcome, reason = OrderOutcome.NO_ANSWER, exc.reason
    if _still_leads(orders, lead):
        on_started(lead, StartResult(order, outcome, sent, reason))


async def _stop(orders: Orders, order: StopOrder) -> None:
    lead = _lead(orders)
    target = lead.cell.targets.get(order.run.instance) if lead else None
    if target is None:
        return
    fence = fence_of(orders.node)
    try:
        outcome = await orders.node.calls.stop(
            target.instance, order.run, fence
        )
    except LinkError as exc:
        log('stop failed', id=order.run.step.job, reason=exc.reason)
        return
    if _still_leads(orders, lead):
        on_stopped(lead, order.run, outcome)


def _advisers(node: SchedulerNode) -> dict[str, Link | None]:
    """Return who may call the advisor: links by peer, none for itself."""
    since = asyncio.get_running_loop().time() - _SILENT_CALLER
    found: dict[str, Link | None] = {
        name: link
        for name, link in node.sessions.items()
        if link.up and link.heard > since
    }
    found[node.cfg.host] = None
    return found


def _ask_advice(orders: Orders, ask: AdviceRequest) -> None:
    """Let the process call that is free first."""
    now = _clock.now()
    advisers = _advisers(orders.node)
    names = sorted(advisers)
    if ask.work > _LONG_CALL:
        names = names[: ceil(_LONG_SHARE * len(names))]
    best = min(names, key=lambda name: max(orders.busy.get(name, 0), now))
    orders.busy[best] = max(orders.busy.get(best, 0), now) + ask.work
    link = advisers[best]
    if link is None:
        _spawn(orders, _advise_here(orders, ask))
    else:
        post(link, ask)
    _spawn(orders, _expire(orders, ask, orders.busy[best] - now))


async def _advise_here(orders: Orders, ask: AdviceRequest) -> None:
    _take_advice(orders, await give_advice(orders.node.calls, ask))


async def _expire(orders: Orders, ask: AdviceRequest, expected: float) -> None:
    """Give up advice that did not come in the time expected (s)."""
    await asyncio.sleep(expected + _ADVICE_SLACK)
    _take_advice(orders, AdviceResponse(ask.seq, answered=False))


def _take_advice(orders: Orders, answer: AdviceResponse) -> None:
    lead = orders.node.state.lead
    if lead and _still_leads(orders, lead):
        on_advice(lead, answer)


async def _advise_for(orders: Orders, link: Link, ask: AdviceRequest) -> None:
    post(link, await give_advice(orders.node.calls, ask))


def _note(orders: Orders, ends: EndsCommitted) -> None:
    if orders.node.state.lead:
        acknowledge_ends(orders.node.state.lead, ends)
        orders.noted.set()
        orders.noted = asyncio.Event()


async def _probe(orders: Orders, probe: Probe) -> None:
    lead = _lead(orders)
    target = lead.cell.targets.get(probe.instance) if lead else None
    if target and target.key in lead.lease_states:
        await _hold_once(orders, lead, target)


def _log_decision(orders: Orders, decided: LogEvent) -> None:
    fields = dict(decided.fields)
    log(decided.event, **fields)
    count(orders.node.meters, decided.event, fields)


_EFFECTS = MappingProxyType({
    AdviceRequest: _ask_advice,
    LogEvent: _log_decision,
    Probe: lambda orders, probe: _spawn(orders, _probe(orders, probe)),
    EndsCommitted: _note,
    StartOrder: lambda orders, order: _spawn(orders, _start(orders, order)),
    StopOrder: lambda orders, order: _spawn(orders, _stop(orders, order)),
    tuple: lambda orders, asked: _spawn(orders, _advise_for(orders, *asked)),
})


def _carry_out(orders: Orders, effect: Any) -> None:
    _EFFECTS[type(effect)](orders, effect)


@asynccontextmanager
async def executing_effects(
    node: SchedulerNode,
) -> AsyncGenerator[Orders, None]:
    """Carry out the leader's effects while the body runs."""
    orders = Orders(node)
    node.effects = partial(_carry_out, orders)
    async with running(_watch_targets(orders)):
        yield orders
    for task in (*orders.holds.values(), *node.background_tasks):
        task.cancel()
