"""One connection of an HTTP client that may respect no limits."""

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

import httptools
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from daisygw.contracts import RequestLimits
from daisygw.links._eviction import Holding
from daisygw.links._http_budget import (
    HttpBudget,
    has_room,
    victims_for_bytes,
    victims_for_connection,
)
from daisygw.links._http_refusals import (
    CAUSE_CONNECTIONS,
    CAUSE_IDLE,
    CAUSE_MEMORY,
    CAUSE_TIMEOUT,
    Refused,
    body_refusal,
    header_refusal,
    memory_refusal,
    refusal_of,
    time_refusal,
    write_refusal,
)
from daisygw.links._logs import log
from daisygw.links._pauses import PauseWatch, waiting_since

# Key of the scope of a request, see ``Connection``.
WAITING_SINCE = 'daisygw.waiting_since'
# Received bytes are parsed in pieces of this size, so that limits are checked
# before much more has been stored.
_PIECE_BYTES = 4096
# A request line may have this many bytes beside the header section.
_REQUEST_LINE_BYTES = 8192
# Empty lines that a client may send after a request.
_EMPTY_LINES_BYTES = 4
# The colon, the space and the end of a header line.
_LINE_BYTES = 4
# Memory of one header line beside its bytes.
_HEADER_LINE_BYTES = 160
# Requests of one connection that wait for their turn; more are not parsed yet.
_MAX_PIPELINED = 16
# A request may have this many times its largest body on the wire: a chunk of
# one byte takes six.
_WIRE_FACTOR = 8
# How long (s) a refused client may still send, so that it reads the refusal: a
# connection that is closed before all has been read is reset.
LINGER_S = 1.0
# Bytes that a refused client may send meanwhile.
_MAX_DISCARDED_BYTES = 1_048_576


class _Flow(FlowControl):
    """Flow control that reads nothing while received bytes wait."""

    def __init__(self, transport: Any) -> None:
        """Create the state of a connection that is read.

        It has no reference to the connection: a cycle of them would keep the
        memory of closed connections until the next garbage collection.
        """
        super().__init__(transport)
        self.is_full = False

    def resume_reading(self) -> None:
        """Read again, unless received bytes have not been parsed yet.

        uvicorn resumes whenever a request asks for its body.
        """
        if not self.is_full:
            super().resume_reading()


