"""An HTTP server in this process, and a client of it."""

import asyncio
from contextlib import asynccontextmanager

import falcon.asgi

from daisygw.contracts import RequestLimits
from daisygw.links.processes import (
    WAITING_SINCE,
    BudgetLimits,
    HttpBudget,
    HttpService,
    listen,
    serving_http,
)

REQUEST_LIMITS = RequestLimits(
    header=500, body=3000, header_timeout=9, idle_timeout=9
)
OK_REQUEST = b'POST /ok HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok'
# Time that ``/brief`` takes (s): some turns of the loop.
_BRIEF_S = 0.001
# Time that ``/slow`` takes (s), and bytes of ``/large``: more than the kernel
# buffers for a client that does not read.
SLOW_S = 1.5
LARGE_BYTES = 8_000_000
# Time for a server to start (s).
_SETTLE_S = 0.05


@asynccontextmanager
async def serving(limits=REQUEST_LIMITS, budget=None, waited=None):
    """Serve in this process; yields the address, requests and the budget.

    ``waited`` gets the path of each request and how long it waited (s).
    """
    ran = []
    app = falcon.asgi.App()

    async def serve(req, resp):
        body = await req.stream.readall()
        ran.append((req.path, body))
        if waited is not None:
            now = asyncio.get_running_loop().time()
            waited[req.path] = now - req.scope[WAITING_SINCE]
        if req.path == '/slow':
            await asyncio.sleep(SLOW_S)
        if req.path == '/brief':
            await asyncio.sleep(_BRIEF_S)
        large = bytes(LARGE_BYTES) if req.path == '/large' else b''
        resp.data = large or body or b'-'

    app.add_sink(serve, '/')
    sock = listen('127.0.0.1:0')
    budget = budget or HttpBudget(BudgetLimits(1_000_000, 100))
    service = HttpService(app, sock, 'test', lambda: limits, budget)
    async with serving_http((service,), 1):
        await asyncio.sleep(_SETTLE_S)
        yield sock.getsockname(), ran, budget


async def exchange(address, pieces, *, ends=False, pause=0):
    """Send pieces; return all that comes back until the server closes.

    ``ends`` tells whether the client then closes its side, ``pause`` how long
    it waits after each piece (s).
    """
    reader, writer = await asyncio.open_connection(*address)
    try:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(pause)
        if ends:
            writer.write_eof()
        return await asyncio.wait_for(reader.read(), 10)
    except ConnectionError:
        return b''
    finally:
        writer.close()
