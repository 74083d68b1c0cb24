"""HTTP server and its listening socket."""

import asyncio
import socket
from collections.abc import AsyncGenerator, Generator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import uvicorn

from daisygw.contracts import LinkError, ResultCode

# Connections that can wait to be accepted: more than callers open at once.
_LISTEN_BACKLOG = 2048
# How long an idle connection of a caller is kept open.
_KEEP_ALIVE_S = 60


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


@asynccontextmanager
async def serving_http(
    app: Any,
    sock: socket.socket,
    grace: float,
) -> AsyncGenerator[None, None]:
    """Serve ``app`` on ``sock`` while the body runs.

    At the end, wait up to ``grace`` seconds for requests in progress.
    """
    config = uvicorn.Config(
        app,
        loop='asyncio',
        http='httptools',
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
