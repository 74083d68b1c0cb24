"""Steps of an HTTP server in this process, and of decisions on evictions."""

import asyncio
import re
from contextlib import AsyncExitStack, contextmanager
from itertools import repeat

from behave import given, then, when
from hypothesis import HealthCheck, seed, settings
from hypothesis import given as given_values
from hypothesis import strategies as st

from daisygw.contracts import RequestLimits, SchedulerList
from daisygw.links._eviction import Holding, choose_idle, choose_largest
from daisygw.links.processes import (
    BudgetLimits,
    HttpBudget,
    tighter_limits,
)
from daisygw.nodes import Peers
from daisygw.nodes._peers import apply_scheduler_list
from tests.http_server import OK_REQUEST, exchange, serving

_NOW = 100.0
_LONG_HEADER = f'X-Filler: {"a" * 9500}'
_HEAD = 'POST /bad HTTP/1.1\r\nHost: a\r\n'
_CHUNKED = f'{_HEAD}Transfer-Encoding: chunked\r\n\r\n'
_FAULTS = {
    'two lengths': f'{_HEAD}Content-Length: 2\r\nContent-Length: 3\r\n\r\nok',
    'a length and chunks': (
        f'{_HEAD}Content-Length: 2\r\n'
        'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    ),
    'a signed length': f'{_HEAD}Content-Length: +2\r\n\r\nok',
    'a list of lengths': f'{_HEAD}Content-Length: 2, 2\r\n\r\nok',
    'bare line feeds': 'POST /bad HTTP/1.1\nHost: a\nContent-Length: 2\n\nok',
    'a folded line': f'{_HEAD}X-A: b\r\n c\r\nContent-Length: 2\r\n\r\nok',
    'a space before the colon': f'{_HEAD}Content-Length : 2\r\n\r\nok',
    'a chunk size that is no number': f'{_CHUNKED}0x2\r\nok\r\n0\r\n\r\n',
    'a chunk size of 70 bits': f'{_CHUNKED}{"f" * 18}\r\nok\r\n0\r\n\r\n',
    'a chunk longer than its size': f'{_CHUNKED}2\r\nokay\r\n0\r\n\r\n',
    'an encoding that is not chunked': (
        f'{_HEAD}Transfer-Encoding: gzip\r\n\r\nok'
    ),
    'a header section over the limit': f'{_HEAD}{_LONG_HEADER}\r\n\r\n',
    'trailers over the limit': f'{_CHUNKED}0\r\n{_LONG_HEADER}\r\n\r\n',
    'a declared body over the limit': f'{_HEAD}Content-Length: 3001\r\n\r\n',
    'a chunked body over the limit': f'{_CHUNKED}bb9\r\n{"a" * 3001}\r\n',
}
_STATUS = re.compile(rb'HTTP/1.1 (\d+) ')
_EXAMPLES = settings(
    max_examples=40,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


@given('connections of a budget of {amount:d} {unit}')
def define_connections(context, amount, unit):
    """Note what each connection of the table holds."""
    context.amount = amount
    context.holdings = [
        Holding(
            row['name'],
            int(row['size']),
            _NOW - float(row['silent for'].split()[0]),
            served=row['state'] == 'served',
            processing=row['state'] == 'processing',
        )
        for row in context.table
    ]


@then('the connections given up for bytes are')
def check_largest(context):
    """Choose connections for each amount."""
    for row in context.table:
        names = choose_largest(
            context.holdings, int(row['needed']), context.amount, _NOW
        )
        assert ', '.join(names) == row['connections'], (row, names)


@then('the connections given up for new ones are {names} in this order')
def check_idle(context, names):
    """Choose one connection after the other."""
    holdings = context.holdings
    chosen = []
    while found := choose_idle(holdings, context.amount, _NOW):
        chosen += found
        holdings = [one for one in holdings if one.conn not in chosen]
    assert chosen == names.split(', '), chosen


async def _send_fault(fault):
    async with serving() as (address, ran, _):
        sent = OK_REQUEST + _FAULTS[fault].encode() + OK_REQUEST
        return await exchange(address, [sent]), ran


@when('a request, one with {fault} and a third are sent on one connection')
def send_fault(context, fault):
    """Send all three at once."""
    context.answer, context.ran = asyncio.run(_send_fault(fault))


@then(
    'the first is answered, the second refused with {status:d}, '
    'and the application saw only the first'
)
def check_fault(context, status):
    """Check the answers in order."""
    statuses = [int(one) for one in _STATUS.findall(context.answer)]
    assert statuses == [200, status], context.answer
    assert context.ran == [('/ok', b'ok')], context.ran


_BODIES = st.lists(st.binary(max_size=200), min_size=1, max_size=20)
_CUTS = st.lists(st.integers(1, 400), min_size=1, max_size=40)


def _cut(raw, cuts):
    pieces, start = [], 0
    for length in cuts:
        pieces.append(raw[start : start + length])
        start += length
    return [*pieces, raw[start:]]


def _request(number, body, *, last):
    head = f'POST /{number} HTTP/1.1\r\nHost: a\r\n'
    if last:
        head = f'{head}Connection: close\r\n'
    if number % 2:
        head = f'{head}Content-Length: {len(body)}\r\n\r\n'
        return head.encode() + body
    chunks = [f'{len(body):x}\r\n'.encode(), body, b'\r\n'] if body else []
    head = f'{head}Transfer-Encoding: chunked\r\n\r\n'
    return b''.join((head.encode(), *chunks, b'0\r\nX-Trailer: a\r\n\r\n'))


@contextmanager
def _shared_server():
    """Run one server for many examples; yields it and a runner."""
    with asyncio.Runner() as runner:
        stack = AsyncExitStack()
        server = runner.run(stack.enter_async_context(serving()))
        yield server, runner
        runner.run(stack.aclose())


async def _check_sequence(server, bodies, cuts):
    last = len(bodies) - 1
    raw = b''.join(
        _request(number, body, last=number == last)
        for number, body in enumerate(bodies)
    )
    address, ran, budget = server
    ran.clear()
    answer = await exchange(address, _cut(raw, cuts))
    expected = [(f'/{number}', body) for number, body in enumerate(bodies)]
    assert ran == expected, (ran, expected)
    statuses = _STATUS.findall(answer)
    assert statuses == [b'200' for _ in bodies], answer
    assert budget.held == 0, budget.held


@then('{examples:d} random sequences of requests in random pieces are answered')
def check_sequences(context, examples):
    """Send sequences with and without chunks."""

    @seed(1)
    @settings(_EXAMPLES, max_examples=examples)
    @given_values(_BODIES, _CUTS)
    def check(bodies, cuts):
        runner.run(_check_sequence(server, bodies, cuts))

    with _shared_server() as (server, runner):
        check()


_VARIATIONS = st.tuples(
    st.sampled_from(sorted(_FAULTS)),
    st.integers(0, 120),
    st.binary(max_size=6),
    st.sampled_from((b'', b'\r\n', b'\n', b'\r', b' ', b'\0', b'0\r\n\r\n')),
    _CUTS,
)


async def _check_variation(server, fault, place, noise, line_end, cuts):
    raw = OK_REQUEST + _FAULTS[fault].encode()
    place += len(OK_REQUEST)
    raw = raw[:place] + noise + line_end + raw[place:]
    address, ran, budget = server
    ran.clear()
    answer = await exchange(address, _cut(raw, cuts), ends=True)
    answered = _STATUS.findall(answer).count(b'200')
    # A client that has closed its side may miss the answer to its last one.
    assert answered <= len(ran) <= answered + 1, (raw, answer, ran)
    assert ran[:1] == [('/ok', b'ok')], ran
    assert budget.held == 0, budget.held


@then('{examples:d} random variations of requests have an answer per run')
def check_variations(context, examples):
    """Insert random bytes into requests with faults."""

    @seed(2)
    @settings(_EXAMPLES, max_examples=examples)
    @given_values(_VARIATIONS)
    def check(variation):
        runner.run(_check_variation(server, *variation))

    with _shared_server() as (server, runner):
        check()


async def _send_slowly(timeout):
    limits = RequestLimits(500, 3000, timeout, timeout)
    sent = (
        b'POST / HTTP/1.1\r\nHost',
        b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf',
        b'',
    )
    async with serving(limits) as (address, _, _):
        return await asyncio.gather(
            *(exchange(address, [one] if one else []) for one in sent)
        )


@when(
    'a server with timeouts of {timeout:f} seconds has a client with half a '
    'header section, one with half a body and a silent one'
)
def send_slowly(context, timeout):
    """Wait for the end of each connection."""
    context.answers = asyncio.run(_send_slowly(timeout))


@then('the first two are answered 408, and all are closed')
def check_slow(context):
    """Check the last answers."""
    statuses = [_STATUS.findall(one) for one in context.answers]
    assert statuses == [[b'408'], [b'408'], []], statuses


async def _use_up(count, size, held):
    budget = HttpBudget(BudgetLimits(held, 1000))
    head = f'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {size + 1}\r\n\r\n'
    most = 0
    async with serving(budget=budget) as (address, _, _):
        conns = []
        for _ in range(count):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head.encode() + b'a' * size)
            await asyncio.sleep(0.01)
            most = max(most, budget.held)
            conns.append((reader, writer))
        small = await exchange(
            address, [OK_REQUEST.replace(b'Host: a', b'Connection: close')]
        )
        answers = []
        for reader, writer in conns:
            writer.write_eof()
            answers.append(await reader.read())
            writer.close()
    return most, small, answers


@when(
    '{count:d} requests of {size:d} bytes lack their last byte at a server '
    'with a budget of {held:d} bytes'
)
def use_up(context, count, size, held):
    """Keep all connections open until a small request was sent."""
    context.held = held
    context.outcome = asyncio.run(_use_up(count, size, held))


@then('the server never held more, and a small request is answered')
def check_held(context):
    """Check the largest sample."""
    most, small, _ = context.outcome
    assert most <= context.held, most
    assert _STATUS.findall(small) == [b'200'], small


@then('the refused ones were answered 503 with a time to return, or closed')
def check_refused(context):
    """Check that some were refused, and how."""
    refused = [one for one in context.outcome[2] if _STATUS.findall(one)]
    assert refused
    for answer in refused:
        assert _STATUS.findall(answer) == [b'503'], answer
        assert b'retry-after: 1\r\n' in answer, answer


@then('limits of the process, of a configuration and in force are')
def check_tighter(context):
    """Combine limits whose fields are all equal."""
    for row in context.table:
        process, configured, in_force = (
            RequestLimits(*repeat(int(row[name]), 4))
            for name in ('process', 'configured', 'in force')
        )
        assert tighter_limits(process, configured) == in_force


@then('an entry keeps the limits of the newest configuration that it heard of')
def check_newest(context):
    """Apply the lists of schedulers with configurations of other versions."""
    peers = Peers('entry/a', 'a', 1)
    for version, expected in ((2, 2), (1, 2), (3, 3)):
        limits = RequestLimits(version, version, version, version, version)
        apply_scheduler_list(peers, SchedulerList((), '', 1, limits), 'b')
        assert peers.limits.version == expected, peers.limits
