"""The scheduler process: this host's replicas and links to all other hosts.

It runs one event loop on one thread.  Messages change state as they arrive;
one turn of the loop then appends to the logs, syncs them, sends messages and
releases committed effects, as one batch.
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
    JournalError,
    LeaderStatus,
    Query,
    SelectGroup,
)
from daisygw.links import log, log_error
from daisygw.links.processes import (
    Group,
    Link,
    accepting_links,
    carry_out,
    close,
    compact_log,
    keep_connected,
    leads,
    post,
    resign,
    running,
)
from daisygw.schedulers._config_machine import (
    answer_changes_query,
    process_changes,
    queue_change,
)
from daisygw.schedulers._domain_machine import (
    handle_entry_connection,
    handle_message,
    set_clock,
)
from daisygw.schedulers._dump import scheduler_dump, scheduler_metrics
from daisygw.schedulers._groups import open_groups
from daisygw.schedulers._state import (
    Scheduler,
    publish_config,
    update_config_known,
)
from daisygw.settings import Settings
from daisygw.zones import (
    receive,
    tick,
    transfer_leadership,
)

# Interval of turns while no messages arrive: a fifth of the shortest election
# timeout.
_TICK_S = 0.1
# Longest wait for a successor at shutdown: two elections.
_TRANSFER_TIMEOUT_S = 2.0
# Time for the last messages to be sent: ten round trips within a region.
_FLUSH_WAIT_S = 0.2
# Log entries that a successor may lag behind in the last attempt to transfer
# leadership: in effect any number.
_MAX_SUCCESSOR_LAG = 1_000_000
# Log entries between snapshots of the configuration: each entry holds the
# whole settings texts.
_MAX_CONFIG_ENTRIES = 100
_MS_PER_S = 1000
_ENTRY_PREFIX = 'entry/'


def _on_message(scheduler: Scheduler, link: Link, message: Any) -> None:
    if link.peer.startswith(_ENTRY_PREFIX):
        _on_entry_message(scheduler, link, message)
    else:
        group = scheduler.groups.get(message.group)
        if group:
            receive(group.replica, message, time.monotonic())
    scheduler.wake.set()


def _on_entry_message(scheduler: Scheduler, link: Link, message: Any) -> None:
    if isinstance(message, SelectGroup):
        link.current_group = message.group
        return
    if isinstance(message, Query) and message.view in _LOCAL_VIEWS:
        post(link, _LOCAL_VIEWS[message.view](scheduler, message))
        return
    if link.current_group == CONFIGURATION_GROUP:
        _on_config_message(scheduler, link, message)
        return
    state = scheduler.domains.get(link.current_group)
    if state:
        handle_message(state, message, link.peer)


def _on_config_message(scheduler: Scheduler, link: Link, message: Any) -> None:
    if CONFIGURATION_GROUP not in scheduler.leading:
        return
    if isinstance(message, Change):
        queue_change(scheduler.config, message, link.peer, time.monotonic())
    elif isinstance(message, Query):
        answer_changes_query(scheduler.config, message, link.peer)


_LOCAL_VIEWS = MappingProxyType({
    'dump': scheduler_dump,
    'metrics': scheduler_metrics,
})


def _on_link_change(scheduler: Scheduler, link: Link) -> None:
    scheduler.wake.set()


def _on_inbound_link(scheduler: Scheduler, link: Link) -> None:
    if not link.peer.startswith(_ENTRY_PREFIX):
        return
    if not link.up and scheduler.sessions.get(link.peer) is not link:
        # The entry has connected anew before the end of this link.
        return
    for state in scheduler.domains.values():
        handle_entry_connection(state, link.peer, up=link.up)
    if not link.up:
        scheduler.sessions.pop(link.peer)
        return
    scheduler.sessions[link.peer] = link
    for group, term in scheduler.leading.items():
        post(link, LeaderStatus(group, scheduler.host, term))
    publish_config(scheduler)


def run_turn(scheduler: Scheduler, now: float, wall: int) -> None:
    """Advance the clock of every group, and carry out all pending effects.

    ``now`` is monotonic (s), ``wall`` is the Unix time (ms).
    """
    for state in scheduler.domains.values():
        set_clock(state, now, wall)
    for name, group in scheduler.groups.items():
        _run_group_safely(scheduler, name, group, now)
    update_config_known(scheduler, now)


def _run_group_safely(
    scheduler: Scheduler, name: str, group: Group, now: float
) -> None:
    """Run a turn of one group; its errors do not concern the other groups.

    A disk that refuses writes ends the process, so that another host leads.
    """
    try:
        _run_group(scheduler, name, group, now)
    except JournalError:
        raise
    except Exception as exc:
        log_error('turn failed', exc, group=name)
        resign(group, now)


def _run_group(
    scheduler: Scheduler, name: str, group: Group, now: float
) -> None:
    tick(group.replica, now)
    if name == CONFIGURATION_GROUP:
        process_changes(scheduler.config, group, now)
    carry_out(group, now, scheduler.transport)
    compact_log(group, _max_log_entries(scheduler, name))


def _max_log_entries(scheduler: Scheduler, group: str) -> int:
    every = scheduler.boot_settings.process.snapshot_every
    return (
        min(every, _MAX_CONFIG_ENTRIES)
        if group == CONFIGURATION_GROUP
        else every
    )


async def _turn_loop(scheduler: Scheduler) -> None:
    while True:
        await scheduler.wake.wait()
        await asyncio.sleep(0)
        scheduler.wake.clear()
        run_turn(scheduler, time.monotonic(), _wall_ms())


def _wall_ms() -> int:
    return int(time.time() * _MS_PER_S)


async def _tick_loop(scheduler: Scheduler) -> None:
    while True:
        scheduler.wake.set()
        await asyncio.sleep(_TICK_S)


@asynccontextmanager
async def _connected_to_hosts(
    scheduler: Scheduler,
) -> AsyncGenerator[None, None]:
    on_message = partial(_on_message, scheduler)
    on_change = partial(_on_link_change, scheduler)
    async with AsyncExitStack() as stack:
        for name, host in scheduler.boot_settings.hosts.items():
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


async def _transfer_all_leadership(scheduler: Scheduler) -> None:
    """Transfer the leadership of all groups to other voters.

    The last attempt also accepts a successor that lags behind.
    """
    until = time.monotonic() + _TRANSFER_TIMEOUT_S
    for behind in (0, 0, 0, _MAX_SUCCESSOR_LAG):
        for name, group in scheduler.groups.items():
            now = time.monotonic()
            if leads(group):
                transfer_leadership(group.replica, now, behind)
                _run_group_safely(scheduler, name, group, now)
        if not scheduler.leading or time.monotonic() > until:
            break
        await asyncio.sleep(_TICK_S * 2)
    await asyncio.sleep(_FLUSH_WAIT_S)


async def _run_until_stopped(scheduler: Scheduler) -> None:
    turn_task = asyncio.ensure_future(_turn_loop(scheduler))
    tick_task = asyncio.ensure_future(_tick_loop(scheduler))
    stopping = asyncio.ensure_future(scheduler.stopped.wait())
    work = (turn_task, tick_task, stopping)
    done, _ = await asyncio.wait(work, return_when=asyncio.FIRST_COMPLETED)
    if stopping in done:
        await _transfer_all_leadership(scheduler)
    for task in work:
        if task not in done:
            task.cancel()
    for task in done:
        task.result()


def _install_signal_handlers(scheduler: Scheduler) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, scheduler.stopped.set)
    loop.add_signal_handler(signal.SIGINT, scheduler.stopped.set)
    loop.add_signal_handler(signal.SIGUSR1, _log_dump, scheduler)


def _log_dump(scheduler: Scheduler) -> None:
    dump = scheduler_dump(scheduler, Query(0, 'dump'))
    log('dump', dump=dump.view)


async def run_scheduler(settings: Settings, host: str) -> None:
    """Run the scheduler of ``host`` until SIGTERM or SIGINT."""
    scheduler = Scheduler(settings, host)
    open_groups(scheduler)
    _install_signal_handlers(scheduler)
    address = settings.hosts[host].scheduler
    listener = accepting_links(
        address,
        partial(_on_message, scheduler),
        partial(_on_inbound_link, scheduler),
    )
    async with listener, _connected_to_hosts(scheduler):
        log('scheduler up', host=host, address=address)
        await _run_until_stopped(scheduler)
    for group in scheduler.groups.values():
        if group.journal:
            close(group.journal)
    log('scheduler stopped', host=host)
    logging.flush()
