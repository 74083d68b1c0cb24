"""Steps for links between processes, ports, and the start of a cell."""

import asyncio
import shutil
import signal
import socket
import tempfile
from contextlib import ExitStack, suppress
from pathlib import Path
from unittest import mock

from behave import then, when

from daisygw.contracts import SchedulerList
from daisygw.links import _stream, running
from daisygw.links.processes import (
    Link,
    LinkTiming,
    accepting_links,
    keep_connected,
    post,
    set_idle,
)
from standins.cell import (
    all_ports_open,
    free_ports,
    is_port_free,
    plan_cell,
    running_cell,
    send_signal,
    wait_until,
    wait_until_serving,
)

_LONG_SLEEP_S = 100
_CLEANUP_S = 0.2
_LOOP_ITERATIONS = 5
_CANCEL_TIMEOUT_S = 2

# Bounds the wait for a process that hangs while it loads.
_LOAD_TIMEOUT_S = 300


async def _slow_cleanup():
    with suppress(asyncio.CancelledError):
        await asyncio.sleep(_LONG_SLEEP_S)
    await asyncio.sleep(_CLEANUP_S)


async def _link(broken):
    async with running(_slow_cleanup()):
        await broken.wait()
    await asyncio.sleep(_LONG_SLEEP_S)


async def _cancel_while_ending():
    broken = asyncio.Event()
    link = asyncio.ensure_future(_link(broken))
    for _ in range(_LOOP_ITERATIONS):
        await asyncio.sleep(0)
    broken.set()
    for _ in range(_LOOP_ITERATIONS):
        await asyncio.sleep(0)
    link.cancel()
    done, _ = await asyncio.wait([link], timeout=_CANCEL_TIMEOUT_S)
    return bool(done) and link.cancelled()


async def _send_to_failing_handler(address, handled, connections):
    def fail_once(link, message):
        handled.append(message)
        if len(handled) == 1:
            raise ValueError('unreadable')

    def send(link):
        if link.up:
            connections.append(link)
            post(link, SchedulerList((), '', 1))
            post(link, SchedulerList((), '', 2))

    link = Link('peer')
    async with (
        accepting_links(address, fail_once, lambda _: None),
        running(keep_connected(link, 'caller', address, fail_once, send)),
    ):
        until = asyncio.get_running_loop().time() + _CANCEL_TIMEOUT_S
        while len(handled) < 2 and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(_CLEANUP_S / 10)


@when(
    'a link receives two messages, and the handler of the first raises an '
    'error',
)
def send_to_failing_handler(context):
    """Record the errors that are logged."""
    context.reported = []
    context.handled = []
    context.connections = []

    def record(event, exc, **fields):
        context.reported.append((event, repr(exc), fields))

    address = f'127.0.0.1:{free_ports(1)[0]}'
    with mock.patch.object(_stream, 'log_error', record):
        asyncio.run(
            _send_to_failing_handler(
                address, context.handled, context.connections
            )
        )


@then('the log names the error, the peer and the kind of message')
def check_reported(context):
    """Expect the event, the error, the peer's name and the type."""
    assert context.reported == [
        (
            'message failed',
            "ValueError('unreadable')",
            {'peer': 'caller', 'kind': 'SchedulerList'},
        )
    ], context.reported


@then('the second message is handled, over the same connection')
def check_second_handled(context):
    """Expect both messages in order, and one connection."""
    assert [one.term for one in context.handled] == [1, 2], context.handled
    assert len(context.connections) == 1, context.connections


_IDLE_TIMING = LinkTiming(0.1, 0.35, 0.3, 1.0)


async def _count_heartbeats(address, seconds):
    """Return when batches arrived, by phase, and how often the link was up."""
    loop = asyncio.get_running_loop()
    ups = []
    accepted = []
    arrivals = ([], [])

    def on_accepted(link):
        if link.up:
            accepted.append(link)
            set_idle(link, idle=True)

    link = Link('peer')
    connecting = keep_connected(
        link,
        'caller',
        address,
        lambda *_: None,
        lambda one: ups.append(one.up),
        _IDLE_TIMING,
    )
    set_idle(link, idle=True)
    async with (
        accepting_links(address, lambda *_: None, on_accepted, _IDLE_TIMING),
        running(connecting),
    ):
        while not accepted or not link.up:
            await asyncio.sleep(0.01)
        for phase, idle in enumerate((True, False)):
            set_idle(link, idle=idle)
            set_idle(accepted[0], idle=idle)
            began = loop.time()
            heard = accepted[0].heard
            while loop.time() < began + seconds:
                await asyncio.sleep(0.002)
                if accepted[0].heard != heard:
                    heard = accepted[0].heard
                    arrivals[phase].append(heard - began)
        return arrivals, list(ups)


