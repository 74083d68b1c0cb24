"""Links between our own processes: long-lived streams of message batches.

A link sends all messages of one turn of the event loop as one batch.  When a
link breaks, its unsent messages are dropped: every message between our
processes can be lost or repeated without harm.  A link that receives nothing
for a while, not even a heartbeat, counts as broken, so that a network
partition is detected.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass
from functools import partial
from typing import Any, TypeAlias

from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream

from daisygw.contracts import ContractError
from daisygw.links._codec import BatchCodec, encode_storable
from daisygw.links._logs import log, log_error

_EXCHANGE_METHOD = '/daisygw.Links/Exchange'
_PEER_HEADER = 'daisygw-peer'
# Delay before a lost link is connected again: less than half an election.
_RECONNECT_DELAY_S = 0.2
# A heartbeat that is due this soon is sent at once.
_SOON_S = 0.01
# Messages that can be queued on a link: 45 s at 2,200 starts a second.
# Further ones are dropped and counted.
_MAX_QUEUED_MESSAGES = 100_000
# Limit for one connection attempt: during a network partition, the kernel
# would retry only with ever longer delays.
_CONNECT_TIMEOUT_S = 1.0
_CONNECTION_ERRORS = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    asyncio.TimeoutError,
)


@dataclass(frozen=True, slots=True)
class LinkTiming:
    """Heartbeat interval and receive timeout of a link, in seconds.

    A link sends a batch at least every ``heartbeat_interval``, and counts as
    broken when it has received nothing for ``silence``.  Between processes
    that only stay in touch, it is ``idle_interval`` and ``idle_silence``.
    """

    heartbeat_interval: float = 1.0
    silence: float = 2.5
    idle_interval: float = 1.0
    idle_silence: float = 2.5


_DEFAULT_TIMING = LinkTiming()
OnMessage: TypeAlias = Callable[['Link', Any], None]
OnChange: TypeAlias = Callable[['Link'], None]


class Link:
    """One end of a link to the process called ``peer``.

    ``heard`` is the loop time (s) of the last batch received, ``sent_at`` that
    of the last one sent;
    ``current_group`` is the group that the messages sent now are for.  An
    ``idle`` link is kept for later only, so it has fewer heartbeats.
    """

    def __init__(self, peer: str) -> None:
        """Start disconnected, with an empty send queue."""
        self.peer = peer
        self.current_group = ''
        self.up = False
        self.idle = False
        self.heard = 0.0
        self.sent_at = 0.0
        self.waiting: list[Any] = []
        self.ready = asyncio.Event()
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.dropped = 0


def post(link: Link, message: Any) -> None:
    """Queue a message for the next batch; drop it where the link is down."""
    if not link.up or len(link.waiting) >= _MAX_QUEUED_MESSAGES:
        link.dropped += 1
        return
    link.waiting.append(message)
    link.ready.set()


async def _monitor_liveness(link: Link, timing: LinkTiming) -> None:
    """Send heartbeats (empty batches); return after the receive timeout.

    None is sent where a batch has just been sent.
    """
    loop = asyncio.get_running_loop()
    link.heard = loop.time()
    link.sent_at = loop.time()
    while loop.time() - link.heard < _receive_timeout(link, timing):
        interval = timing.idle_interval if link.idle else 0
        interval = max(interval, timing.heartbeat_interval)
        due = link.sent_at + interval - loop.time()
        if due <= _SOON_S:
            link.ready.set()
            due = interval
        # A link that is needed again is noticed within the shorter interval.
        await asyncio.sleep(min(due, timing.heartbeat_interval))


def _receive_timeout(link: Link, timing: LinkTiming) -> float:
    return timing.idle_silence if link.idle else timing.silence


def set_idle(link: Link, *, idle: bool) -> None:
    """Let a link have fewer heartbeats, or as many as usual from now on."""
    if link.idle and not idle:
        link.ready.set()
    link.idle = idle


async def _send_batches(link: Link, stream: Any) -> None:
    loop = asyncio.get_running_loop()
    while True:
        await link.ready.wait()
        link.ready.clear()
        batch = link.waiting
        link.waiting = []
        link.sent += len(batch)
        link.sent_at = loop.time()
        encoded = encode_storable(batch, partial(_drop_message, link))
        link.sent_bytes += len(encoded)
        await stream.send_message(encoded)


def _drop_message(link: Link, message: Any, exc: ContractError) -> None:
    link.dropped += 1
    log(
        'message dropped',
        peer=link.peer,
        kind=type(message).__name__,
        code=exc.code,
        reason=exc.reason,
    )


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
            _handle_message(link, message, on_message)


def _handle_message(link: Link, message: Any, on_message: OnMessage) -> None:
    """Handle one message; an error concerns neither the link nor the others."""
    try:
        on_message(link, message)
    except Exception as exc:
        kind = type(message).__name__
        log_error('message failed', exc, peer=link.peer, kind=kind)


def _set_state(link: Link, on_change: OnChange, *, up: bool) -> None:
    link.waiting.clear()
    link.current_group = ''
    link.up = up
    on_change(link)


@asynccontextmanager
async def _connected(
    link: Link, on_change: OnChange
) -> AsyncGenerator[None, None]:
    _set_state(link, on_change, up=True)
    try:
        yield
    finally:
        _set_state(link, on_change, up=False)


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.wait([task])
    if not task.cancelled():
        task.exception()


@asynccontextmanager
async def running(work: Any) -> AsyncGenerator[asyncio.Task, None]:
    """Run a coroutine concurrently with the body, and cancel it at the end.

    A cancellation of the body propagates, also while it waits for the
    coroutine to end.
    """
    task = asyncio.ensure_future(work)
    try:
        yield task
    finally:
        await _cancel(task)


async def _exchange(
    link: Link,
    stream: Any,
    on_message: OnMessage,
    timing: LinkTiming,
) -> None:
    work = (
        _send_batches(link, stream),
        _receive_batches(link, stream, on_message),
        _monitor_liveness(link, timing),
    )
    async with AsyncExitStack() as stack:
        tasks = [
            await stack.enter_async_context(running(part)) for part in work
        ]
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            _report_fault(link, task)


def _report_fault(link: Link, task: asyncio.Task) -> None:
    """Log an error that is not one of the connection."""
    exc = None if task.cancelled() else task.exception()
    if exc and not isinstance(exc, _CONNECTION_ERRORS):
        log_error('link crashed', exc, peer=link.peer)


async def keep_connected(
    link: Link,
    own_name: str,
    address: str,
    on_message: OnMessage,
    on_change: OnChange,
    timing: LinkTiming = _DEFAULT_TIMING,
) -> None:
    """Keep a link to ``address`` connected until cancelled."""
    host, _, port = address.rpartition(':')
    while True:
        channel = Channel(host, int(port), codec=BatchCodec())
        method = StreamStreamMethod(channel, _EXCHANGE_METHOD, list, list)
        try:
            await _connect(
                link, own_name, method, (on_message, on_change), timing
            )
        except _CONNECTION_ERRORS:
            link.up = False
        except Exception as exc:
            link.up = False
            log_error('link crashed', exc, peer=link.peer)
        finally:
            channel.close()
        await asyncio.sleep(_RECONNECT_DELAY_S)


async def _connect(
    link: Link,
    own_name: str,
    method: StreamStreamMethod,
    callbacks: tuple[OnMessage, OnChange],
    timing: LinkTiming,
) -> None:
    on_message, on_change = callbacks
    async with method.open(metadata={_PEER_HEADER: own_name}) as stream:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            await stream.send_request()
            await stream.recv_initial_metadata()
        async with _connected(link, on_change):
            await _exchange(link, stream, on_message, timing)
            await stream.cancel()


class _Acceptor:
    """Accepts the links that other processes open."""

    def __init__(
        self,
        on_message: OnMessage,
        on_change: OnChange,
        timing: LinkTiming,
    ) -> None:
        self.on_message = on_message
        self.on_change = on_change
        self.timing = timing

    async def accept(self, stream: Stream) -> None:
        """Serve one link until it ends."""
        link = Link(str(stream.metadata.get(_PEER_HEADER, '')))
        await stream.send_initial_metadata()
        async with _connected(link, self.on_change):
            with suppress(*_CONNECTION_ERRORS):
                await _exchange(link, stream, self.on_message, self.timing)

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handler of the only method, as grpclib asks for it."""
        handler = Handler(
            self.accept,
            Cardinality.STREAM_STREAM,
            list,
            list,
        )
        return {_EXCHANGE_METHOD: handler}


@asynccontextmanager
async def accepting_links(
    address: str,
    on_message: OnMessage,
    on_change: OnChange,
    timing: LinkTiming = _DEFAULT_TIMING,
) -> AsyncGenerator[None, None]:
    """Accept links at ``address`` (host:port) while the body runs."""
    host, _, port = address.rpartition(':')
    acceptor = _Acceptor(on_message, on_change, timing)
    server = Server([acceptor], codec=BatchCodec())
    await server.start(host, int(port))
    try:
        yield
    finally:
        server.close()
        await server.wait_closed()
