"""Steps of single connections to an HTTP server in this process."""

import asyncio
import os
import re
import socket
import struct
import time
from itertools import repeat

from behave import then, when

from daisygw.contracts import RequestLimits
from daisygw.links import _http_connection
from daisygw.links.processes import BudgetLimits, HttpBudget
from tests.http_server import OK_REQUEST, SLOW_S, exchange, serving

_STATUS = re.compile(rb'HTTP/1.1 (\d+) ')
_LAST = OK_REQUEST.replace(b'Host: a', b'Connection: close')
_LARGE = b'GET /large HTTP/1.1\r\nHost: a\r\n\r\n'
_HALF_BODY = b'POST /ok HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n\r\na'
_RESET = struct.pack('ii', 1, 0)
_ACTIVE_S = 0.3
# Longest time that a server takes to notice a timeout, and then to close (s).
_CLOSING_S = 4.0


def _post(path, size):
    head = f'POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n'
    return head.encode() + bytes(size)


def _slow(size):
    return _post('/slow', size)


async def _wait_until(check, seconds=_CLOSING_S):
    until = time.monotonic() + seconds
    while not check() and time.monotonic() < until:
        await asyncio.sleep(0.02)
    return check()


def _check_statuses(context, expected):
    assert _STATUS.findall(context.answer) == expected, context.answer


@then('all {count:d} requests are answered')
def check_answers(context, count):
    """Check the answers that were read."""
    _check_statuses(context, list(repeat(b'200', count)))


@then('the answers are {statuses}')
def check_statuses(context, statuses):
    """Check the answers that were read."""
    _check_statuses(context, statuses.encode().split(b', '))


@when(
    'a client pauses for {pause:f} seconds within a header section that '
    'follows a request in its packet'
)
def pause_in_header(context, pause):
    """Pause for longer than the server takes to check its connections."""

    async def send():
        async with serving() as (address, _, _):
            pieces = [OK_REQUEST + _LAST[:20], _LAST[20:]]
            return await exchange(address, pieces, pause=pause)

    context.answer = asyncio.run(send())


@when(
    'a client has two requests behind a slow one, the last one cut in its '
    'header section'
)
def wait_behind(context):
    """Send the rest once the slow request has been served for longer."""

    async def send():
        limits = RequestLimits(500, 3000, _ACTIVE_S, _ACTIVE_S)
        async with serving(limits) as (address, _, _):
            begin = b''.join((_slow(0), OK_REQUEST, _LAST[:20]))
            pieces = [begin, _LAST[20:]]
            return await exchange(address, pieces, pause=SLOW_S - 0.1)

    context.answer = asyncio.run(send())


@when('a client sends two slow requests of {size:d} bytes and a malformed one')
def send_before_refused(context, size):
    """Read what the budget holds while the first request is served."""

    async def send():
        async with serving() as (address, _, budget):
            raw = b''.join((_slow(size), _slow(size), b'no request\r\n\r\n'))
            reading = asyncio.ensure_future(exchange(address, [raw]))
            await asyncio.sleep(_ACTIVE_S)
            held = budget.held
            return await reading, held, budget.held

    context.answer, *context.held = asyncio.run(send())


@when(
    '{count:d} clients send a slow request of {size:d} bytes and reset the '
    'connection'
)
def send_and_reset(context, count, size):
    """Read what the budget holds before and after the requests have run."""

    async def send():
        async with serving() as (address, ran, budget):
            for _ in range(count):
                conn = socket.create_connection(address)
                conn.sendall(_slow(size))
                await _wait_until(lambda: budget.held)
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                conn.close()
            await _wait_until(lambda: len(ran) == count)
            await _wait_until(lambda: not budget.connections)
            held = budget.held
            await asyncio.sleep(SLOW_S)
            return held, budget.held

    context.held = asyncio.run(send())


@then('the budget held at least {least:d} bytes, then none')
def check_held(context, least):
    """Check both samples."""
    held, afterwards = context.held
    assert held >= least, held
    assert afterwards == 0, afterwards


_AFTER_LARGE = {
    'a part of a request': _HALF_BODY,
    'a malformed request': b'no request\r\n\r\n',
    'an upgrade': _LARGE.replace(
        b'Host: a', b'Connection: upgrade\r\nUpgrade: websocket'
    ),
}


@when('a client reads none of its two large answers and sends {what}')
def read_nothing(context, what):
    """Note whether the server has closed the connection."""

    async def send():
        limits = RequestLimits(500, 3000, _ACTIVE_S, _ACTIVE_S)
        budget = HttpBudget(BudgetLimits(100_000_000, 100))
        async with serving(limits, budget) as (address, _, _):
            with socket.create_connection(address) as conn:
                conn.sendall(b''.join((_LARGE, _LARGE, _AFTER_LARGE[what])))
                await _wait_until(lambda: budget.connections)
                return await _wait_until(lambda: not budget.connections)

    context.is_closed = asyncio.run(send())


