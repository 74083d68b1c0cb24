"""Serving HTTP at an address, for as long as a body runs."""

import asyncio
import socket
from collections.abc import AsyncGenerator, Generator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import uvicorn

from daisygw.contracts import LinkError, ResultCode

# Connections that may wait to be accepted: more than callers open at once.
_BACKLOG = 2048
# An idle connection of a caller is kept for this long, s.
_KEEP_ALIVE = 60


class _Server(uvicorn.Server):
    """A server that leaves signals to the process."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Capture none."""
        yield


def listen(address: str) -> socket.socket:
    """Listen at an address, or raise with PORT_TAKEN."""
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
    """Serve ``app`` on ``sock``; at the end wait ``grace`` s for answers."""
    config = uvicorn.Config(
        app,
        loop='asyncio',
        http='httptools',
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        backlog=_BACKLOG,
        timeout_keep_alive=_KEEP_ALIVE,
        timeout_graceful_shutdown=int(grace),
    )
    server = _Server(config)
    task = asyncio.ensure_future(server.serve(sockets=[sock]))
    try:
        yield
    finally:
        server.should_exit = True
        await task
