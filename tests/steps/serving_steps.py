"""Steps that stop an HTTP server while requests arrive."""

import asyncio
import logging as std_logging
import socket
import time
from contextlib import contextmanager

import falcon.asgi
from absl import logging
from behave import then, when

from daisygw.links.processes import HttpService, listen, serving_http

_REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
_OK = b'HTTP/1.1 200 '
_END = b'\r\n\r\n{}'
# More than the turns of the loop until the server stops.
_IDLE_CONNECTIONS = 200
# Time between two requests: a turn of the server's loop (s).
_TURN_S = 0.002
_READ_TIMEOUT_S = 5
_GRACE_S = 1
_MIN_TURNS = 2
# Time for the server to start, to read requests and to close connections (s).
_SETTLE_S = 0.1


class _Empty:
    async def on_get(self, req, resp):
        resp.media = {}


async def _connect(address):
    """Return a connection that the server has read a request from."""
    conn = socket.create_connection(address, _READ_TIMEOUT_S)
    conn.sendall(_REQUEST)
    await asyncio.to_thread(_read_until, conn, _END)
    return conn


def _read_until(conn, end):
    """Read until ``end`` or the end of the connection."""
    received = b''
    while not received.endswith(end):
        chunk = conn.recv(1 << 16)
        if not chunk:
            break
        received += chunk
    return received


async def _send_until_refused(address, idle, sent):
    """Send a request on an idle and on a new connection in each turn.

    This runs in the loop of the server, which so reads nothing meanwhile.
    """
    while True:
        try:
            conn = socket.create_connection(address, _READ_TIMEOUT_S)
        except ConnectionError:
            return
        sent += [conn, idle.pop()]
        for one in sent[-2:]:
            one.sendall(_REQUEST)
        time.sleep(_TURN_S)
        await asyncio.sleep(0)


def _answer(conn):
    try:
        return _read_until(conn, _END)
    except OSError as exc:
        return type(exc).__name__.encode()
    finally:
        conn.close()


async def _stop_while_requests_arrive():
    app = falcon.asgi.App()
    app.add_route('/', _Empty())
    sock = listen('127.0.0.1:0')
    address = sock.getsockname()
    sent = []
    async with serving_http((HttpService(app, sock),), _GRACE_S):
        await asyncio.sleep(_SETTLE_S)
        idle = [await _connect(address) for _ in range(_IDLE_CONNECTIONS)]
        sending = asyncio.ensure_future(
            _send_until_refused(address, idle, sent)
        )
    await sending
    for conn in idle:
        conn.close()
    return [_answer(conn) for conn in sent]


class _Hanging:
    async def on_get(self, req, resp):
        await asyncio.Event().wait()


@contextmanager
def _collecting_lines():
    """Collect the event and the fields of each log line."""
    lines = []
    handler = std_logging.Handler()
    handler.emit = lambda record: lines.append((
        record.getMessage(),
        record.daisygw_fields,
    ))
    logger = logging.get_absl_logger()
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(std_logging.INFO)
    try:
        yield lines
    finally:
        logger.setLevel(level)
        logger.removeHandler(handler)


async def _stop_at_once(requests):
    app = falcon.asgi.App()
    app.add_route('/', _Hanging())
    sock = listen('127.0.0.1:0')
    async with serving_http((HttpService(app, sock),), 0):
        await asyncio.sleep(_SETTLE_S)
        conn = socket.create_connection(sock.getsockname(), _READ_TIMEOUT_S)
        conn.sendall(_REQUEST * requests)
        await asyncio.sleep(_SETTLE_S)
    await asyncio.sleep(_SETTLE_S)
    conn.close()


@when('a server stops at once with {requests:d} requests on one connection')
def stop_at_once(context, requests):
    """Stop a server whose requests never end; collect its log lines."""
    with _collecting_lines() as lines:
        asyncio.run(_stop_at_once(requests))
    context.lines = lines


@then('it logs that it has cut off {requests:d} request')
def check_cut_off(context, requests):
    """Expect one line with this number; the other request was answered 500."""
    assert context.lines == [('requests cut off', {'requests': requests})], (
        context.lines
    )


@when('requests reach a server on idle and new connections until it stops')
def stop_server(context):
    """Stop the server; read the answers once it has stopped."""
    context.answers = asyncio.run(_stop_while_requests_arrive())


@then('each of them has a complete answer')
def check_answers(context):
    """Expect a complete response with status 200 on every connection."""
    cut = [
        one
        for one in context.answers
        if not (one.startswith(_OK) and one.endswith(_END))
    ]
    assert not cut, (len(context.answers), len(cut), cut[:3])
    assert len(context.answers) >= 2 * _MIN_TURNS, context.answers
