"""Simulated workers and placement advisor with the platform's protocol.

``python -m standins.platform_workers PORT CONTROL[,CONTROL...] COUNT [SEEN]``
runs ``COUNT`` workers and the advisor on loopback addresses, until it is
killed.  ``CONTROL`` is the control address of a scheduler.  ``SEEN`` is the
port that workers announce as their own, such as that of a relay.
``GET /history`` at the advisor's address returns what ran, with times (s).
``GET /stalls`` there returns begin and end (s, monotonic) of the times when
this process itself stood still, and with it all workers.

The advisor approves all workers at once for most jobs.  For jobs whose id
begins with ``SLOW_JOB_PREFIX`` it takes long and approves only some workers.
Unlike on the platform, it handles the calls of one host in parallel.
"""

import asyncio
import json
import sys
import time
import zlib
from collections.abc import Iterable
from itertools import count

import aiohttp
from aiohttp import web

from standins import worker_model as model
from standins.stalls import watch_stalls

HOST = '127.0.20.{}'
ADVISOR_HOST = '127.0.21.1'
# CPU (thousandths) and memory (MiB) of a worker.
CAPACITY = (8000, 8000)
HEARTBEAT_INTERVAL_S = 0.5
# How often a held renewal looks for runs that have ended.
_HOLD_POLL_INTERVAL_S = 0.05
SLOW_JOB_PREFIX = 'f'
# Duration of a call for a slow job, and its increase per worker.
SLOW_ADVICE_S = 1.12
SLOW_ADVICE_PER_WORKER_S = 0.01
TICKET_VALIDITY_S = 1.5
# One worker in this many is approved for a step of a slow job.
_APPROVAL_RATIO = 5
# Run time of a task whose spec gives none.
DEFAULT_WORK_S = 0.3
MS_PER_S = 1000


def _now() -> float:
    return time.monotonic()


def worker_name(number: int) -> str:
    """Return the name of a worker; numbers begin at 1."""
    return f'i-{number:04x}'


class Worker:
    """A worker model with the fields that only its messages need."""

    def __init__(self, number: int, announced_port: int) -> None:
        """Start a worker now; it announces ``announced_port`` as its port."""
        self.number = number
        self.address = f'{HOST.format(number)}:{announced_port}'
        self.model = model.WorkerModel(worker_name(number), _now(), CAPACITY)
        self.born_ms = int(time.time() * MS_PER_S)
        self.sequence = count(1)


def _body(worker: Worker, **more) -> dict:
    clock = model.clock_ms(worker.model, _now())
    return {'clockMs': clock, 'born': worker.born_ms, **more}


