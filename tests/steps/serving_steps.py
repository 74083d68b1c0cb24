"""Steps that stop an HTTP server while requests arrive."""

import asyncio
import socket
import time

import falcon.asgi
from behave import then, when

from daisygw.links.processes import listen, serving_http

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
    async with serving_http(((app, sock),), _GRACE_S):
        await asyncio.sleep(0.1)
        idle = [await _connect(address) for _ in range(_IDLE_CONNECTIONS)]
        sending = asyncio.ensure_future(
            _send_until_refused(address, idle, sent)
        )
    await sending
    for conn in idle:
        conn.close()
    return [_answer(conn) for conn in sent]


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
