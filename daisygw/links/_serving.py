"""HTTP server and its listening socket."""

import asyncio
import socket
from collections.abc import AsyncGenerator, Callable, Generator
from contextlib import asynccontextmanager, contextmanager
from functools import partial
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from daisygw.contracts import LinkError, ResultCode
from daisygw.links._logs import log

# Connections that can wait to be accepted: more than callers open at once.
_LISTEN_BACKLOG = 2048
# How long an idle connection of a caller is kept open.
_KEEP_ALIVE_S = 60


class _Connection(HttpToolsProtocol):
    """A connection that is closed after its last request while draining.

    A response that announces the close ends the connection, so only the last
    of the requests received may have it (RFC 9112, 9.6).  ``reusable`` tells
    whether the client allows further requests after the newest one, and
    ``unanswered`` counts the requests received without a complete response.
    """

    def __init__(self, is_draining: Callable[[], bool], **server: Any) -> None:
        """Create the state of a new connection of a server."""
        super().__init__(**server)
        self.is_draining = is_draining
        self.reusable = True
        self.unanswered = 0
        self.peer_closed = False

    def on_headers_complete(self) -> None:
        """Start a request, after which a draining server closes."""
        earlier = self.cycle
        super().on_headers_complete()
        self.unanswered += 1
        if earlier is not None and not earlier.response_started:
            earlier.keep_alive = self.reusable
        self.reusable = self.cycle.keep_alive
        if self.is_draining():
            self.cycle.keep_alive = False

    def on_response_complete(self) -> None:
        """Count the response, and start the next request if there is one."""
        self.unanswered -= 1
        super().on_response_complete()

    def eof_received(self) -> None:
        """Note that the peer closes the connection."""
        self.peer_closed = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Log requests that this process leaves without a response."""
        if self.unanswered and exc is None and not self.peer_closed:
            log('requests cut off', requests=self.unanswered)
        super().connection_lost(exc)


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Leave the signal handlers of the process as they are."""
        yield


def listen(address: str) -> socket.socket:
    """Return a socket bound to host:port; raises ``LinkError`` (PORT_TAKEN)."""
    host, _, port = address.rpartition(':')
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, int(port)))
    except OSError as exc:
        sock.close()
        raise LinkError(
            ResultCode.PORT_TAKEN,
            f'{address}: {exc.strerror}',
        ) from exc
    sock.setblocking(False)
    return sock


def _never() -> bool:
    return False


@asynccontextmanager
async def serving_http(
    app: Any,
    sock: socket.socket,
    grace: float,
    is_draining: Callable[[], bool] = _never,
) -> AsyncGenerator[None, None]:
    """Serve ``app`` on ``sock`` while the body runs.

    While ``is_draining``, connections are closed after their last response.
    At the end, wait up to ``grace`` seconds for requests in progress.
    """

    def closes_connections() -> bool:
        return server.should_exit or is_draining()

    config = uvicorn.Config(
        app,
        loop='asyncio',
        http=partial(_Connection, closes_connections),
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        backlog=_LISTEN_BACKLOG,
        timeout_keep_alive=_KEEP_ALIVE_S,
        timeout_graceful_shutdown=int(grace),
    )
    server = _Server(config)
    task = asyncio.ensure_future(server.serve(sockets=[sock]))
    try:
        yield
    finally:
        server.should_exit = True
        await task
