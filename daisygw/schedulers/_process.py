"""The scheduler process: this host's replicas, and the links to all others.

One loop on one thread: messages change state as they arrive, and one turn
then appends, makes durable, sends and lets effects out, in a batch.
"""

import asyncio
import signal
import time
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from types import MappingProxyType
from typing import Any

from absl import logging

from daisygw.contracts import (
    CONFIGURATION_GROUP,
    Change,
    LeaderStatus,
    Query,
    SelectGroup,
)
from daisygw.links import log
from daisygw.links.processes import (
    Link,
    carry_out,
    close,
    compact_log,
    keep_connected,
    leads,
    post,
    running,
    serving,
)
from daisygw.schedulers._config_machine import (
    ask_change,
    decide_changes,
    show_changes,
)
from daisygw.schedulers._domain_machine import (
    decide,
    handle_entry_connection,
    set_clock,
)
from daisygw.schedulers._dump import scheduler_dump, scheduler_metrics
from daisygw.schedulers._groups import open_groups
from daisygw.schedulers._state import (
    Scheduler,
    announce_configuration,
    learn_config,
)
from daisygw.settings import Settings
from daisygw.zones import (
    receive,
    tick,
    transfer_leadership,
)

# How often time passes without messages, s: a fifth of the shortest election.
_TICK = 0.1
# Longest wait for a successor when stopping, s: two elections.
_RESIGN_WAIT = 2.0
# Wait for the last messages to leave, s: a round trip in a region, ten times.
_FLUSH_S = 0.2
# Entries that the last successor may lag by: any.
_MOST_BEHIND = 1_000_000
# Configuration changes between snapshots: each holds the whole texts.
_MOST_CHANGES = 100
# Milliseconds in a second.
_MS = 1000
_ENTRY_PREFIX = 'entry/'


def _on_message(scheduler: Scheduler, link: Link, message: Any) -> None:
    if link.peer.startswith(_ENTRY_PREFIX):
        _on_entry(scheduler, link, message)
    else:
        group = scheduler.groups.get(message.group)
        if group:
            receive(group.replica, message, time.monotonic())
    scheduler.wake.set()


def _on_entry(scheduler: Scheduler, link: Link, message: Any) -> None:
    if isinstance(message, SelectGroup):
        link.current_group = message.group
        return
    if isinstance(message, Query) and message.view in _LOCAL_VIEWS:
        post(link, _LOCAL_VIEWS[message.view](scheduler, message))
        return
    if link.current_group == CONFIGURATION_GROUP:
        _on_configuration(scheduler, link, message)
        return
    state = scheduler.domains.get(link.current_group)
    if state:
        decide(state, message, link.peer)


def _on_configuration(scheduler: Scheduler, link: Link, message: Any) -> None:
    if CONFIGURATION_GROUP not in scheduler.leading:
        return
    if isinstance(message, Change):
        ask_change(scheduler.config, message, link.peer, time.monotonic())
    elif isinstance(message, Query):
        show_changes(scheduler.config, message, link.peer)


_LOCAL_VIEWS = MappingProxyType({
    'dump': scheduler_dump,
    'metrics': scheduler_metrics,
})


def _on_link(scheduler: Scheduler, link: Link) -> None:
    scheduler.wake.set()


def _on_session(scheduler: Scheduler, link: Link) -> None:
    if not link.peer.startswith(_ENTRY_PREFIX):
        return
    for state in scheduler.domains.values():
        handle_entry_connection(state, link.peer, up=link.up)
    if not link.up:
        if scheduler.sessions.get(link.peer) is link:
            scheduler.sessions.pop(link.peer)
        return
    scheduler.sessions[link.peer] = link
    for group, term in scheduler.leading.items():
        post(link, LeaderStatus(group, scheduler.host, term))
    announce_configuration(scheduler)


