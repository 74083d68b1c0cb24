"""Steps about requests that waited before they were read."""

import asyncio
import socket
import time

from behave import given, then, when

from daisygw.links import _pauses
from tests.http_server import serving

_REQUEST = b'GET /%b HTTP/1.1\r\nHost: a\r\n\r\n'
_SETTLE_S = 0.6
# Longest error of a measured wait (s): an interval between two ticks before a
# pause, and the time until a request is served.
_ERROR_S = 0.45
_NEW_CONNECTIONS = 60
_TICK_S = 0.25


async def _ask(sock, path):
    """Send a request over a connected socket and read the answer."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(sock, _REQUEST % path)
    return await loop.sock_recv(sock, 4096)


def _connect(address):
    sock = socket.create_connection(address)
    sock.setblocking(False)
    return sock


@given('an HTTP server that notes how long its requests have waited')
def note_waits(context):
    """Keep what the server notes; it runs in the next step."""
    context.waited = {}


async def _connections(address, connection):
    """Return the connections over which requests are sent."""
    if 'used before' in connection:
        sock = _connect(address)
        await _ask(sock, b'first')
        await asyncio.sleep(_SETTLE_S)
        return [sock]
    count = _NEW_CONNECTIONS if 'one of' in connection else 1
    return [_connect(address) for _ in range(count)]


async def _pause(context, connection, seconds):
    async with serving(waited=context.waited) as (address, _, _):
        await asyncio.sleep(_SETTLE_S)
        socks = await _connections(address, connection)
        for number, sock in enumerate(socks):
            sock.send(_REQUEST % b'paused%d' % number)
        time.sleep(seconds)  # noqa: ASYNC251  the loop stands still
        for sock in socks:
            await asyncio.get_running_loop().sock_recv(sock, 4096)
        await asyncio.sleep(0.5)
        await _ask(socks[0], b'later')
        for sock in socks:
            sock.close()


@when(
    'a request is sent over {connection} as the process pauses for '
    '{seconds:g} s'
)
def send_before_pause(context, connection, seconds):
    """Send it just before the loop stands still."""
    asyncio.run(_pause(context, connection, seconds))


@then(
    'it has waited for {seconds:g} s, and one that is sent 0.5 s later for 0 s'
)
def check_paused(context, seconds):
    """Look at all requests that were sent before the pause."""
    later = context.waited.pop('/later')
    paused = [
        waited
        for path, waited in context.waited.items()
        if path.startswith('/paused')
    ]
    assert paused
    assert seconds <= min(paused), context.waited
    assert max(paused) <= seconds + _ERROR_S, context.waited
    assert later < 0.1, later


@when('a request is sent behind one that takes {seconds:g} s')
def send_behind(context, seconds):
    """Send both at once over one connection."""

    async def run():
        async with serving(waited=context.waited) as (address, _, _):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(_REQUEST % b'slow' + _REQUEST % b'behind')
            await asyncio.sleep(seconds + 0.3)
            assert (await reader.read(4096)).count(b'HTTP/1.1 200') == 2
            writer.close()

    asyncio.run(run())


@then('it has waited for {seconds:g} s')
def check_behind(context, seconds):
    """Look at the second request."""
    waited = context.waited['/behind']
    assert seconds <= waited <= seconds + 0.2, context.waited


@when('a process pauses for 1 s, runs for 0.1 s and pauses for 2 s')
def pause_twice(context):
    """Let a tick run after each pause."""
    context.watch = _pauses.PauseWatch(10)
    _pauses.record_tick(context.watch, 11)
    _pauses.record_tick(context.watch, 11.1)
    context.now = 13.1


@then('bytes that are read afterwards may have waited for {seconds:g} s')
def check_both(context, seconds):
    """Read before the next tick, and soon after it."""
    since = _pauses.waiting_since(context.watch, context.now)
    _pauses.record_tick(context.watch, context.now)
    later = _pauses.waiting_since(context.watch, context.now + 0.1)
    assert round(context.now - since, 3) == seconds, since
    assert since == later, (since, later)


@when(
    'a process runs for {seconds:d} s with ticks that are late by up to 0.2 s'
)
def run_without_pauses(context, seconds):
    """Read just before and after each tick."""
    watch = _pauses.PauseWatch(0)
    context.waits = []
    now = 0.0
    while now < seconds:
        for delay in (0, 0.1, 0.2):
            now += _TICK_S + delay
            context.waits.append(now - _pauses.waiting_since(watch, now))
            _pauses.record_tick(watch, now)
            context.waits.append(now - _pauses.waiting_since(watch, now))


@then('bytes that are read at any time have waited for {seconds:d} s')
def check_no_waits(context, seconds):
    """Expect this wait for all of them."""
    assert set(context.waits) == {seconds}, context.waits
