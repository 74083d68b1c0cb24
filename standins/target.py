"""A process of stand-in targets: ``python -m standins.target --help``."""

import argparse
import asyncio
import os
import signal
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack, suppress
from functools import partial
from secrets import token_hex

import aiohttp
import msgspec
from aiohttp import web

from daisygw.contracts import ResultCode, Size, TaskKey
from daisygw.machines import TargetSpec
from standins._runs import (
    OrderSeen,
    Run,
    Target,
    acknowledged,
    announce,
    begin,
    counts,
    fault_of,
    lapse,
    leave,
    refuse,
    stop_run,
)

_CODE = 'Daisygw-Code'
_CHUNK = 65_536
_TOKEN_BYTES = 6
_MOST_BODY = 1 << 30
_ANNOUNCE_TIMEOUT = 2.5
_FIRST_EVERY = 0.2
_LOOK = 0.05
_to_json = msgspec.json.Encoder().encode


def _key_of(req: web.Request) -> tuple[TaskKey, int]:
    info = req.match_info
    return TaskKey(info['job'], int(info['index'])), int(info['attempt'])


def _order_of(req: web.Request) -> OrderSeen:
    key, attempt = _key_of(req)
    headers = req.headers
    return OrderSeen(
        key,
        attempt,
        int(headers['Daisygw-Term']),
        headers['Daisygw-Incarnation'],
        int(headers['Daisygw-Announced']),
        Size(
            int(headers.get('Daisygw-Cpus', '0')),
            int(headers.get('Daisygw-Memory', '0')),
            int(headers.get('Daisygw-Accelerators', '0')),
        ),
    )


def _ended(run: Run, offset: int = 0) -> web.Response:
    status = 200 if run.code == ResultCode.ANSWERED else 409
    return web.Response(
        status=status,
        body=run.answer[offset:],
        headers={_CODE: str(run.code)},
    )


async def _on_start(target: Target, req: web.Request) -> web.StreamResponse:
    order = _order_of(req)
    known = target.runs.get((order.key, order.attempt))
    if known is None:
        body = await req.read()
        known = target.runs.get((order.key, order.attempt))
    if known is None:
        fault = fault_of(target, order, time.monotonic())
        if fault:
            refuse(target, order, fault)
            return web.Response(
                status=409,
                headers={_CODE: str(int(ResultCode.NOT_STARTED))},
                text=fault,
            )
        known = begin(target, order, body)
    await known.ended.wait()
    if target.cuts > 0:
        target.cuts -= 1
        return await _cut_off(known, req)
    return _ended(known)


