"""Runs simulated targets: ``python -m standins.target --help``."""

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
    ReceivedOrder,
    Run,
    Target,
    apply_acknowledgement,
    counts,
    mark_leaving,
    next_announcement,
    record_rejection,
    rejection_reason,
    start_attempt,
    stop_if_lease_expired,
    stop_run,
)

_CODE_HEADER = 'Daisygw-Code'
_CHUNK_BYTES = 65_536
_TOKEN_BYTES = 6
_MAX_BODY_BYTES = 1 << 30
_ANNOUNCE_TIMEOUT_S = 2.5
_RETRY_INTERVAL_S = 0.2
_POLL_INTERVAL_S = 0.05
_to_json = msgspec.json.Encoder().encode


def _attempt_key(req: web.Request) -> tuple[TaskKey, int]:
    info = req.match_info
    return TaskKey(info['job'], int(info['index'])), int(info['attempt'])


def _parse_order(req: web.Request) -> ReceivedOrder:
    key, attempt = _attempt_key(req)
    headers = req.headers
    return ReceivedOrder(
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


def _end_response(run: Run, offset: int = 0) -> web.Response:
    status = 200 if run.code == ResultCode.ANSWERED else 409
    return web.Response(
        status=status,
        body=run.answer[offset:],
        headers={_CODE_HEADER: str(run.code)},
    )


async def _on_start(target: Target, req: web.Request) -> web.StreamResponse:
    order = _parse_order(req)
    run = target.runs.get((order.key, order.attempt))
    if run is None:
        body = await req.read()
        run = target.runs.get((order.key, order.attempt))
    if run is None:
        reason = rejection_reason(target, order, time.monotonic())
        if reason:
            record_rejection(target, order, reason)
            return web.Response(
                status=409,
                headers={_CODE_HEADER: str(int(ResultCode.NOT_STARTED))},
                text=reason,
            )
        run = start_attempt(target, order, body)
    await run.ended.wait()
    if target.answers_to_truncate > 0:
        target.answers_to_truncate -= 1
        return await _send_truncated(run, req)
    return _end_response(run)


async def _send_truncated(run: Run, req: web.Request) -> web.StreamResponse:
    """Send half of the answer, then abort the connection."""
    response = web.StreamResponse(headers={_CODE_HEADER: str(run.code)})
    response.content_length = max(len(run.answer), 1)
    await response.prepare(req)
    await response.write(run.answer[: len(run.answer) // 2])
    req.transport.abort()
    return response


async def _on_answer(target: Target, req: web.Request) -> web.StreamResponse:
    run = target.runs.get(_attempt_key(req))
    if run is None:
        return web.Response(status=404)
    await run.ended.wait()
    offset = int(req.query.get('offset', '0'))
    if target.answers_to_truncate > 0:
        target.answers_to_truncate -= 1
        return await _send_truncated(run, req)
    return _end_response(run, offset)


async def _on_stop(target: Target, req: web.Request) -> web.Response:
    run = target.runs.get(_attempt_key(req))
    if run and int(req.headers['Daisygw-Term']) >= target.term:
        stop_run(target, run, int(req.headers[_CODE_HEADER]))
    return web.Response()


async def _on_counts(target: Target, req: web.Request) -> web.Response:
    return web.json_response(counts(target))


async def _on_control(target: Target, req: web.Request) -> web.Response:
    changes = await req.json()
    target.fails = changes.get('fails', target.fails)
    target.slowness = changes.get('slowness', target.slowness)
    target.answers_to_truncate = changes.get('cuts', target.answers_to_truncate)
    if changes.get('leave'):
        mark_leaving(target)
    return web.Response()


async def _announce_once(
    target: Target,
    http: aiohttp.ClientSession,
    entry: str,
) -> bool:
    announcement = next_announcement(target)
    url = f'http://{entry}/v1/targets/{target.spec.name}/announcements'
    with suppress(aiohttp.ClientError, TimeoutError):
        async with http.post(url, data=_to_json(announcement)) as reply:
            if reply.status == 200:
                apply_acknowledgement(target, announcement, await reply.json())
                return True
    return False


async def _announce_forever(
    target: Target,
    http: aiohttp.ClientSession,
    entries: Sequence[str],
) -> None:
    entry_index = 0
    while True:
        entry = entries[entry_index % len(entries)]
        if await _announce_once(target, http, entry):
            await asyncio.sleep(target.every)
        else:
            entry_index += 1
            await asyncio.sleep(_RETRY_INTERVAL_S)


async def _watch_lease(target: Target) -> None:
    while True:
        stop_if_lease_expired(target, time.monotonic())
        await asyncio.sleep(_POLL_INTERVAL_S)


def _app(target: Target) -> web.Application:
    app = web.Application(client_max_size=_MAX_BODY_BYTES)
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


def _make_target(args: argparse.Namespace, number: int) -> Target:
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
    targets = [_make_target(args, number) for number in range(args.count)]
    entries = args.entries.split(',')
    timeout = aiohttp.ClientTimeout(total=_ANNOUNCE_TIMEOUT_S)
    async with AsyncExitStack() as stack:
        http = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout),
        )
        work = []
        for number, target in enumerate(targets):
            await _serve(target, stack)
            rotated_entries = entries[number % len(entries) :] + entries
            work.append(_announce_forever(target, http, rotated_entries))
            work.append(_watch_lease(target))
        tasks = [asyncio.ensure_future(one) for one in work]
        await stopped.wait()
        for target in targets:
            mark_leaving(target)
        await _wait_until_idle(targets)
        for task in tasks:
            task.cancel()


async def _wait_until_idle(targets: Sequence[Target]) -> None:
    """Wait up to 10 s until all attempts have ended and are acknowledged."""
    until = time.monotonic() + 10
    while time.monotonic() < until:
        busy = any(
            not run.ended.is_set()
            for target in targets
            for run in target.runs.values()
        )
        if not busy and not any(target.reports for target in targets):
            return
        await asyncio.sleep(_POLL_INTERVAL_S)


def _parse_args() -> argparse.Namespace:
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
    asyncio.run(_run(_parse_args()))
