"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

_END_OF_HEAD = b'\r\n\r\n'
_HEAD_LIMIT = 65_536
# A request: method, path, headers (lower case) and decoded JSON body.
Request = tuple[str, str, dict[str, str], Any]
# A response: status and JSON body; None is no response at all.
Handler = Callable[[Request], Awaitable[tuple[int, Any] | None]]


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    head = await reader.readuntil(_END_OF_HEAD)
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    pairs = (line.partition(':') for line in lines)
    headers = {name.strip().lower(): text.strip() for name, _, text in pairs}
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return first, headers, body


def _decode(body: bytes) -> Any:
    with suppress(ValueError):
        return json.loads(body) if body else None
    return None


def _encode(first: str, headers: dict[str, str], document: Any) -> bytes:
    body = b'' if document is None else json.dumps(document).encode()
    headers = {
        **headers,
        'Content-Type': 'application/json',
        'Content-Length': str(len(body)),
    }
    lines = [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join((first, *lines)).encode() + _END_OF_HEAD + body


class Server:
    """Serves one address; open connections can be reset.

    While ``passing`` is not set, all bytes wait, as in a partition.  A request
    whose sender has given up meanwhile is lost.
    """

    def __init__(self, handle: Handler) -> None:
        """Create a server that does not listen yet."""
        self.handle = handle
        self.passing = asyncio.Event()
        self.passing.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections."""
        self.listener = await asyncio.start_server(
            self._serve, host, port, limit=_HEAD_LIMIT, backlog=1024
        )

    def silence(self) -> int:
        """Let all open connections go silent for good; new ones work."""
        self.silent |= self.writers
        return len(self.writers)

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                await self.passing.wait()
                if reader.at_eof() or writer.is_closing():
                    return
                method, path, _ = first.split(' ', 2)
                answer = None
                if writer not in self.silent:
                    request = (method, path, headers, _decode(body))
                    answer = await self.handle(request)
                if answer is None or writer in self.silent:
                    # The peer hears nothing more on this connection.
                    await reader.read()
                    return
                await self.passing.wait()
                status, document = answer
                writer.write(_encode(f'HTTP/1.1 {status} -', {}, document))
                await writer.drain()
        except (OSError, EOFError, ValueError):
            return
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, Any]:
    """Send one request on a new connection; return status and body.

    The status is 0 if there was no complete response in time.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            first = f'{method} {path} HTTP/1.1'
            fields = {'Host': address, **(headers or {})}
            writer.write(_encode(first, fields, document))
            status_line, _, body = await _read_message(reader)
            return int(status_line.split()[1]), _decode(body)
    except (OSError, EOFError, TimeoutError, ValueError):
        return 0, None
    finally:
        if writer:
            writer.transport.abort()
