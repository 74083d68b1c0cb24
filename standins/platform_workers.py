"""Simulated workers and placement advisor with the platform's protocol.

``python -m standins.platform_workers PORT CONTROL[,CONTROL...] COUNT SEEN
MAX_LEASE_S STOP_S`` runs ``COUNT`` workers and the advisor on loopback
addresses, until it is killed.  ``CONTROL`` is the control address of a
scheduler.  ``SEEN`` is the port that workers announce as their own, such as
that of a relay.  ``MAX_LEASE_S`` is the longest lease that they accept,
``STOP_S`` how long they take to stop a task; a stop is answered then.
``GET /history`` at the advisor's address returns what ran, with times (s).
``GET /stalls`` there returns begin and end (s, monotonic) of the times when
this process itself stood still, and with it all workers.
``POST /crash`` there with ``{"workers": names, "backS": s, "lateS": s}`` ends
workers, which are back after ``backS`` under their names, as new lives.  Calls
that the former life leaves without an answer are carried out by the life that
is there ``lateS`` after the crash (null: never).  ``POST /cut`` with a list of
names cuts these workers off and lets all others join again: their calls and
replies are held, and they send no heartbeats.  ``GET /late`` returns worker,
path and status of each call that was carried out late.  ``GET /connections``
returns the most connections that each worker had open at the same time.

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
    """The lives of a worker, with the fields that only its messages need.

    ``model`` is the present life, or None from a crash until the worker is
    back; ``lives`` holds all of them.  ``up`` is set while there is a life,
    ``connected`` while the worker is not cut off.  Calls that the last crash
    left without an answer are carried out at ``late_at`` (s; None: never).
    """

    def __init__(
        self,
        number: int,
        announced_port: int,
        max_lease_s: float,
        stop_s: float,
    ) -> None:
        """Start a worker now; it announces ``announced_port`` as its port."""
        self.number = number
        self.name = worker_name(number)
        self.address = f'{HOST.format(number)}:{announced_port}'
        self.max_lease_s = max_lease_s
        self.stop_s = stop_s
        self.server: web.Server | None = None
        self.most_connections = 0
        self.model: model.WorkerModel | None = None
        self.lives: list[model.WorkerModel] = []
        self.born_ms = 0
        self.sequence = count(1)
        self.up = asyncio.Event()
        self.connected = asyncio.Event()
        self.connected.set()
        self.late_at: float | None = None
        self.late_calls: list[tuple[str, str, int]] = []
        _begin_life(self)


def _begin_life(worker: Worker) -> None:
    worker.model = model.WorkerModel(
        worker.name, _now(), CAPACITY, worker.max_lease_s
    )
    worker.lives.append(worker.model)
    worker.born_ms = int(time.time() * MS_PER_S)
    worker.sequence = count(1)
    worker.up.set()


async def _crash(workers: list[Worker], req: web.Request) -> web.Response:
    """End workers; start them again under their names after a time."""
    order = await req.json()
    crashed = [
        one for one in workers if one.name in order['workers'] and one.model
    ]
    late_s = order['lateS']
    for worker in crashed:
        model.crash(worker.model, _now())
        worker.model = None
        worker.up.clear()
        worker.late_at = None if late_s is None else _now() + late_s
        loop = asyncio.get_running_loop()
        loop.call_later(order['backS'], _begin_life, worker)
    return web.json_response([worker.name for worker in crashed])


async def _cut(workers: list[Worker], req: web.Request) -> web.Response:
    names = await req.json()
    for worker in workers:
        if worker.name in names:
            worker.connected.clear()
        else:
            worker.connected.set()
    return web.Response()


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


def _make_ticket(worker: Worker, step: str) -> str:
    """Return a ticket for a step, which is valid for the worker's life."""
    expires_at = _now() + TICKET_VALIDITY_S
    return f'{worker.name} {worker.born_ms} {step} {expires_at}'


def _is_valid_ticket(worker: Worker, task: str, ticket: str) -> bool:
    step = task.rpartition('.')[0]
    approved, _, expires_at = ticket.rpartition(' ')
    expected = f'{worker.name} {worker.born_ms} {step}'
    return approved == expected and _now() < float(expires_at)


def _is_for_another(worker: Worker, req: web.Request) -> bool:
    return req.headers.get('X-Expected-Instance') != worker.name


def _answer_calls(handle, worker: Worker):
    """Return an HTTP handler that lets the present life carry calls out."""

    async def answer(req: web.Request) -> web.Response:
        order = await req.json()
        worker.most_connections = max(
            worker.most_connections, len(worker.server.connections)
        )
        await worker.connected.wait()
        life = worker.model
        if life:
            if _is_for_another(worker, req):
                return web.json_response(_body(worker), status=421)
            resp = await handle(worker, order)
            await worker.connected.wait()
            if worker.model is life:
                return resp
        await _carry_out_late(handle, worker, req, order)
        return web.Response()

    return answer


