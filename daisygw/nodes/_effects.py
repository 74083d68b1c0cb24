"""Executes a leader's effects: lease renewals, orders, advisor calls."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from functools import partial
from types import MappingProxyType
from typing import Any

from daisygw.cell import (
    RENEWAL_CONNECTIONS,
    CellLeader,
    EndsCommitted,
    LeaseRenewal,
    LogEvent,
    Probe,
    StartOrder,
    StopOrder,
    TargetState,
    acknowledge_ends,
    next_renewal,
    on_renewal_failure,
    on_renewal_reply,
    order_fence,
)
from daisygw.contracts import AdviceRequest, AdviceResponse, LinkError
from daisygw.links import log, log_error
from daisygw.links.processes import Link, post, running
from daisygw.machines import is_disputed
from daisygw.nodes import _clock
from daisygw.nodes._advisor_calls import (
    assign_call,
    end_call,
    long_callers,
)
from daisygw.nodes._entry import call_advisor
from daisygw.nodes._executor import (
    EffectExecutor,
    current_lead,
    start_background_task,
    still_leads,
)
from daisygw.nodes._meters import count
from daisygw.nodes._orders import queue_start, queue_stop
from daisygw.nodes._scheduler import SchedulerNode

# Delay after the first failed lease renewal; each further failure doubles it,
# up to _MAX_RETRY_DELAY_S.
_MIN_RETRY_DELAY_S = 0.2
# Longest delay before an unresponsive target is tried again: a quarter of the
# shortest lease (4 s); the usual lease lasts about 8 s.
_MAX_RETRY_DELAY_S = 1.0
# Bounds the exponent, whatever the number of failures.
_MAX_DOUBLINGS = 10
# How often the set of targets, and the validity of the leader's own lease, are
# checked.
_POLL_INTERVAL_S = 0.1
# Probes of a target that are open at the same time, beside its renewal.
_MAX_OPEN_PROBES = RENEWAL_CONNECTIONS - 1
# How long the next renewal waits for the commit of the ends just listed.
_COMMIT_WAIT_S = 0.5


async def _renew_once(
    executor: EffectExecutor,
    lead: CellLeader,
    target: TargetState,
    renewal: LeaseRenewal,
) -> None:
    sent = _clock.now()
    try:
        reply = await executor.node.calls.renew(
            target.instance, order_fence(lead, target.key), renewal
        )
    except LinkError as exc:
        if still_leads(executor, lead) and _is_known(lead, target):
            on_renewal_failure(lead, target)
            await asyncio.sleep(_retry_delay(lead, target, exc))
        return
    if still_leads(executor, lead) and _is_known(lead, target):
        on_renewal_reply(lead, target, reply, sent)
        await _wait_for_commit(executor, lead, target)
        if _is_doubtful(lead, target):
            await asyncio.sleep(_MIN_RETRY_DELAY_S)


async def _renew_safely(
    executor: EffectExecutor,
    lead: CellLeader,
    target: TargetState,
    renewal: LeaseRenewal,
) -> None:
    """Renew once; an unexpected error counts as a renewal without an answer."""
    try:
        await _renew_once(executor, lead, target, renewal)
    except Exception as exc:
        log_error('renewal crashed', exc, target=target.key)
        if still_leads(executor, lead) and _is_known(lead, target):
            on_renewal_failure(lead, target)
        await asyncio.sleep(_MAX_RETRY_DELAY_S)


def _is_known(lead: CellLeader, target: TargetState) -> bool:
    """Tell whether this is still the state of a known target instance.

    An instance that was removed may have been listed again, with a new state.
    """
    current = lead.cell.targets.get(target.key)
    return current is target and target.key in lead.lease_states


def _is_doubtful(lead: CellLeader, target: TargetState) -> bool:
    """Tell whether another instance may have replaced a known one."""
    lease_state = lead.lease_states.get(target.key)
    return lease_state is not None and is_disputed(lease_state)


def _retry_delay(
    lead: CellLeader, target: TargetState, exc: LinkError
) -> float:
    """Return the delay (s) before a target that did not answer is retried."""
    failures = lead.lease_states[target.key].failures
    if failures == 1:
        log('renewal failed', target=target.key, reason=exc.reason)
    doublings = min(failures - 1, _MAX_DOUBLINGS)
    return min(_MIN_RETRY_DELAY_S * 2**doublings, _MAX_RETRY_DELAY_S)


async def _wait_for_commit(
    executor: EffectExecutor, lead: CellLeader, target: TargetState
) -> None:
    """Wait until the run ends that a target listed are durable.

    Gives up after ``_COMMIT_WAIT_S``.
    """
    until = _clock.now() + _COMMIT_WAIT_S
    lease_state = lead.lease_states.get(target.key)
    while lease_state and lease_state.noted < target.position:
        remaining = until - _clock.now()
        if remaining <= 0:
            return
        with suppress(TimeoutError):
            await asyncio.wait_for(executor.noted.wait(), remaining)


async def _renew_lease(
    executor: EffectExecutor, lead: CellLeader, target: TargetState
) -> None:
    """Renew a target's lease repeatedly for as long as this process leads."""
    while executor.node.state.lead is lead and _is_known(lead, target):
        if current_lead(executor) is None:
            await asyncio.sleep(_POLL_INTERVAL_S)
            continue
        renewal = next_renewal(lead, target)
        await _renew_safely(executor, lead, target, renewal)