async def _cut_off(run: Run, req: web.Request) -> web.StreamResponse:
    """Send half of the answer, then break the connection."""
    half = web.StreamResponse(headers={_CODE: str(run.code)})
    half.content_length = max(len(run.answer), 1)
    await half.prepare(req)
    await half.write(run.answer[: len(run.answer) // 2])
    req.transport.abort()
    return half


async def _on_answer(target: Target, req: web.Request) -> web.StreamResponse:
    run = target.runs.get(_key_of(req))
    if run is None:
        return web.Response(status=404)
    await run.ended.wait()
    offset = int(req.query.get('offset', '0'))
    if target.cuts > 0:
        target.cuts -= 1
        return await _cut_off(run, req)
    return _ended(run, offset)


async def _on_stop(target: Target, req: web.Request) -> web.Response:
    run = target.runs.get(_key_of(req))
    if run and int(req.headers['Daisygw-Term']) >= target.term:
        stop_run(target, run, int(req.headers[_CODE]))
    return web.Response()


async def _on_counts(target: Target, req: web.Request) -> web.Response:
    return web.json_response(counts(target))


async def _on_control(target: Target, req: web.Request) -> web.Response:
    asked = await req.json()
    target.fails = asked.get('fails', target.fails)
    target.slowness = asked.get('slowness', target.slowness)
    target.cuts = asked.get('cuts', target.cuts)
    if asked.get('leave'):
        leave(target)
    return web.Response()


async def _announce_once(
    target: Target,
    http: aiohttp.ClientSession,
    entry: str,
) -> bool:
    said = announce(target)
    url = f'http://{entry}/v1/targets/{target.spec.name}/announcements'
    with suppress(aiohttp.ClientError, TimeoutError):
        async with http.post(url, data=_to_json(said)) as reply:
            if reply.status == 200:
                acknowledged(target, said, await reply.json())
                return True
    return False


async def _announce_always(
    target: Target,
    http: aiohttp.ClientSession,
    entries: Sequence[str],
) -> None:
    turn = 0
    while True:
        entry = entries[turn % len(entries)]
        if await _announce_once(target, http, entry):
            await asyncio.sleep(target.every)
        else:
            turn += 1
            await asyncio.sleep(_FIRST_EVERY)


async def _watch_lease(target: Target) -> None:
    while True:
        lapse(target, time.monotonic())
        await asyncio.sleep(_LOOK)


def _app(target: Target) -> web.Application:
    app = web.Application(client_max_size=_MOST_BODY)
    task = '/v1/tasks/{job}/{index}/{attempt}'
    app.router.add_post(task, partial(_on_start, target))
    app.router.add_get(f'{task}/answer', partial(_on_answer, target))
    app.router.add_post(f'{task}/stop', partial(_on_stop, target))
    app.router.add_get('/v1/counts', partial(_on_counts, target))
    app.router.add_post('/v1/control', partial(_on_control, target))
    return app


async def _serve(target: Target, stack: AsyncExitStack) -> None:
    host, _, port = target.spec.address.rpartition(':')
    runner = web.AppRunner(_app(target), access_log=None)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, host, int(port)).start()


def _target(args: argparse.Namespace, number: int) -> Target:
    port = args.port + number
    name = f'{args.name}{number}'
    spec = TargetSpec(
        name,
        f'{os.getpid()}-{token_hex(_TOKEN_BYTES)}',
        f'{args.address}:{port}',
        Size(args.cpus, args.memory, args.accelerators, args.slots),
        f'{args.name}-rack{number // args.rack}',
    )
    target = Target(spec)
    target.slowness = args.slowness
    target.fails = args.fails
    return target


async def _run(args: argparse.Namespace) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    targets = [_target(args, number) for number in range(args.count)]
    entries = args.entries.split(',')
    timeout = aiohttp.ClientTimeout(total=_ANNOUNCE_TIMEOUT)
    async with AsyncExitStack() as stack:
        http = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout),
        )
        work = []
        for number, target in enumerate(targets):
            await _serve(target, stack)
            turned = entries[number % len(entries) :] + entries
            work.append(_announce_always(target, http, turned))
            work.append(_watch_lease(target))
        tasks = [asyncio.ensure_future(one) for one in work]
        await stopped.wait()
        for target in targets:
            leave(target)
        await _until_idle(targets)
        for task in tasks:
            task.cancel()


async def _until_idle(targets: Sequence[Target]) -> None:
    """Wait until nothing runs and every end has been acknowledged."""
    until = time.monotonic() + 10
    while time.monotonic() < until:
        busy = any(
            not run.ended.is_set()
            for target in targets
            for run in target.runs.values()
        )
        if not busy and not any(target.reports for target in targets):
            return
        await asyncio.sleep(_LOOK)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', default='t')
    parser.add_argument('--address', default='127.0.0.1', help='an IP')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--entries', required=True, help='IP:port,IP:port')
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--cpus', type=int, default=64_000)
    parser.add_argument('--memory', type=int, default=262_144)
    parser.add_argument('--accelerators', type=int, default=0)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--rack', type=int, default=8)
    parser.add_argument('--slowness', type=float, default=1)
    parser.add_argument('--fails', action='store_true')
    return parser.parse_args()


if __name__ == '__main__':
    asyncio.run(_run(_parse()))
