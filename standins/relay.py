"""Relays between processes, so that a trial can cut a link silently.

``python -m standins.relay CONTROL LISTEN=TARGET=NAME ...`` passes bytes on;
``PUT /cut`` with a JSON list of names freezes those relays and all others
run: bytes wait, and connections stay, as in a network partition.
"""

import asyncio
import sys
from collections.abc import Sequence
from contextlib import suppress

from aiohttp import web

_CHUNK = 65_536


class Gate:
    """Whether a relay passes bytes on."""

    def __init__(self) -> None:
        """Begin open."""
        self.open = asyncio.Event()
        self.open.set()


async def _pump(
    gate: Gate,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with suppress(OSError):
        while chunk := await reader.read(_CHUNK):
            await gate.open.wait()
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
    await gate.open.wait()
    try:
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
    except OSError:
        writer.close()
        return
    await asyncio.gather(
        _pump(gate, reader, far_writer),
        _pump(gate, far_reader, writer),
    )


def _cut(gates: dict[str, Gate], names: Sequence[str]) -> None:
    for name, gate in gates.items():
        if name in names:
            gate.open.clear()
        else:
            gate.open.set()


async def _run(control: str, relays: Sequence[str]) -> None:
    gates: dict[str, Gate] = {}
    for relay in relays:
        listen, target, name = relay.split('=')
        gate = gates.setdefault(name, Gate())
        host, _, port = listen.rpartition(':')

        def accept(reader, writer, gate=gate, target=target):
            return _relay(gate, target, reader, writer)

        await asyncio.start_server(accept, host, int(port))

    async def on_cut(req: web.Request) -> web.Response:
        _cut(gates, await req.json())
        return web.Response()

    app = web.Application()
    app.router.add_put('/cut', on_cut)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, _, port = control.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_run(sys.argv[1], sys.argv[2:]))