def approved_workers(step: str, names: Iterable[str]) -> list[str]:
    """Return which of all workers may run a step (ID.K.STEP)."""
    ranked = sorted(
        names, key=lambda name: zlib.crc32(f'{step} {name}'.encode('ascii'))
    )
    if step.startswith(SLOW_JOB_PREFIX):
        return ranked[: len(ranked) // _APPROVAL_RATIO]
    return ranked


def _make_ticket(worker: str, step: str) -> str:
    return f'{worker} {step} {_now() + TICKET_VALIDITY_S}'


def _is_valid_ticket(worker: Worker, task: str, ticket: str) -> bool:
    step = task.rpartition('.')[0]
    name, _, rest = ticket.partition(' ')
    approved_step, _, expires_at = rest.partition(' ')
    approved = (name, approved_step) == (worker.model.name, step)
    return approved and _now() < float(expires_at)


def _is_for_another(worker: Worker, req: web.Request) -> bool:
    return req.headers.get('X-Expected-Instance') != worker.model.name


async def _start(worker: Worker, req: web.Request) -> web.Response:
    if _is_for_another(worker, req):
        return web.json_response(_body(worker), status=421)
    order = await req.json()
    if not _is_valid_ticket(worker, order['task'], order.get('ticket', '')):
        return web.json_response(_body(worker, reason='ticket'), status=409)
    spec = json.loads(order['spec']) if order['spec'] else {}
    work = spec.get('work_s', DEFAULT_WORK_S)
    load = model.TaskLoad(spec.get('cpu', 0), 0, work, spec.get('fails', False))
    order_fields = (
        (order['task'],),
        order['runNumber'],
        order['deadlineMs'],
        order['fencingToken'],
    )
    status, reason = model.start(worker.model, _now(), order_fields, load)
    return web.json_response(_body(worker, reason=reason), status=status)


async def _stop(worker: Worker, req: web.Request) -> web.Response:
    if _is_for_another(worker, req):
        return web.json_response(_body(worker), status=421)
    order = await req.json()
    status = model.stop(
        worker.model,
        _now(),
        (order['task'],),
        order['runNumber'],
        order['fencingToken'],
    )
    return web.json_response(_body(worker), status=status)


async def _hold(worker: Worker, req: web.Request) -> web.Response:
    if _is_for_another(worker, req):
        return web.json_response(_body(worker), status=421)
    order = await req.json()
    until = _now() + order.get('waitMs', 0) / MS_PER_S
    while True:
        lists = model.hold(
            worker.model,
            _now(),
            order['fencingToken'],
            order['ackCursor'],
            order.get('deadlineMs'),
        )
        if lists is None:
            return web.json_response(_body(worker, reason='fence'), status=409)
        if lists[1] or _now() >= until:
            break
        await asyncio.sleep(_HOLD_POLL_INTERVAL_S)
    active = [[task[0], number, '', 0, 0] for task, number in lists[0]]
    ended = [
        [position, task[0], number, how, '']
        for position, task, number, how in lists[1]
    ]
    answer = _body(worker, active=active, finished=ended)
    return web.json_response(answer)


async def _advise(workers: list[Worker], req: web.Request) -> web.Response:
    request = await req.json()
    step, asked = request['stepId'], request['workers']
    if step.startswith(SLOW_JOB_PREFIX):
        await asyncio.sleep(
            SLOW_ADVICE_S + len(asked) * SLOW_ADVICE_PER_WORKER_S
        )
    names = approved_workers(step, [worker.model.name for worker in workers])
    approved = [
        [name, _make_ticket(name, step)] for name in asked if name in names
    ]
    return web.json_response({'approved': approved})


async def _history(workers: list[Worker], req: web.Request) -> web.Response:
    rows = []
    for worker in workers:
        model.advance_clock(worker.model, _now())
        rows += [
            [worker.model.name, one.task[0], one.number, one.how]
            + [one.started_at, one.ended]
            + [(one.task, one.number) in worker.model.acknowledged_ends]
            for one in worker.model.history
        ]
        rows += [
            [worker.model.name, span.task[0], span.number, 'running']
            + [span.started_at, None, False]
            for span, _ in worker.model.running.values()
        ]
    return web.json_response(rows)


def _report(worker: Worker) -> dict:
    return _body(
        worker,
        service='svc',
        address=worker.address,
        zone='santander',
        version='v1',
        slots=8,
        state='ready',
        coldRemainingMs=0,
        capacity={'cpu': CAPACITY[0], 'memMb': CAPACITY[1], 'gpu': 0},
        labels=['a', 'r1-1'],
        sequence=next(worker.sequence),
    )


async def _send_heartbeats(worker: Worker, controls: list[str]) -> None:
    timeout = aiohttp.ClientTimeout(total=1)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        control_index = worker.number
        while True:
            url = f'http://{controls[control_index % len(controls)]}'
            path = f'/instances/{worker.model.name}'
            try:
                async with session.put(url + path, json=_report(worker)) as r:
                    control_index += r.status != 200
            except (aiohttp.ClientError, TimeoutError):
                control_index += 1
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def _serve(routes: dict, host: str, port: int) -> None:
    app = web.Application()
    for (method, path), handler in routes.items():
        app.router.add_route(method, path, handler)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port, reuse_address=True).start()


async def _show_stalls(
    stalls: list[tuple[float, float]], req: web.Request
) -> web.Response:
    return web.json_response(stalls)


def _bind_handler(handler_function, bound_argument):
    async def handle(req: web.Request) -> web.Response:
        return await handler_function(bound_argument, req)

    return handle


async def run(
    port: int, controls: list[str], workers: int, announced_port: int
) -> None:
    """Serve workers and advisor until cancelled."""
    started_workers = [
        Worker(number, announced_port) for number in range(1, workers + 1)
    ]
    for worker in started_workers:
        routes = {
            ('POST', '/run-start'): _bind_handler(_start, worker),
            ('POST', '/run-stop'): _bind_handler(_stop, worker),
            ('POST', '/hold'): _bind_handler(_hold, worker),
        }
        await _serve(routes, HOST.format(worker.number), port)
    stalls: list[tuple[float, float]] = []
    advisor = {
        ('GET', '/stalls'): _bind_handler(_show_stalls, stalls),
        ('POST', '/advise'): _bind_handler(_advise, started_workers),
        ('GET', '/history'): _bind_handler(_history, started_workers),
    }
    await _serve(advisor, ADVISOR_HOST, port)
    await asyncio.gather(
        watch_stalls(stalls),
        *(_send_heartbeats(worker, controls) for worker in started_workers),
    )


def _main(args: list[str]) -> None:
    port = int(args[0])
    announced_port = int(args[3]) if len(args) > 3 else port
    asyncio.run(run(port, args[1].split(','), int(args[2]), announced_port))


if __name__ == '__main__':
    _main(sys.argv[1:])
