"""TCP relays that can freeze, delay or reset the links between processes.

``python -m standins.relay CONTROL LISTEN=TARGET=NAME ...`` forwards bytes.
``PUT /cut`` with a JSON list of names freezes those relays and restores all
others: bytes are held back and connections stay open, as in a network
partition.
``PUT /links`` takes ``{name: [forward, backward, delay_s]}``: whether bytes
pass in each direction, and their delay; links that are not named are restored.
``PUT /reset`` with a list of names aborts their connections.
``GET /stalls`` returns begin and end (s, monotonic) of the times when this
process itself stood still, and with it all links.
"""

import asyncio
import sys
from collections.abc import Mapping, Sequence
from contextlib import suppress

from aiohttp import web

from standins.stalls import watch_stalls

_CHUNK_BYTES = 65_536
# State of a link: whether bytes pass forward and backward, and the delay (s).
_UNDISTURBED = (True, True, 0)


class RelayLink:
    """Whether a relay forwards bytes in each direction, and their delay (s)."""

    def __init__(self) -> None:
        """Create a link that forwards in both directions without delay."""
        self.forward = asyncio.Event()
        self.backward = asyncio.Event()
        self.delay = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        _set_state(self, _UNDISTURBED)


def _set_state(link: RelayLink, state: Sequence[float]) -> None:
    forward, backward, link.delay = state
    for passing, event in ((forward, link.forward), (backward, link.backward)):
        if passing:
            event.set()
        else:
            event.clear()


async def _pump(
    link: RelayLink,
    passing: asyncio.Event,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with suppress(OSError):
        while chunk := await reader.read(_CHUNK_BYTES):
            await passing.wait()
            if link.delay:
                await asyncio.sleep(link.delay)
            writer.write(chunk)
            await writer.drain()
    writer.close()


async def _relay_connection(
    link: RelayLink,
    target: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    host, _, port = target.rpartition(':')
    await link.forward.wait()
    try:
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
    except OSError:
        writer.close()
        return
    both = {writer, far_writer}
    link.writers |= both
    await asyncio.gather(
        _pump(link, link.forward, reader, far_writer),
        _pump(link, link.backward, far_reader, writer),
    )
    link.writers -= both


def _freeze(links: Mapping[str, RelayLink], names: Sequence[str]) -> None:
    for name, link in links.items():
        _set_state(link, (False, False, 0) if name in names else _UNDISTURBED)


def _set_links(
    links: Mapping[str, RelayLink], states: Mapping[str, Sequence[float]]
) -> None:
    for name, link in links.items():
        _set_state(link, states.get(name, _UNDISTURBED))


def _reset(links: Mapping[str, RelayLink], names: Sequence[str]) -> None:
    for name in names:
        for writer in links[name].writers:
            writer.transport.abort()


_CONTROL_HANDLERS = {'/cut': _freeze, '/links': _set_links, '/reset': _reset}


async def _listen(links: dict[str, RelayLink], relay: str) -> None:
    listen, target, name = relay.split('=')
    link = links.setdefault(name, RelayLink())
    host, _, port = listen.rpartition(':')

    def accept(reader, writer):
        return _relay_connection(link, target, reader, writer)

    await asyncio.start_server(accept, host, int(port))


async def _run(control: str, relays: Sequence[str]) -> None:
    links: dict[str, RelayLink] = {}
    stalls: list[tuple[float, float]] = []
    for relay in relays:
        await _listen(links, relay)

    async def handle_control(req: web.Request) -> web.Response:
        _CONTROL_HANDLERS[req.path](links, await req.json())
        return web.Response()

    async def show_stalls(req: web.Request) -> web.Response:
        return web.json_response(stalls)

    app = web.Application()
    app.router.add_get('/stalls', show_stalls)
    for path in _CONTROL_HANDLERS:
        app.router.add_put(path, handle_control)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, _, port = control.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    await watch_stalls(stalls)


if __name__ == '__main__':
    asyncio.run(_run(sys.argv[1], sys.argv[2:]))
