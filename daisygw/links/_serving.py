"""HTTP server and its listening socket."""

import asyncio
import socket
from collections.abc import AsyncGenerator, Callable, Generator, Sequence
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import uvicorn

from daisygw.contracts import LinkError, RequestLimits, ResultCode
from daisygw.links._http_budget import HttpBudget, log_refusals
from daisygw.links._http_connection import Connection
from daisygw.links._logs import log
from daisygw.links._pauses import PauseWatch, watching_pauses

# Connections that can wait to be accepted: more than callers open at once.
_LISTEN_BACKLOG = 2048
# Connections accepted in one turn of the loop, so that too many of them are
# closed before the process has no descriptors left.
_ACCEPTED_PER_TURN = 16
# Receive buffer of a connection (bytes): what a client sends beyond it waits
# at the client.
_RECEIVE_BUFFER_BYTES = 65_536
# Turns of the loop until an accepted connection has joined its server.
_ACCEPT_TURNS = 2
# Limits on a request without a configuration: no client that respects the
# usual ones (16 KiB of header section, 256 KiB of body) meets them.
_MAX_HEADER_BYTES = 65_536
_MAX_BODY_BYTES = 8_388_608
_HEADER_TIMEOUT_S = 30.0
_IDLE_TIMEOUT_S = 60.0
# How long a server that stops still reads from idle connections: requests may
# be on their way on them.
_LINGER_S = 0.2
# The date of responses has whole seconds.
_DATE_INTERVAL_S = 1.0


def default_request_limits() -> RequestLimits:
    """Return the limits on a request without a configuration."""
    return RequestLimits(
        _MAX_HEADER_BYTES, _MAX_BODY_BYTES, _HEADER_TIMEOUT_S, _IDLE_TIMEOUT_S
    )


def tighter_limits(
    limits: RequestLimits, configured: RequestLimits | None
) -> RequestLimits:
    """Return the tighter of two limits each; a configured 0 is none."""
    if configured is None:
        return limits
    return RequestLimits(
        min(limits.header, configured.header or limits.header),
        min(limits.body, configured.body or limits.body),
        min(
            limits.header_timeout,
            configured.header_timeout or limits.header_timeout,
        ),
        min(
            limits.idle_timeout,
            configured.idle_timeout or limits.idle_timeout,
        ),
        configured.version,
    )


@dataclass(frozen=True, slots=True)
class HttpService:
    """An application with its listening socket.

    ``limits`` returns the limits on a request that are in force; ``budget``
    is what its clients may make the process hold.
    """

    app: Any
    sock: socket.socket
    name: str = 'http'
    limits: Callable[[], RequestLimits] = default_request_limits
    budget: HttpBudget = field(default_factory=HttpBudget)


def _accept_waiting(sock: socket.socket, most: int) -> list[socket.socket]:
    """Return connections that wait in the queue of a listening socket."""
    accepted: list[socket.socket] = []
    try:
        for _ in range(most):
            accepted.append(sock.accept()[0])
    except BlockingIOError:
        return accepted
    except OSError as exc:
        log('connections not accepted', reason=str(exc))
    return accepted


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers.

    Each second it closes the connections of its budget that are too slow.

    uvicorn resets connections that it has not accepted when it stops, and
    closes idle ones at once; this server answers the requests on them first.
    """

    def __init__(self, config: uvicorn.Config, budget: HttpBudget) -> None:
        """Create a server that has not been told to stop."""
        super().__init__(config)
        self.budget = budget
        self.stopping = asyncio.Event()

    def stop(self) -> None:
        """Let the server end at once, instead of at its next second."""
        self.should_exit = True
        self.stopping.set()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen; asyncio's backlog is also how many it accepts in a turn."""
        await super().startup(sockets)
        for sock in sockets or ():
            sock.listen(_LISTEN_BACKLOG)

    async def main_loop(self) -> None:
        """Update the date of responses each second until told to stop.

        uvicorn wakes up ten times a second.
        """
        loop = asyncio.get_running_loop()
        while not await self.on_tick(0):
            for conn in tuple(self.budget.connections):
                conn.check_times(loop.time())
            log_refusals(self.budget)
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
        # More would take the descriptors that the process needs to stop.
        free = self.budget.limits.connections - len(self.budget.connections)
        most = max(free, _ACCEPTED_PER_TURN)
        accepted = [
            conn
            for sock in sockets or ()
            for conn in _accept_waiting(sock, most)
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
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
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
    service: HttpService,
    grace: float,
    is_draining: Callable[[], bool],
    pauses: PauseWatch,
) -> _Server:
    def closes_connections() -> bool:
        return server.should_exit or is_draining()

    config = uvicorn.Config(
        service.app,
        loop='asyncio',
        http=partial(
            Connection,
            closes_connections,
            service.limits,
            service.budget,
            pauses,
        ),
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        backlog=_ACCEPTED_PER_TURN,
        timeout_keep_alive=int(_IDLE_TIMEOUT_S),
        timeout_graceful_shutdown=grace,
    )
    server = _Server(config, service.budget)
    return server


@asynccontextmanager
async def serving_http(
    services: Sequence[HttpService],
    grace: float,
    is_draining: Callable[[], bool] = _never,
) -> AsyncGenerator[None, None]:
    """Serve each of ``services`` on its socket while the body runs.

    While ``is_draining``, connections are closed after their last response.
    At the end all servers stop at the same time, and wait up to ``grace``
    seconds for requests in progress.
    """
    with watching_pauses() as pauses:
        servers = [
            _make_server(service, grace, is_draining, pauses)
            for service in services
        ]
        tasks = [
            asyncio.ensure_future(server.serve(sockets=[service.sock]))
            for server, service in zip(servers, services, strict=True)
        ]
        try:
            yield
        finally:
            for server in servers:
                server.stop()
            await asyncio.gather(*tasks)