async def _carry_out_late(
    handle, worker: Worker, req: web.Request, order: dict
) -> None:
    """Let a later life carry out a call that its former one left unanswered.

    The connection is dropped when the worker is back.
    """
    late_at = worker.late_at
    await worker.up.wait()
    if req.transport:
        req.transport.abort()
    if late_at is None:
        return
    await asyncio.sleep(max(late_at - _now(), 0))
    if worker.model:
        resp = await handle(worker, {**order, 'waitMs': 0})
        worker.late_calls.append((worker.name, req.path, resp.status))


async def _start(worker: Worker, order: dict) -> web.Response:
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


async def _stop(worker: Worker, order: dict) -> web.Response:
    life = worker.model
    await asyncio.sleep(worker.stop_s)
    if worker.model is not life:
        return web.Response()
    status = model.stop(
        life,
        _now(),
        (order['task'],),
        order['runNumber'],
        order['fencingToken'],
    )
    return web.json_response(_body(worker), status=status)


async def _hold(worker: Worker, order: dict) -> web.Response:
    life = worker.model
    until = _now() + order.get('waitMs', 0) / MS_PER_S
    deadline = order.get('deadlineMs')
    while True:
        lists = model.hold(
            life, _now(), order['fencingToken'], order['ackCursor'], deadline
        )
        if lists is None:
            return web.json_response(_body(worker, reason='fence'), status=409)
        if lists[1] or _now() >= until:
            break
        # The lease is extended once, at the time when the call arrives.
        deadline = None
        await asyncio.sleep(_HOLD_POLL_INTERVAL_S)
        if worker.model is not life:
            return web.Response()
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
    names = approved_workers(step, [worker.name for worker in workers])
    by_name = {worker.name: worker for worker in workers}
    approved = [
        [name, _make_ticket(by_name[name], step)]
        for name in asked
        if name in names
    ]
    return web.json_response({'approved': approved})


async def _history(workers: list[Worker], req: web.Request) -> web.Response:
    rows = []
    for life in (life for worker in workers for life in worker.lives):
        model.advance_clock(life, _now())
        rows += [
            [life.name, one.task[0], one.number, one.how]
            + [one.started_at, one.ended]
            + [(one.task, one.number) in life.acknowledged_ends]
            for one in life.history
        ]
        rows += [
            [life.name, span.task[0], span.number, 'running']
            + [span.started_at, None, False]
            for span, _ in life.running.values()
        ]
    return web.json_response(rows)


async def _show_late_calls(
    workers: list[Worker], req: web.Request
) -> web.Response:
    return web.json_response([
        call for worker in workers for call in worker.late_calls
    ])


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
            await worker.connected.wait()
            await worker.up.wait()
            url = f'http://{controls[control_index % len(controls)]}'
            path = f'/instances/{worker.name}'
            try:
                async with session.put(url + path, json=_report(worker)) as r:
                    control_index += r.status != 200
            except (aiohttp.ClientError, TimeoutError):
                control_index += 1
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def _show_connections(
    workers: list[Worker], req: web.Request
) -> web.Response:
    return web.json_response({
        worker.name: worker.most_connections for worker in workers
    })


async def _serve(routes: dict, host: str, port: int) -> web.Server:
    app = web.Application()
    for (method, path), handler in routes.items():
        app.router.add_route(method, path, handler)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port, reuse_address=True).start()
    return runner.server


async def _show_stalls(
    stalls: list[tuple[float, float]], req: web.Request
) -> web.Response:
    return web.json_response(stalls)


def _bind_handler(handler_function, bound_argument):
    async def handle(req: web.Request) -> web.Response:
        return await handler_function(bound_argument, req)

    return handle


async def run(
    port: int, controls: list[str], started_workers: list[Worker]
) -> None:
    """Serve workers and advisor until cancelled."""
    for worker in started_workers:
        routes = {
            ('POST', '/run-start'): _answer_calls(_start, worker),
            ('POST', '/run-stop'): _answer_calls(_stop, worker),
            ('POST', '/hold'): _answer_calls(_hold, worker),
        }
        host = HOST.format(worker.number)
        worker.server = await _serve(routes, host, port)
    stalls: list[tuple[float, float]] = []
    advisor = {
        ('GET', '/stalls'): _bind_handler(_show_stalls, stalls),
        ('POST', '/advise'): _bind_handler(_advise, started_workers),
        ('GET', '/history'): _bind_handler(_history, started_workers),
        ('GET', '/connections'): _bind_handler(
            _show_connections, started_workers
        ),
        ('GET', '/late'): _bind_handler(_show_late_calls, started_workers),
        ('POST', '/crash'): _bind_handler(_crash, started_workers),
        ('POST', '/cut'): _bind_handler(_cut, started_workers),
    }
    await _serve(advisor, ADVISOR_HOST, port)
    await asyncio.gather(
        watch_stalls(stalls),
        *(_send_heartbeats(worker, controls) for worker in started_workers),
    )


def _main(args: list[str]) -> None:
    port, controls, workers, announced_port, max_lease_s, stop_s = args
    started_workers = [
        Worker(number, int(announced_port), float(max_lease_s), float(stop_s))
        for number in range(1, int(workers) + 1)
    ]
    asyncio.run(run(int(port), controls.split(','), started_workers))


if __name__ == '__main__':
    _main(sys.argv[1:])
