"""Relays between processes, so that a trial can disturb a link.

``python -m standins.relay CONTROL LISTEN=TARGET=NAME ...`` passes bytes on.
``PUT /cut`` with a JSON list of names freezes those relays and lets all
others run: bytes wait, and connections stay, as in a network partition.
``PUT /links`` takes ``{name: [there, back, delay_s]}``: whether bytes pass in
each direction, and how late; links that are not named run freely.
``PUT /reset`` with a list of names resets their connections.
"""

import asyncio
import sys
from collections.abc import Mapping, Sequence
from contextlib import suppress

from aiohttp import web

_CHUNK = 65_536
_FREE = (True, True, 0)


class Gate:
    """Whether a relay passes bytes on there and back, and how late (s)."""

    def __init__(self) -> None:
        """Begin open."""
        self.there = asyncio.Event()
        self.back = asyncio.Event()
        self.delay = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        _set(self, _FREE)


def _set(gate: Gate, state: Sequence[float]) -> None:
    there, back, gate.delay = state
    for passing, event in ((there, gate.there), (back, gate.back)):
        if passing:
            event.set()
        else:
            event.clear()


async def _pump(
    gate: Gate,
    passing: asyncio.Event,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with suppress(OSError):
        while chunk := await reader.read(_CHUNK):
            await passing.wait()
            if gate.delay:
                await asyncio.sleep(gate.delay)
            writer.write(chunk)
            await writer.drain()
    writer.close()


async def _relay(
    gate: Gate,
    target: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    host, _, port = target.rpartition(':')
    await gate.there.wait()
    try:
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
    except OSError:
        writer.close()
        return
    both = {writer, far_writer}
    gate.writers |= both
    await asyncio.gather(
        _pump(gate, gate.there, reader, far_writer),
        _pump(gate, gate.back, far_reader, writer),
    )
    gate.writers -= both


def _cut(gates: Mapping[str, Gate], names: Sequence[str]) -> None:
    for name, gate in gates.items():
        _set(gate, (False, False, 0) if name in names else _FREE)


def _disturb(
    gates: Mapping[str, Gate], states: Mapping[str, Sequence[float]]
) -> None:
    for name, gate in gates.items():
        _set(gate, states.get(name, _FREE))


def _reset(gates: Mapping[str, Gate], names: Sequence[str]) -> None:
    for name in names:
        for writer in gates[name].writers:
            writer.transport.abort()


_ORDERS = {'/cut': _cut, '/links': _disturb, '/reset': _reset}


async def _listen(gates: dict[str, Gate], relay: str) -> None:
    listen, target, name = relay.split('=')
    gate = gates.setdefault(name, Gate())
    host, _, port = listen.rpartition(':')

    def accept(reader, writer):
        return _relay(gate, target, reader, writer)

    await asyncio.start_server(accept, host, int(port))


async def _run(control: str, relays: Sequence[str]) -> None:
    gates: dict[str, Gate] = {}
    for relay in relays:
        await _listen(gates, relay)

    async def on_order(req: web.Request) -> web.Response:
        _ORDERS[req.path](gates, await req.json())
        return web.Response()

    app = web.Application()
    for path in _ORDERS:
        app.router.add_put(path, on_order)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, _, port = control.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_run(sys.argv[1], sys.argv[2:]))