@then('the server closes the connection')
def check_closed(context):
    """Check that it was closed while the client kept it open."""
    assert context.is_closed


@when(
    '{clients:d} clients read none of their {count:d} large answers at a '
    'server with a budget of {held:d} bytes'
)
def read_no_answers(context, clients, count, held):
    """Sample the bytes that the server has yet to send."""

    async def send():
        budget = HttpBudget(BudgetLimits(held, 100))
        most = 0
        async with serving(budget=budget) as (address, _, _):
            opened = []
            for _ in range(clients):
                opened.append(socket.create_connection(address))
                opened[-1].sendall(_LARGE * count)
                await asyncio.sleep(_ACTIVE_S)
                unsent = (
                    conn.transport.get_write_buffer_size()
                    for conn in budget.connections
                )
                most = max(most, sum(unsent))
            for conn in opened:
                conn.close()
        return most

    context.most = asyncio.run(send())


@then('the server never kept more than {most:d} bytes of answers')
def check_unsent(context, most):
    """Check the largest sample, and that there was something to send."""
    assert 0 < context.most <= most, context.most


@when('as many clients as a server accepts send their bodies byte by byte')
def send_bytes(context):
    """Send a byte each and then an ordinary request, for some rounds."""

    async def send():
        count = 8
        budget = HttpBudget(BudgetLimits(1_000_000, count))
        async with serving(budget=budget) as (address, _, _):
            opened = [socket.create_connection(address) for _ in range(count)]
            for conn in opened:
                conn.sendall(_HALF_BODY)
            await asyncio.sleep(_ACTIVE_S)
            for conn in opened:
                conn.sendall(b'a')
            answer = await exchange(address, [_LAST])
            for conn in opened:
                conn.close()
            return answer

    context.answer = asyncio.run(send())


@then('an ordinary client is answered')
def check_ordinary(context):
    """Check the answer of the client that came last."""
    _check_statuses(context, [b'200'])


@when('a client sends {count:d} requests at once')
def send_many(context, count):
    """Sample what the budget holds until all are answered."""

    async def send():
        budget = HttpBudget(BudgetLimits(10_000_000, 100))
        most = 0
        request = _post('/brief', 1000)
        async with serving(budget=budget) as (address, _, _):
            raw = request * (count - 1) + _LAST
            reading = asyncio.ensure_future(exchange(address, [raw]))
            while not reading.done():
                await asyncio.sleep(0)
                most = max(most, budget.held)
            return await reading, most

    context.answer, context.most = asyncio.run(send())


@then(
    'the budget held at most {most:d} bytes, and all {count:d} requests are '
    'answered'
)
def check_most(context, most, count):
    """Check the largest sample and the answers."""
    assert context.most <= most, context.most
    statuses = _STATUS.findall(context.answer)
    expected = list(repeat(b'200', count))
    assert statuses == expected, (len(statuses), statuses[-1:])


@when('{count:d} connections with unfinished bodies make way for others')
def make_way(context, count):
    """Record the lines that are logged meanwhile."""
    events = []

    async def send():
        budget = HttpBudget(BudgetLimits(1_000_000, count))
        async with serving(budget=budget) as (address, _, _):
            opened = [socket.create_connection(address) for _ in range(count)]
            for conn in opened:
                conn.sendall(_HALF_BODY)
            await asyncio.sleep(SLOW_S)
            opened += [socket.create_connection(address) for _ in range(count)]
            await asyncio.sleep(SLOW_S)
            for conn in opened:
                conn.close()
            return sum(budget.refused.values())

    original = _http_connection.log
    _http_connection.log = lambda event, **fields: events.append(event)
    try:
        assert asyncio.run(send()) >= count
    finally:
        _http_connection.log = original
    context.events = events


@then('no line tells of requests that were cut off')
def check_lines(context):
    """Check what the connections logged."""
    assert not context.events, context.events


def _open_descriptors():
    return len(os.listdir('/proc/self/fd'))


@when(
    'a server with a budget of {most:d} connections stops while {count:d} '
    'clients wait to be accepted'
)
def stop_with_waiting(context, most, count):
    """Connect in the turn of the loop in which the server is told to stop."""

    async def send():
        budget = HttpBudget(BudgetLimits(1_000_000, most))
        peak = 0
        async with serving(budget=budget) as (address, _, _):
            opened = [socket.create_connection(address) for _ in range(count)]
            before = _open_descriptors()
            task = asyncio.current_task()
            sampling = asyncio.ensure_future(_sample(task))
        peak = await sampling - before
        for conn in opened:
            conn.close()
        return peak

    async def _sample(task):
        peak = 0
        until = time.monotonic() + 0.5
        while time.monotonic() < until:
            peak = max(peak, _open_descriptors())
            await asyncio.sleep(0)
        return peak

    context.most = asyncio.run(send())


@then('it had at most {most:d} connections open')
def check_descriptors(context, most):
    """Check the most descriptors that the server had at a time."""
    assert context.most <= most, context.most
