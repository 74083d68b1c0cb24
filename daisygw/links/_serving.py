"""HTTP server and its listening socket."""

import asyncio
import socket
from collections.abc import AsyncGenerator, Callable, Generator, Iterable
from contextlib import asynccontextmanager, contextmanager, suppress
from functools import partial
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from daisygw.contracts import LinkError, ResultCode
from daisygw.links._logs import log

# Connections that can wait to be accepted: more than callers open at once.
_LISTEN_BACKLOG = 2048
# Turns of the loop until an accepted connection has joined its server.
_ACCEPT_TURNS = 2
# How long an idle connection of a caller is kept open.
_KEEP_ALIVE_S = 60
# How long a server that stops still reads from idle connections: requests may
# be on their way on them.
_LINGER_S = 0.2
# The date of responses has whole seconds.
_DATE_INTERVAL_S = 1.0


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


def _accept_all(sock: socket.socket) -> list[socket.socket]:
    """Return the connections that wait in the queue of a listening socket."""
    accepted: list[socket.socket] = []
    try:
        for _ in range(_LISTEN_BACKLOG):
            accepted.append(sock.accept()[0])
    except BlockingIOError:
        return accepted
    except OSError as exc:
        log('connections not accepted', reason=str(exc))
    return accepted


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers.

    uvicorn resets connections that it has not accepted when it stops, and
    closes idle ones at once; this server answers the requests on them first.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        """Create a server that has not been told to stop."""
        super().__init__(config)
        self.stopping = asyncio.Event()

    def stop(self) -> None:
        """Let the server end at once, instead of at its next second."""
        self.should_exit = True
        self.stopping.set()

    async def main_loop(self) -> None:
        """Update the date of responses each second until told to stop.

        uvicorn wakes up ten times a second.
        """
        while not await self.on_tick(0):
            with suppress(TimeoutError):
                await asyncio.wait_for(self.stopping.wait(), _DATE_INTERVAL_S)

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Leave the signal handlers of the process as they are."""
        yield

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Stop accepting; answer what was sent; close all connections."""
        loop = asyncio.get_running_loop()
        for sock in sockets or ():
            loop.remove_reader(sock)
        # Connections that asyncio has accepted reach the server first, as it
        # drops them once the listening socket is closed.
        for _ in range(_ACCEPT_TURNS):
            await asyncio.sleep(0)
        accepted = [
            conn for sock in sockets or () for conn in _accept_all(sock)
        ]
        for server in self.servers:
            server.close()
        for conn in accepted:
            await loop.connect_accepted_socket(self._make_connection, conn)
        await asyncio.sleep(_LINGER_S)
        await super().shutdown(sockets)

    def _make_connection(self) -> asyncio.Protocol:
        return self.config.http_protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )


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


def _make_server(
    app: Any, grace: float, is_draining: Callable[[], bool]
) -> _Server:
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
        timeout_graceful_shutdown=grace,
    )
    server = _Server(config)
    return server


@asynccontextmanager
async def serving_http(
    apps: Iterable[tuple[Any, socket.socket]],
    grace: float,
    is_draining: Callable[[], bool] = _never,
) -> AsyncGenerator[None, None]:
    """Serve each of ``apps`` on its socket while the body runs.

    While ``is_draining``, connections are closed after their last response.
    At the end all servers stop at the same time, and wait up to ``grace``
    seconds for requests in progress.
    """
    servers: list[_Server] = []
    tasks: list[asyncio.Task] = []
    for app, sock in apps:
        server = _make_server(app, grace, is_draining)
        servers.append(server)
        tasks.append(asyncio.ensure_future(server.serve(sockets=[sock])))
    try:
        yield
    finally:
        for server in servers:
            server.stop()
        await asyncio.gather(*tasks)