@when(
    'a link is idle for {seconds:d} seconds, and then needed for {again:d} '
    'seconds'
)
def idle_link(context, seconds, again):
    """Count what the accepting end receives in both times."""
    assert seconds == again
    address = f'127.0.0.1:{free_ports(1)[0]}'
    context.arrivals, context.ups = asyncio.run(
        _count_heartbeats(address, seconds)
    )


@then(
    'it had {low:d} to {high:d} heartbeats in the first, and {least:d} to '
    '{most:d} in the second'
)
def check_heartbeats(context, low, high, least, most):
    """Compare the numbers of batches."""
    idle, busy = map(len, context.arrivals)
    assert low <= idle <= high, context.arrivals
    assert least <= busy <= most, context.arrivals


@then('the first of the second came within {seconds:g} seconds')
def check_quick(context, seconds):
    """Look at the first batch after the link was needed."""
    assert context.arrivals[1][0] < seconds, context.arrivals


@then('the link was never lost')
def check_never_lost(context):
    """Expect it to have come up once."""
    assert context.ups == [True], context.ups


@when('a link is cancelled while its task is still ending')
def cancel_link(context):
    """Cancel the link after it broke but before its task has ended."""
    context.ended = asyncio.run(_cancel_while_ending())


@then('the link ends at once')
def check_ended(context):
    """Expect it to end as cancelled within 2 s, instead of going on."""
    assert context.ended


@when('{count:d} ports for a cell are used by connections before it listens')
def take_ports(context, count):
    """Open loopback connections whose local ports are those of the cell."""
    context.ports = free_ports(count)
    with ExitStack() as stack:
        server = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        for port in context.ports:
            conn = stack.enter_context(socket.socket())
            conn.bind(('127.0.0.1', port))
            conn.connect(server.getsockname())
        context.free = [is_port_free(port) for port in context.ports]


@then('the cell can listen at all of them')
def check_free(context):
    """Check that each of the ports could be bound."""
    assert all(context.free), context.ports


@when('{count:d} ports are requested {times:d} times')
def request_ports(context, count, times):
    """Request ports repeatedly without listening at any of them."""
    context.ports = [one for _ in range(times) for one in free_ports(count)]


@then('no port was returned twice')
def check_unique_ports(context):
    """Check for repeats: a slow process would lose its port to another."""
    assert len(set(context.ports)) == len(context.ports)


@when('a cell waits for a target that is never started')
def wait_for_missing_target(context):
    """Wait with a timeout of 0 and keep the error's text."""
    with tempfile.TemporaryDirectory() as folder:
        plan = plan_cell('norte', ('santander',))
        with running_cell(plan, Path(folder)) as cell:
            context.names = sorted(cell.processes)
            try:
                wait_until_serving(cell, 1, 0)
            except TimeoutError as exc:
                context.message = str(exc)


@then('the timeout error names each process, and the logs are kept')
def check_timeout_error(context):
    """Check the process names, and the log files in the folder it names."""
    kept = Path(context.message.rpartition('; ')[2])
    assert all(name in context.message for name in context.names), (
        context.message
    )
    assert sorted(one.stem for one in kept.iterdir()) == context.names
    shutil.rmtree(kept)


@when('a process of a cell is suspended before it opens its port')
def suspend_entry(context):
    """Suspend an entry while it loads, and resume it after the others."""
    with tempfile.TemporaryDirectory() as folder:
        plan = plan_cell('norte', ('santander',))
        with running_cell(plan, Path(folder)) as cell:
            send_signal(cell, 'entry-santander-1', signal.SIGSTOP)
            others = [name for name in cell.processes if 'entry' not in name]
            wait_until(
                lambda: _logged(cell, others), _LOAD_TIMEOUT_S, 'the others'
            )
            context.started_before_resume = all_ports_open(cell)
            send_signal(cell, 'entry-santander-1', signal.SIGCONT)
            wait_until(
                lambda: all_ports_open(cell), _LOAD_TIMEOUT_S, 'the entry'
            )


def _logged(cell, names):
    logs = [cell.processes[name].log.read_text() for name in names]
    return all('scheduler up' in text for text in logs)


@then('the cell counts as started only after the process resumes')
def check_suspended(context):
    """Check the state before resuming; the step before waits for the rest."""
    assert not context.started_before_resume