class Connection(HttpToolsProtocol):
    """A connection whose requests are passed on once they are complete.

    The application never sees a part of a request, so one that is refused has
    not run.  While draining, the connection is closed after its last request:
    a response that announces the close ends the connection, so only the last
    of the requests received may have it (RFC 9112, 9.6).

    The scope of a request has as ``WAITING_SINCE`` the loop time (s) since when
    its first bytes may have waited in the kernel, or here behind others.

    ``reusable`` tells whether the client allows further requests after the
    newest one, and ``unanswered`` counts the requests received without a
    complete response.
    """

    def __init__(
        self,
        is_draining: Callable[[], bool],
        limits: Callable[[], RequestLimits],
        budget: HttpBudget,
        pauses: PauseWatch,
        **server: Any,
    ) -> None:
        """Create the state of a new connection of a server."""
        super().__init__(**server)
        self.is_draining = is_draining
        self.limits = limits
        self.budget = budget
        self.pauses = pauses
        self.received_at = 0.0
        self.reusable = True
        self.unanswered = 0
        self.peer_closed = False
        # Times (s) of the last progress, and of the first byte of a request.
        self.active_at = self.loop.time()
        self.request_since = 0.0
        self.served = False
        # Bytes held: of the request that is being received, of those that are
        # complete, received but not parsed, and of unsent responses.
        self.size = 0
        self.sizes: deque[int] = deque()
        self.unparsed = b''
        self.unsent = 0
        self.counted = 0
        # Requests that the application runs, also once the client has gone.
        self.running = 0
        # Bytes since the parser's last event, of the whole request, and of
        # header lines or trailers.
        self.structure_bytes = 0
        self.wire_bytes = 0
        self.header_bytes = 0
        self.in_header = True
        self.begun = False
        self.incomplete: tuple[RequestResponseCycle, Any] | None = None
        self.refused: Refused | None = None
        self.discarding = False
        self.discarded = 0

    def connection_made(self, transport: Any) -> None:
        """Register the connection; evict idle ones if there are too many."""
        super().connection_made(transport)
        self.flow = _Flow(transport)
        self.budget.connections.add(self)
        excess = len(self.budget.connections) - self.budget.limits.connections
        if excess > 0:
            now = self.loop.time()
            holdings = [
                holding_of(one)
                for one in self.budget.connections
                if one is not self
            ]
            victims = victims_for_connection(self.budget, holdings, now)
            for victim in victims or (self,):
                self.budget.refused[CAUSE_CONNECTIONS] += 1
                victim.abort()

    def eof_received(self) -> None:
        """Note that the peer closes the connection."""
        self.peer_closed = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what is held; log requests without a response."""
        if self.unanswered and exc is None and not self.peer_closed:
            log('requests cut off', requests=self.unanswered)
        self._release()
        self.budget.connections.discard(self)
        super().connection_lost(exc)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.incomplete or self.pipeline_has_incomplete():
            self._drop_incomplete()
        self._release()
        self.budget.connections.discard(self)
        self.discarding = True
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse what was received, within the limits."""
        if self.discarding:
            self._discard(len(data))
            return
        self.active_at = self.loop.time()
        self.received_at = waiting_since(self.pauses, self.active_at)
        if not self.request_since:
            self.request_since = self.active_at
        self._unset_keepalive_if_required()
        self.unparsed = self.unparsed + data if self.unparsed else data
        self._parse()

    def evict(self) -> None:
        """Give up an unfinished request, or unread responses, to make room."""
        if self.unsent:
            # A refusal would wait behind the responses.
            self.budget.refused[CAUSE_MEMORY] += 1
            self.abort()
        else:
            self._refuse(memory_refusal())

    def pipeline_has_incomplete(self) -> bool:
        """Return whether the newest waiting request is being received."""
        return bool(self.pipeline) and self.pipeline[0][0].more_body

    def check_times(self, now: float) -> None:
        """Close the connection, or refuse its request, if it is too slow."""
        limits = self.limits()
        self._check_unsent(now)
        is_silent = now - self.active_at >= limits.idle_timeout
        header_age = now - self.request_since if self.in_header else 0
        if _is_serving(self) or not self._is_receiving():
            if is_silent:
                self._close_silent()
        elif is_silent or header_age >= limits.header_timeout:
            self._refuse(time_refusal())

    def on_message_begin(self) -> None:
        """Begin with the header section of a request."""
        super().on_message_begin()
        self.begun = True
        self.request_since = self.active_at
        self.scope[WAITING_SINCE] = self.received_at

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header line, and keep it if it is no trailer."""
        self.header_bytes += len(name) + len(value) + _LINE_BYTES
        if self.header_bytes > self.limits().header:
            raise header_refusal(self.limits())
        if self.in_header:
            super().on_header(name, value)
            self.size += _HEADER_LINE_BYTES

    def on_headers_complete(self) -> None:
        """Start a request, after which a draining server closes."""
        self._check_declared_length()
        self.in_header = False
        self.header_bytes = 0
        earlier = self.cycle
        self.size += self.structure_bytes
        self.structure_bytes = 0
        super().on_headers_complete()
        self.unanswered += 1
        if earlier is not None and not earlier.response_started:
            earlier.keep_alive = self.reusable
        self.reusable = self.cycle.keep_alive
        if self.is_draining():
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Keep a part of a body."""
        self.structure_bytes = 0
        self.size += len(body)
        self.cycle.body += body
        limits = self.limits()
        if len(self.cycle.body) > limits.body:
            raise body_refusal(limits)

    def on_chunk_header(self) -> None:
        """Note that the size of a chunk is complete."""
        self.structure_bytes = 0

    def on_message_complete(self) -> None:
        """Pass a complete request on to the application."""
        self.cycle.more_body = False
        self.cycle.message_event.set()
        self.sizes.append(self.size)
        self.size = 0
        self.structure_bytes = 0
        self.wire_bytes = 0
        self.header_bytes = 0
        self.request_since = 0.0
        self.in_header = True
        self.begun = False
        if self.incomplete:
            cycle, app = self.incomplete
            self.incomplete = None
            self._start_asgi_task(cycle, app)

    def on_response_complete(self) -> None:
        """Count the response, and start the next request if there is one."""
        now = self.loop.time()
        self.unanswered -= 1
        self.served = True
        self.active_at = now
        # The server reads no further while requests wait for their turn.
        if self.request_since:
            self.request_since = now
        self.sizes.popleft()
        self._check_unsent(now)
        self.timeout_keep_alive = self.limits().idle_timeout
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if not self.discarding:
            self._parse()
            self.flow.resume_reading()
        elif self.refused and not self.unanswered:
            refused, self.refused = self.refused, None
            self._answer_refusal(refused)

    def _parse(self) -> None:
        """Parse until the requests that wait are too many."""
        received, self.unparsed = memoryview(self.unparsed), b''
        self.flow.is_full = False
        start = 0
        while start < len(received) and not self.discarding:
            if len(self.pipeline) >= _MAX_PIPELINED:
                self.unparsed = bytes(received[start:])
                self.flow.pause_reading()
                self.flow.is_full = True
                self._parse_piece(memoryview(b''))
                return
            piece = received[start : start + _PIECE_BYTES]
            self._parse_piece(piece)
            start += len(piece)

    def _parse_piece(self, piece: memoryview) -> None:
        """Parse a piece and check the limits."""
        self.structure_bytes += len(piece)
        self.wire_bytes += len(piece)
        try:
            if piece:
                self.parser.feed_data(piece)
            self._check_request()
        except httptools.HttpParserUpgrade:
            self._end_input()
        except Refused as exc:
            self._refuse(exc)
        except httptools.HttpParserError as exc:
            self._refuse(refusal_of(exc))

    def _end_input(self) -> None:
        """Ignore what follows a request to change the protocol."""
        self.discarding = True
        if self.unanswered:
            self.cycle.keep_alive = False
            return
        self._close_after_linger()

    def _check_request(self) -> None:
        limits = self.limits()
        longest_header = limits.header + _REQUEST_LINE_BYTES
        if self.structure_bytes > longest_header:
            raise header_refusal(limits)
        if self.wire_bytes > longest_header + _WIRE_FACTOR * limits.body:
            raise body_refusal(limits)
        self._check_room()

    def _check_room(self) -> None:
        """Count what is held; evict or raise if it is too much."""
        added = self._held() - self.counted
        if added > 0 and not has_room(self.budget, self.counted, added):
            self._make_room(added)
        self._count_held()

    def _held(self) -> int:
        """Return the bytes that this connection makes the process hold."""
        header = self.structure_bytes if self.in_header else 0
        waiting = sum(self.sizes) + len(self.unparsed) + self.unsent
        return header + self.size + waiting

    def _count_held(self) -> None:
        if self not in self.budget.connections:
            return
        held = self._held()
        self.budget.held += held - self.counted
        self.counted = held

    def _make_room(self, added: int) -> None:
        """Evict connections; raise if there is still no room for this one."""
        holdings = [
            holding_of(one)
            for one in self.budget.connections
            if one.unsent or not one.discarding
        ]
        victims = victims_for_bytes(
            self.budget, holdings, self.counted, added, self.loop.time()
        )
        for victim in victims:
            if victim is not self:
                victim.evict()
        if self in victims or not has_room(self.budget, self.counted, added):
            raise memory_refusal()

    def _release(self) -> None:
        """Release all but the request that the application still runs."""
        kept = self.sizes[0] if self.running and self.sizes else 0
        self.budget.held += kept - self.counted
        self.counted = kept
        self.unparsed = b''

    async def _run(self, app: Any, *arguments: Any) -> None:
        """Run a request; release its bytes if its client has gone."""
        try:
            await app(*arguments)
        finally:
            self.running -= 1
            if not self.running and self not in self.budget.connections:
                self._release()

    def _refuse(self, refused: Refused) -> None:
        """Answer after the requests before, then close the connection."""
        self.budget.refused[refused.cause] += 1
        self.discarding = True
        if self.incomplete or self.pipeline_has_incomplete():
            self._drop_incomplete()
        self.headers = []
        self.url = b''
        self.size = 0
        self.structure_bytes = 0
        self.unparsed = b''
        self._count_held()
        if self.unanswered:
            self.refused = refused
        else:
            self._answer_refusal(refused)

    def _drop_incomplete(self) -> None:
        """Forget the request that is being received."""
        self.unanswered -= 1
        if self.incomplete:
            cycle, self.incomplete = self.incomplete[0], None
        else:
            cycle, _ = self.pipeline.popleft()
        cycle.disconnected = True
        cycle.body = bytearray()

    def _answer_refusal(self, refused: Refused) -> None:
        if self.transport.is_closing():
            return
        self.transport.write(write_refusal(refused))
        self._close_after_linger()

    def _close_after_linger(self) -> None:
        """Send the end of the stream, and read until the peer closes."""
        self._unset_keepalive_if_required()
        self.flow.is_full = False
        self.flow.resume_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.abort)

    def _discard(self, count: int) -> None:
        self.discarded += count
        if self.discarded > _MAX_DISCARDED_BYTES:
            self.transport.abort()

    def _is_receiving(self) -> bool:
        """Return whether a request has begun; an empty line may precede it."""
        has_begun = self.begun or self.structure_bytes > _EMPTY_LINES_BYTES
        return has_begun and not self.discarding

    def _close_silent(self) -> None:
        if self.unsent:
            self.budget.refused[CAUSE_TIMEOUT] += 1
            self.abort()
        elif not self.unanswered and not self.discarding:
            self.budget.refused[CAUSE_IDLE] += 1
            self.transport.close()

    def _check_unsent(self, now: float) -> None:
        """Count the bytes of responses that the client has not read."""
        before = self.unsent
        self.unsent = self.transport.get_write_buffer_size()
        if self.unsent < before:
            self.active_at = now
        try:
            self._check_room()
        except Refused:
            self.evict()

    def _check_declared_length(self) -> None:
        for name, value in self.headers:
            if name == b'content-length':
                limits = self.limits()
                if int(value) > limits.body:
                    raise body_refusal(limits)

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        """Start a request, or wait until it is complete."""
        if cycle.more_body:
            self.incomplete = (cycle, app)
            if cycle.waiting_for_100_continue:
                cycle.waiting_for_100_continue = False
                self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            return
        self.running += 1
        super()._start_asgi_task(cycle, partial(self._run, app))


def holding_of(conn: Connection) -> Holding:
    """Return what a connection holds, for decisions on evictions.

    A whole request is no reason to keep a client that does not read its
    responses.
    """
    return Holding(
        conn,
        conn.counted,
        conn.active_at,
        conn.served,
        processing=_is_serving(conn) and not conn.flow.write_paused,
    )


def _is_serving(conn: Connection) -> bool:
    """Return whether a whole request of a connection is being served."""
    unfinished = bool(conn.incomplete) or conn.pipeline_has_incomplete()
    return conn.unanswered > unfinished
