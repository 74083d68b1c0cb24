"""Clients that respect no limits: what they send, and what a process holds.

A crowd of connections sends to one address as fast as it is read, and stays
open.  Meanwhile the memory and the descriptors of the process are sampled;
received bytes that the process has not read count as its memory.
"""

import os
import selectors
import socket
import time
from collections.abc import Callable, Generator, Iterator
from contextlib import contextmanager, suppress
from functools import partial
from itertools import chain, islice, repeat
from pathlib import Path
from types import MappingProxyType

_PIECE_BYTES = 16_384
# A header or trailer line of 1,024 bytes.
_FILLER_LINE = f'X-Filler: {1012 * "a"}\r\n'.encode()
_CHUNKED = 'Transfer-Encoding: chunked'
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
# A crowd has sent what it can once no connection takes more for this long (s).
_STALLED_S = 2.0
# Longest time for which a crowd sends (s).
_SENDING_S = 60.0
_SAMPLE_INTERVAL_S = 0.05
_CONNECT_TIMEOUT_S = 5.0
_HEX = 16
# Columns of /proc/net/tcp: local address, and the queues sent:received.
_LOCAL_COLUMN = 1
_QUEUES_COLUMN = 4


class Watch:
    """The most that a process held: memory (bytes) and descriptors.

    Received bytes that it has not read from the connections at ``port`` count
    as its memory.
    """

    def __init__(self, pid: int, port: int) -> None:
        """Take no sample yet."""
        self.pid = pid
        self.port = port
        self.memory = 0
        self.descriptors = 0

    def sample(self) -> None:
        """Read what the process holds now."""
        folder = Path(f'/proc/{self.pid}')
        resident = int((folder / 'statm').read_text().split()[1])
        memory = resident * _PAGE_BYTES + _unread_bytes(self.port)
        self.memory = max(self.memory, memory)
        descriptors = len(os.listdir(folder / 'fd'))
        self.descriptors = max(self.descriptors, descriptors)


def _head(method: str, path: str, *lines: str) -> bytes:
    start = (f'{method} {path} HTTP/1.1', 'Host: jobs.example', *lines, '')
    return '\r\n'.join(start).encode()


def _header_lines(path: str, amount: int) -> Iterator[bytes]:
    return chain([_head('POST', path)], _repeat(_FILLER_LINE, amount))


def _long_line(path: str, amount: int) -> Iterator[bytes]:
    return chain([_head('POST', path), b'X-Filler: '], _repeat(b'a', amount))


def _long_target(path: str, amount: int) -> Iterator[bytes]:
    return chain([f'POST {path}'.encode()], _repeat(b'a', amount))


def _empty_lines(path: str, amount: int) -> Iterator[bytes]:
    return _repeat(b'\r\n', amount)


def _trailers(path: str, amount: int) -> Iterator[bytes]:
    return chain(
        [_head('POST', path, _CHUNKED, ''), b'2\r\n{}\r\n0\r\n'],
        _repeat(_FILLER_LINE, amount),
    )


def _chunk_extension(path: str, amount: int) -> Iterator[bytes]:
    head = _head('POST', path, _CHUNKED, '')
    return chain([head, b'2;a='], _repeat(b'a', amount))


def _repeat(text: bytes, amount: int) -> Iterator[bytes]:
    """Return pieces of a repeated text, about ``amount`` bytes in all."""
    piece = text * max(_PIECE_BYTES // len(text), 1)
    return repeat(piece, amount // len(piece) + 1)


def _body_short_of_end(method: str, path: str, amount: int) -> Iterator[bytes]:
    head = _head(method, path, f'Content-Length: {amount}', '')
    missing = amount - 1
    pieces = repeat(b'a' * _PIECE_BYTES, missing // _PIECE_BYTES)
    return chain([head], pieces, [b'a' * (missing % _PIECE_BYTES)])


def _pieces_short_of_end(path: str, amount: int) -> Iterator[bytes]:
    chunk = b'10\r\naaaaaaaaaaaaaaaa\r\n'
    head = _head('POST', path, _CHUNKED, '')
    return chain([head], _repeat(chunk, amount))


# Returns what a client sends to a path, about so many bytes, in pieces.
Shape = Callable[[str, int], Iterator[bytes]]
SHAPES: MappingProxyType[str, Shape] = MappingProxyType({
    'header lines without end': _header_lines,
    'a header line without end': _long_line,
    'a request target without end': _long_target,
    'empty lines without end': _empty_lines,
    'trailers without end': _trailers,
    'a chunk extension without end': _chunk_extension,
    'bodies that lack their last byte': partial(_body_short_of_end, 'POST'),
    'bodies in small chunks without the last one': _pieces_short_of_end,
    'bodies of a PUT that lack their last byte': partial(
        _body_short_of_end, 'PUT'
    ),
    'nothing': lambda path, amount: iter(()),
})


def _unread_bytes(port: int) -> int:
    """Return the bytes that connections at a local port have not read."""
    total = 0
    lines = Path('/proc/net/tcp').read_text().splitlines()
    for line in islice(lines, 1, None):
        columns = line.split()
        if int(columns[_LOCAL_COLUMN].partition(':')[2], _HEX) == port:
            total += int(columns[_QUEUES_COLUMN].partition(':')[2], _HEX)
    return total


class _Client:
    """One connection: what it has yet to send."""

    def __init__(self, conn: socket.socket, pieces: Iterator[bytes]) -> None:
        self.conn = conn
        self.pieces = pieces
        self.rest = b''

    def advance(self) -> int:
        """Send what the socket takes; return its bytes, or -1 at the end."""
        self.rest = self.rest or next(self.pieces, b'')
        if not self.rest:
            return -1
        try:
            sent = self.conn.send(self.rest)
        except BlockingIOError:
            return 0
        except OSError:
            return -1
        self.rest = self.rest[sent:]
        return sent


def _connect(address: str) -> socket.socket | None:
    host, _, port = address.rpartition(':')
    with suppress(OSError):
        conn = socket.create_connection((host, int(port)), _CONNECT_TIMEOUT_S)
        conn.setblocking(False)
        return conn
    return None


@contextmanager
def crowd(
    address: str, pid: int, count: int, shape: Shape, path: str, amount: int
) -> Generator[Watch, None, None]:
    """Keep ``count`` connections open that have sent what ``shape`` says.

    Yields what the process ``pid`` held meanwhile.
    """
    connections = [_connect(address) for _ in range(count)]
    opened = [conn for conn in connections if conn is not None]
    try:
        yield _send(
            [_Client(conn, shape(path, amount)) for conn in opened],
            Watch(pid, int(address.rpartition(':')[2])),
        )
    finally:
        for conn in opened:
            conn.close()


def _send(clients: list[_Client], watch: Watch) -> Watch:
    """Send until all clients have ended or none of them makes progress."""
    until = time.monotonic() + _SENDING_S
    stalled_at = time.monotonic() + _STALLED_S
    with selectors.DefaultSelector() as selector:
        for client in clients:
            selector.register(client.conn, selectors.EVENT_WRITE, client)
        while selector.get_map() and time.monotonic() < min(until, stalled_at):
            ready = selector.select(_SAMPLE_INTERVAL_S)
            for key, _ in ready:
                if key.data.advance() < 0:
                    selector.unregister(key.fileobj)
            if ready:
                stalled_at = time.monotonic() + _STALLED_S
            watch.sample()
    watch.sample()
    return watch