def run_turn(scheduler: Scheduler, now: float, wall: int) -> None:
    """Let time pass for every group, and carry out what follows."""
    for state in scheduler.domains.values():
        set_clock(state, now, wall)
    for name, group in scheduler.groups.items():
        tick(group.replica, now)
        if name == CONFIGURATION_GROUP:
            decide_changes(scheduler.config, group, now)
        carry_out(group, now, scheduler.transport)
        compact_log(group, _most_entries(scheduler, name))
    learn_config(scheduler, now)


def _most_entries(scheduler: Scheduler, group: str) -> int:
    every = scheduler.boot.process.snapshot_every
    return min(every, _MOST_CHANGES) if group == CONFIGURATION_GROUP else every


async def _turns(scheduler: Scheduler) -> None:
    while True:
        await scheduler.wake.wait()
        await asyncio.sleep(0)
        scheduler.wake.clear()
        run_turn(scheduler, time.monotonic(), _wall())


def _wall() -> int:
    return int(time.time() * _MS)


async def _ticks(scheduler: Scheduler) -> None:
    while True:
        scheduler.wake.set()
        await asyncio.sleep(_TICK)


@asynccontextmanager
async def _linked(scheduler: Scheduler) -> AsyncGenerator[None, None]:
    on_message = partial(_on_message, scheduler)
    on_change = partial(_on_link, scheduler)
    async with AsyncExitStack() as stack:
        for name, host in scheduler.boot.hosts.items():
            if name == scheduler.host:
                continue
            link = Link(name)
            scheduler.links[name] = link
            connecting = keep_connected(
                link,
                scheduler.host,
                host.scheduler,
                on_message,
                on_change,
            )
            await stack.enter_async_context(running(connecting))
        yield


async def _resign(scheduler: Scheduler) -> None:
    """Hand every lead over; after a while also to a voter that lags."""
    until = time.monotonic() + _RESIGN_WAIT
    for behind in (0, 0, 0, _MOST_BEHIND):
        for group in scheduler.groups.values():
            now = time.monotonic()
            if leads(group):
                transfer_leadership(group.replica, now, behind)
                carry_out(group, now, scheduler.transport)
        if not scheduler.leading or time.monotonic() > until:
            break
        await asyncio.sleep(_TICK * 2)
    await asyncio.sleep(_FLUSH_S)


async def _until_stopped(scheduler: Scheduler) -> None:
    turning = asyncio.ensure_future(_turns(scheduler))
    ticking = asyncio.ensure_future(_ticks(scheduler))
    stopping = asyncio.ensure_future(scheduler.stopped.wait())
    work = (turning, ticking, stopping)
    done, _ = await asyncio.wait(work, return_when=asyncio.FIRST_COMPLETED)
    if stopping in done:
        await _resign(scheduler)
    for task in work:
        if task not in done:
            task.cancel()
    for task in done:
        task.result()


def _on_signals(scheduler: Scheduler) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, scheduler.stopped.set)
    loop.add_signal_handler(signal.SIGINT, scheduler.stopped.set)
    loop.add_signal_handler(signal.SIGUSR1, _log_dump, scheduler)


def _log_dump(scheduler: Scheduler) -> None:
    dump = scheduler_dump(scheduler, Query(0, 'dump'))
    log('dump', dump=dump.view)


async def run_scheduler(settings: Settings, host: str) -> None:
    """Run a scheduler until it is told to stop."""
    scheduler = Scheduler(settings, host)
    open_groups(scheduler)
    _on_signals(scheduler)
    address = settings.hosts[host].scheduler
    accepting = serving(
        address,
        partial(_on_message, scheduler),
        partial(_on_session, scheduler),
    )
    async with accepting, _linked(scheduler):
        log('scheduler up', host=host, address=address)
        await _until_stopped(scheduler)
    for group in scheduler.groups.values():
        if group.journal:
            close(group.journal)
    log('scheduler stopped', host=host)
    logging.flush()
