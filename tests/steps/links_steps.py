"""Steps about the parts of a link."""

import asyncio
import shutil
import signal
import socket
import tempfile
from contextlib import ExitStack, suppress
from pathlib import Path

from behave import then, when

from daisygw.links import running
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

_LONG = 100
_MOMENT = 0.2
_TURNS = 5
_BOUND = 2

# A guard against a process that hangs as it loads, s.
_LOAD_GUARD = 300


async def _slow_to_end():
    with suppress(asyncio.CancelledError):
        await asyncio.sleep(_LONG)
    await asyncio.sleep(_MOMENT)


async def _link(broken):
    async with running(_slow_to_end()):
        await broken.wait()
    await asyncio.sleep(_LONG)


async def _cancel_while_ending():
    broken = asyncio.Event()
    link = asyncio.ensure_future(_link(broken))
    for _ in range(_TURNS):
        await asyncio.sleep(0)
    broken.set()
    for _ in range(_TURNS):
        await asyncio.sleep(0)
    link.cancel()
    done, _ = await asyncio.wait([link], timeout=_BOUND)
    return bool(done) and link.cancelled()


@when("a link's work takes a moment to end, and the link is cancelled then")
def cancel_link(context):
    """Cancel it between the break and the end of its work."""
    context.ended = asyncio.run(_cancel_while_ending())


@then('the link ends at once')
def check_ended(context):
    """It must not go on as if nothing had been said."""
    assert context.ended


@when('{count:d} ports for a cell are taken by connections before it listens')
def take_ports(context, count):
    """Connect to a server elsewhere on loopback from those port numbers."""
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
    """Look at what could be bound."""
    assert all(context.free), context.ports


@when('{count:d} ports are asked for {times:d} times')
def ask_often(context, count, times):
    """None of them is listened at between."""
    context.ports = [one for _ in range(times) for one in free_ports(count)]


@then('no port was given twice')
def check_once(context):
    """A process that starts slowly would lose its port to another."""
    assert len(set(context.ports)) == len(context.ports)


@when('a cell waits for a target that is never started')
def wait_in_vain(context):
    """Give it the least time."""
    with tempfile.TemporaryDirectory() as folder:
        plan = plan_cell('norte', ('santander',))
        with running_cell(plan, Path(folder)) as cell:
            context.names = sorted(cell.processes)
            try:
                wait_until_serving(cell, 1, 0)
            except TimeoutError as exc:
                context.told = str(exc)


@then('what it raises names each process, and its logs are kept')
def check_told(context):
    """The last line says where the logs are."""
    kept = Path(context.told.rpartition('; ')[2])
    assert all(name in context.told for name in context.names), context.told
    assert sorted(one.stem for one in kept.iterdir()) == context.names
    shutil.rmtree(kept)


@when('a process of a cell is held up before it opens its port')
def hold_up(context):
    """Stop an entry as it loads, and let it go on later."""
    with tempfile.TemporaryDirectory() as folder:
        plan = plan_cell('norte', ('santander',))
        with running_cell(plan, Path(folder)) as cell:
            send_signal(cell, 'entry-santander-1', signal.SIGSTOP)
            others = [name for name in cell.processes if 'entry' not in name]
            wait_until(lambda: _logged(cell, others), _LOAD_GUARD, 'others')
            context.before = all_ports_open(cell)
            send_signal(cell, 'entry-santander-1', signal.SIGCONT)
            wait_until(lambda: all_ports_open(cell), _LOAD_GUARD, 'the entry')


def _logged(cell, names):
    logs = [cell.processes[name].log.read_text() for name in names]
    return all('scheduler up' in text for text in logs)


@then('the cell counts as started only after it goes on')
def check_held_up(context):
    """It went on, or the step before would have raised."""
    assert not context.before
