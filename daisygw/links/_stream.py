"""Links between our own processes: one long-lived stream, carrying batches.

A link sends everything that became ready in one turn of the loop as one
batch.  What could not be sent when a link breaks is dropped: every message
between our processes is safe to lose and to repeat.  A link that brings
nothing for a while, not even a pulse, counts as broken, so that a silent
partition is noticed.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass
from typing import Any, TypeAlias

from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream

from daisygw.links._codec import BatchCodec, encode_batch

_EXCHANGE = '/daisygw.Links/Exchange'
_PEER = 'daisygw-peer'
# Pause before a lost link is connected again, s: under half an election.
_RETRY = 0.2
# Most messages that wait on a link; more are dropped and counted: 45 s of
# 2,200 starts.
_MOST_WAITING = 100_000
# A connection attempt into a partition is given up and begun anew, s: the
# kernel alone would try again only after ever longer pauses.
_CONNECT_WAIT = 1.0
_BROKEN = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    asyncio.TimeoutError,
)


@dataclass(frozen=True, slots=True)
class LinkTiming:
    """How a link notices silence, in seconds.

    It sends at least every ``heartbeat_interval``, and is broken after
    ``silence``.
    """

    heartbeat_interval: float = 1.0
    silence: float = 2.5


_USUAL_PACE = LinkTiming()
OnMessage: TypeAlias = Callable[['Link', Any], None]
OnChange: TypeAlias = Callable[['Link'], None]


class Link:
    """One end of a link to the process called ``peer``."""

    def __init__(self, peer: str) -> None:
        """Begin with nothing to send and not connected."""
        self.peer = peer
        self.current_group = ''
        self.up = False
        self.heard = 0.0
        self.waiting: list[Any] = []
        self.ready = asyncio.Event()
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.dropped = 0


def post(link: Link, message: Any) -> None:
    """Leave a message to be sent with the next batch."""
    if not link.up or len(link.waiting) >= _MOST_WAITING:
        link.dropped += 1
        return
    link.waiting.append(message)
    link.ready.set()


async def _watch(link: Link, pace: LinkTiming) -> None:
    """Send a pulse (an empty batch) now and then; end when it falls silent."""
    loop = asyncio.get_running_loop()
    link.heard = loop.time()
    while loop.time() - link.heard < pace.silence:
        await asyncio.sleep(pace.heartbeat_interval)
        link.ready.set()


async def _send_batches(link: Link, stream: Any) -> None:
    while True:
        await link.ready.wait()
        link.ready.clear()
        batch = link.waiting
        link.waiting = []
        link.sent += len(batch)
        encoded = encode_batch(batch)
        link.sent_bytes += len(encoded)
        await stream.send_message(encoded)


async def _receive_batches(
    link: Link,
    stream: Any,
    on_message: OnMessage,
) -> None:
    loop = asyncio.get_running_loop()
    async for batch in stream:
        link.heard = loop.time()
        link.received += len(batch)
        for message in batch:
            on_message(link, message)


def _set_up(link: Link, on_change: OnChange, *, up: bool) -> None:
    link.waiting.clear()
    link.current_group = ''
    link.up = up
    on_change(link)


@asynccontextmanager
async def _connected(
    link: Link, on_change: OnChange
) -> AsyncGenerator[None, None]:
    _set_up(link, on_change, up=True)
    try:
        yield
    finally:
        _set_up(link, on_change, up=False)


async def _end(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.wait([task])
    if not task.cancelled():
        task.exception()


@asynccontextmanager
async def running(work: Any) -> AsyncGenerator[asyncio.Task, None]:
    """Run a coroutine beside the body, and cancel it at the end.

    A cancellation of the body itself is passed on, also while it waits for
    the coroutine's end.
    """
    task = asyncio.ensure_future(work)
    try:
        yield task
    finally:
        await _end(task)


async def _exchange(
    link: Link,
    stream: Any,
    on_message: OnMessage,
    pace: LinkTiming,
) -> None:
    work = (
        _send_batches(link, stream),
        _receive_batches(link, stream, on_message),
        _watch(link, pace),
    )
    async with AsyncExitStack() as stack:
        tasks = [await stack.enter_async_context(running(one)) for one in work]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)


async def keep_connected(
    link: Link,
    me: str,
    address: str,
    on_message: OnMessage,
    on_change: OnChange,
    pace: LinkTiming = _USUAL_PACE,
) -> None:
    """Hold a link to ``address`` open, again and again until cancelled."""
    host, _, port = address.rpartition(':')
    while True:
        channel = Channel(host, int(port), codec=BatchCodec())
        method = StreamStreamMethod(channel, _EXCHANGE, list, list)
        try:
            await _connect(link, me, method, (on_message, on_change), pace)
        except _BROKEN:
            link.up = False
        finally:
            channel.close()
        await asyncio.sleep(_RETRY)


async def _connect(
    link: Link,
    me: str,
    method: StreamStreamMethod,
    callbacks: tuple[OnMessage, OnChange],
    pace: LinkTiming,
) -> None:
    on_message, on_change = callbacks
    async with method.open(metadata={_PEER: me}) as stream:
        async with asyncio.timeout(_CONNECT_WAIT):
            await stream.send_request()
            await stream.recv_initial_metadata()
        async with _connected(link, on_change):
            await _exchange(link, stream, on_message, pace)
            await stream.cancel()


class _Acceptor:
    """Serves the links that other processes open."""

    def __init__(
        self,
        on_message: OnMessage,
        on_change: OnChange,
        pace: LinkTiming,
    ) -> None:
        self.on_message = on_message
        self.on_change = on_change
        self.pace = pace

    async def accept(self, stream: Stream) -> None:
        """Serve one link until it ends."""
        link = Link(str(stream.metadata.get(_PEER, '')))
        await stream.send_initial_metadata()
        async with _connected(link, self.on_change):
            with suppress(*_BROKEN):
                await _exchange(link, stream, self.on_message, self.pace)

    def __mapping__(self) -> dict[str, Handler]:
        """Name the one method that is served, for grpclib."""
        handler = Handler(
            self.accept,
            Cardinality.STREAM_STREAM,
            list,
            list,
        )
        return {_EXCHANGE: handler}


@asynccontextmanager
async def serving(
    address: str,
    on_message: OnMessage,
    on_change: OnChange,
    pace: LinkTiming = _USUAL_PACE,
) -> AsyncGenerator[None, None]:
    """Accept links at ``address`` while the body runs."""
    host, _, port = address.rpartition(':')
    acceptor = _Acceptor(on_message, on_change, pace)
    server = Server([acceptor], codec=BatchCodec())
    await server.start(host, int(port))
    try:
        yield
    finally:
        server.close()
        await server.wait_closed()
