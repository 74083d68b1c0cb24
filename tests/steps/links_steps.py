"""Steps about the parts of a link."""

import asyncio
import socket
from contextlib import ExitStack, suppress

from behave import then, when

from daisygw.links import running
from standins.cell import LOOPBACK, free_ports

_LONG = 100
_MOMENT = 0.2
_TURNS = 5
_BOUND = 2


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
        context.free = [_is_free(port) for port in context.ports]


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
        return True


@then('the cell can listen at all of them')
def check_free(context):
    """Look at what could be bound."""
    assert all(context.free), context.ports