async def _manage_renewals(executor: EffectExecutor) -> None:
    lead = None
    while True:
        if executor.node.state.lead is not lead:
            for task in executor.renewal_tasks.values():
                task.cancel()
            executor.renewal_tasks.clear()
            if lead:
                # The next leader needs the connections that targets accept.
                disconnecting = executor.node.calls.disconnect()
                start_background_task(executor, disconnecting)
            lead = executor.node.state.lead
        if lead:
            _renew_all(executor, lead)
        await asyncio.sleep(_POLL_INTERVAL_S)


def _renew_all(executor: EffectExecutor, lead: CellLeader) -> None:
    """Start the renewals that do not run; an error must not end the others."""
    try:
        lead.long_callers = long_callers(executor.advisor_calls)
        _start_renewals(executor, lead)
    except Exception as exc:
        log_error('renewals not started', exc)


def _start_renewals(executor: EffectExecutor, lead: CellLeader) -> None:
    for key, target in lead.cell.targets.items():
        task = executor.renewal_tasks.get(key)
        if (task is None or task.done()) and key in lead.lease_states:
            renewal_task = asyncio.ensure_future(
                _renew_lease(executor, lead, target)
            )
            renewal_task.add_done_callback(partial(_on_renewal_ended, key))
            executor.renewal_tasks[key] = renewal_task
    for key in set(executor.renewal_tasks) - set(lead.cell.targets):
        executor.renewal_tasks.pop(key).cancel()


def _on_renewal_ended(key: str, task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception():
        log('renewal ended', target=key, error=repr(task.exception()))


def _delegate_advice(executor: EffectExecutor, request: AdviceRequest) -> None:
    """Let the process expected to be free first call the advisor."""
    link = assign_call(executor.advisor_calls, request)
    if link is None:
        start_background_task(
            executor, _call_advisor_locally(executor, request)
        )
    else:
        post(link, request)


async def _call_advisor_locally(
    executor: EffectExecutor, request: AdviceRequest
) -> None:
    answer = await call_advisor(executor.node.calls, request)
    end_call(executor.advisor_calls, answer)


async def _call_advisor_for_peer(
    executor: EffectExecutor, link: Link, request: AdviceRequest
) -> None:
    post(link, await call_advisor(executor.node.calls, request))


def _acknowledge_ends(executor: EffectExecutor, ends: EndsCommitted) -> None:
    if executor.node.state.lead:
        acknowledge_ends(executor.node.state.lead, ends)
        executor.noted.set()
        executor.noted = asyncio.Event()


def _probe(executor: EffectExecutor, probe: Probe) -> None:
    """Probe a target, or do so later while many probes of it are open."""
    key = probe.instance
    if executor.open_probes[key] < _MAX_OPEN_PROBES:
        executor.open_probes[key] += 1
        start_background_task(executor, _send_probes(executor, key))
    else:
        executor.waiting_probes.add(key)


async def _send_probes(executor: EffectExecutor, key: str) -> None:
    try:
        await _send_probe(executor, key)
        while key in executor.waiting_probes:
            executor.waiting_probes.discard(key)
            await _send_probe(executor, key)
    finally:
        executor.open_probes[key] -= 1
        if not executor.open_probes[key]:
            executor.open_probes.pop(key)


async def _send_probe(executor: EffectExecutor, key: str) -> None:
    lead = current_lead(executor)
    target = lead.cell.targets.get(key) if lead else None
    if target and _is_known(lead, target):
        renewal = replace(next_renewal(lead, target), wait=0)
        await _renew_once(executor, lead, target, renewal)


def _log_decision(executor: EffectExecutor, event_record: LogEvent) -> None:
    fields = dict(event_record.fields)
    log(event_record.event, **fields)
    count(executor.node.meters, event_record.event, fields)


_HANDLERS = MappingProxyType({
    AdviceRequest: _delegate_advice,
    AdviceResponse: lambda executor, answer: end_call(
        executor.advisor_calls, answer
    ),
    LogEvent: _log_decision,
    Probe: _probe,
    EndsCommitted: _acknowledge_ends,
    StartOrder: queue_start,
    StopOrder: queue_stop,
    # A peer's link and the advisor call that it requests.
    tuple: lambda executor, link_and_request: start_background_task(
        executor, _call_advisor_for_peer(executor, *link_and_request)
    ),
})


def _execute(executor: EffectExecutor, effect: Any) -> None:
    _HANDLERS[type(effect)](executor, effect)


@asynccontextmanager
async def executing_effects(
    node: SchedulerNode,
) -> AsyncGenerator[EffectExecutor, None]:
    """Execute the leader's effects within the context."""
    executor = EffectExecutor(node)
    node.execute_effect = partial(_execute, executor)
    async with running(_manage_renewals(executor)):
        yield executor
    for task in (*executor.renewal_tasks.values(), *node.background_tasks):
        task.cancel()
