"""Clients that respect no limits: what they send, and what a process holds.

A crowd of connections sends to one address as fast as it is read, or a byte
now and then, and stays open.  Meanwhile the memory and the descriptors of the
process are sampled; received bytes that the process has not read count as its
memory.  ``python -m standins.hostile_clients`` runs a crowd for some time, and
writes what the process held to a file (see ``main``).
"""

import json
import os
import selectors
import socket
import sys
import time
from collections.abc import Callable, Generator, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
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
# Interval between the bytes of a slow client (s): less than the time after
# which a connection counts as stalled.
_SLOW_INTERVAL_S = 0.5
_MIB = 2**20
_CONNECT_TIMEOUT_S = 5.0
_HEX = 16
# Columns of /proc/net/tcp: local address, and the queues sent:received.
_LOCAL_COLUMN = 1
_QUEUES_COLUMN = 4


class Watch:
    """The most that a process held: memory (bytes) and descriptors.

    Received bytes that it has not read from the connections at ``address``
    count as its memory.
    """

    def __init__(self, pid: int, address: str) -> None:
        """Take no sample yet."""
        self.pid = pid
        self.local = _local_column(address)
        self.memory = 0
        self.descriptors = 0

    def sample(self) -> None:
        """Read what the process holds now, unless it has ended."""
        folder = Path(f'/proc/{self.pid}')
        with suppress(OSError):
            resident = int((folder / 'statm').read_text().split()[1])
            memory = resident * _PAGE_BYTES + _unread_bytes(self.local)
            self.memory = max(self.memory, memory)
            descriptors = len(os.listdir(folder / 'fd'))
            self.descriptors = max(self.descriptors, descriptors)


def excess(memory: int, descriptors: int, mib: int, most: int) -> list[str]:
    """Return what was held beyond ``mib`` MiB and ``most`` descriptors.

    ``memory`` is in bytes.
    """
    found = []
    if memory > mib * _MIB:
        found.append(f'{memory / _MIB:.0f} MiB of {mib}')
    if descriptors > most:
        found.append(f'{descriptors} descriptors of {most}')
    return found


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


def _local_column(address: str) -> str:
    """Return a local address as /proc/net/tcp has it, in the host's order."""
    host, _, port = address.rpartition(':')
    number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    return f'{number:08X}:{int(port):04X}'


def _unread_bytes(local: str) -> int:
    """Return the bytes that connections at a local address have not read."""
    total = 0
    lines = Path('/proc/net/tcp').read_text().splitlines()
    for line in islice(lines, 1, None):
        columns = line.split()
        if columns[_LOCAL_COLUMN] == local:
            total += int(columns[_QUEUES_COLUMN].partition(':')[2], _HEX)
    return total


class _Client:
    """One connection: what it has yet to send."""

    def __init__(self, conn: socket.socket, pieces: Iterator[bytes]) -> None:
        self.conn = conn
        self.pieces = pieces
        self.rest = b''

    def advance(self, most: int | None = None) -> int:
        """Send what the socket takes; return its bytes, or -1 at the end.

        ``most`` limits the bytes.
        """
        self.rest = self.rest or next(self.pieces, b'')
        if not self.rest:
            return -1
        try:
            sent = self.conn.send(self.rest[:most])
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


@dataclass(frozen=True, slots=True)
class Crowd:
    """``count`` clients of the process ``pid``, which listens at ``address``.

    Each sends what the shape ``what`` says: to ``path``, about ``amount``
    bytes, for at most ``seconds``, and a byte now and then if it is ``slow``.
    """

    address: str
    pid: int
    count: int
    what: str
    path: str
    amount: int
    seconds: float = _SENDING_S
    slow: bool = False


@contextmanager
def sending(crowd: Crowd) -> Generator[Watch, None, None]:
    """Keep the connections of a crowd open that have sent what they can.

    Yields what the process held meanwhile.
    """
    connections = [_connect(crowd.address) for _ in range(crowd.count)]
    opened = [conn for conn in connections if conn is not None]
    shape = SHAPES[crowd.what]
    clients = [
        _Client(conn, shape(crowd.path, crowd.amount)) for conn in opened
    ]
    send = _send_slowly if crowd.slow else _send
    try:
        yield send(clients, Watch(crowd.pid, crowd.address), crowd.seconds)
    finally:
        for conn in opened:
            conn.close()


def _send(clients: list[_Client], watch: Watch, seconds: float) -> Watch:
    """Send until all clients have ended or none of them makes progress."""
    until = time.monotonic() + seconds
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


def _send_slowly(clients: list[_Client], watch: Watch, seconds: float) -> Watch:
    """Send one byte of each client at each interval."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for client in clients:
            client.advance(1)
        watch.sample()
        time.sleep(_SLOW_INTERVAL_S)
    return watch


def main(out: str, crowd: str) -> None:
    """Run a crowd, a JSON object with the fields of ``Crowd``.

    Writes memory (bytes) and descriptors that the process held to ``out``.
    """
    plan = Crowd(**json.loads(crowd))
    until = time.monotonic() + plan.seconds
    with sending(plan) as watch:
        while time.monotonic() < until:
            watch.sample()
            time.sleep(_SAMPLE_INTERVAL_S)
    Path(out).write_text(json.dumps((watch.memory, watch.descriptors)))


if __name__ == '__main__':
    main(*sys.argv[1:])
