"""A small cell of the project's own programs with sound stand-ins around it.

The programs run as separate processes with the commands of the deploy file and
settings like those of a small deployment.  Workers, clients and the operator
are stand-ins in this process, after PROTOCOL.md.  All addresses are loopback
addresses, drawn at random for each run.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess  # noqa: S404  starts the programs under review
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent.parent
DEPLOY = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
# Settings of the deployment latas-vivas.
CORE_MEMORY_MB = 296
CORE_DISK_MB = 128
EDGE_MEMORY_MB = 300
LONGEST_LEASE_MS = 10_000
ACK_TIMEOUT_S = 4.0
# Receive window and segment of a usual network (bytes).
_WINDOW_BYTES = 32_768
_SEGMENT_BYTES = 1_448
QUEUE_HOST = 'nony24.example'
PREFIX = '/pule252/'
SERVICE = 'huvo11a'
MS = 1000
MIB = 1024
_COMMON = """
zones.santander=norte
zones.oviedo=norte
zones.bilbao=norte
lossCounts=false
limits.cores=2
limits.linkMbps=1000.0
discovery=registration
entry=virtual_ip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing
faultTolerance.machines=1
faultTolerance.zones=1
faultTolerance.regions=0
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.holdMaxMs=10000
bounds.stopTimeoutMs=400
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
config_mode=highest
controlMode=push
"""


class Record:
    """Lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Begin an empty file."""
        self.began = time.monotonic()
        self.stream = path.open('w')

    def __call__(self, *words: Any) -> None:
        """Write a line with the time since the start (s)."""
        at = time.monotonic() - self.began
        print(f'{at:8.3f}', *words, file=self.stream, flush=True)


class Cell:
    """Processes of the project by host, their settings and their ports."""

    def __init__(
        self,
        record: Record,
        cores: int,
        edges: int,
        memory_mb: int = CORE_MEMORY_MB,
        disk_mb: int = CORE_DISK_MB,
        *,
        relayed: bool = False,
    ) -> None:
        """Draw addresses and ports; nothing runs yet.

        If ``relayed``, each host has a link port of its own.  It connects to
        all others at that port, where a relay listens.
        """
        self.record = record
        self.core_limits = memory_mb, disk_mb
        self.folder = Path(tempfile.mkdtemp(prefix='daisygw-review-'))
        net = f'127.{random.randint(64, 250)}.{random.randint(1, 250)}'
        self.net = net
        self.cores = [f'{net}.{number + 1}' for number in range(cores)]
        self.edges = [f'{net}.{number + 21}' for number in range(edges)]
        self.callers, self.ready, self.control, self.links = _ports(net, 4)
        hosts = (*self.cores, *self.edges)
        self.link_ports = dict.fromkeys(hosts, self.links)
        if relayed:
            ports = _ports(net, len(hosts))
            self.link_ports = dict(zip(hosts, ports, strict=True))
        self.relay = Relay() if relayed else None
        self.running: dict[str, subprocess.Popen] = {}

    @property
    def controls(self) -> list[str]:
        """The control addresses of the cores."""
        return [f'{host}:{self.control}' for host in self.cores]

    def start(self, host: str, *, first: bool = False) -> None:
        """Start a host's process with the command of the deploy file."""
        is_core = host in self.cores
        role = DEPLOY['roles']['scheduler' if is_core else 'entry']
        path = self.folder / f'{host}.conf'
        path.write_text(self._settings(host, is_core=is_core, first=first))
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env |= role.get('env', {})
        env |= {
            'DAISYGW_BOOT': str(path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with (self.folder / f'{host}.log').open('ab') as out:
            self.running[host] = subprocess.Popen(  # noqa: S603
                shlex.split(role['run']),
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        self.record('start', host)

    def _settings(self, host: str, *, is_core: bool, first: bool) -> str:
        lines = [
            f'nodeName=n-{host}',
            f'ip={host}',
            'zone=santander',
            'region=norte',
            f'internalPorts={self.link_ports[host]},{self.link_ports[host]}',
            f'seedNodes={",".join(self.controls[:3])}',
            f'bootstrap={"true" if first else "false"}',
            f'placementAdvisor={self.net}.99:{self.control}',
        ]
        if is_core:
            data = self.folder / 'data' / host
            data.mkdir(parents=True, exist_ok=True)
            lines += [
                f'dataDir={data}',
                f'listenAddrs.controlPlane={host}:{self.control}',
                f'limits.memoryMb={self.core_limits[0]}',
                'limits.maxFds=4096',
                f'limits.diskMb={self.core_limits[1]}',
            ]
        else:
            lines += [
                f'listenAddrs.frontend={host}:{self.callers}',
                f'listenAddrs.ready={host}:{self.ready}',
                f'limits.memoryMb={EDGE_MEMORY_MB}',
                'limits.maxFds=4100',
                'limits.diskMb=0',
            ]
        return '\n'.join(lines) + _COMMON

    async def open_relays(self) -> None:
        """Relay the links between hosts, if asked to."""
        if self.relay is None:
            return
        for host, port in self.link_ports.items():
            for other in self.cores:
                if other != host:
                    name = f'{host}>{other}'
                    to = self.link_ports[other]
                    await self.relay.listen(name, other, port, to)

    def log_lines(self, host: str, event: str) -> list[dict]:
        """Return the log lines of a host about an event."""
        lines = (self.folder / f'{host}.log').read_text().splitlines()
        return [json.loads(one) for one in lines if f'"{event}"' in one]

    def start_all(self) -> None:
        """Start all hosts for the first time."""
        for host in (*self.cores, *self.edges):
            self.start(host, first=True)

    def signal(self, host: str, number: int) -> None:
        """Send a signal to a host's process."""
        self.record('signal', signal.Signals(number).name, host)
        self.running[host].send_signal(number)

    def kill(self, host: str) -> None:
        """Kill a host's process and wait for its end."""
        self.signal(host, signal.SIGKILL)
        self.running.pop(host).wait()

    def memory_mb(self, host: str) -> float:
        """Return the resident memory of a host's process (MiB)."""
        process = self.running.get(host)
        try:
            text = Path(f'/proc/{process.pid}/status').read_text()
        except (AttributeError, OSError):
            return 0.0
        rows = [row for row in text.splitlines() if row.startswith('VmRSS')]
        return int(rows[0].split()[1]) / MIB if rows else 0.0

    def disk_mb(self, host: str) -> float:
        """Return the size of a host's disk folder (MiB)."""
        folder = self.folder / 'data' / host
        files = [path for path in folder.rglob('*') if path.is_file()]
        return sum(path.stat().st_size for path in files) / MIB**2

    def ended(self) -> list[str]:
        """Return the hosts whose processes ended by themselves."""
        return [
            host
            for host, process in self.running.items()
            if process.poll() is not None
        ]

    def close(self) -> None:
        """Kill all processes and remove the folder."""
        for process in self.running.values():
            process.kill()
            process.wait()
        if 'KEEP' in os.environ:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _ports(net: str, count: int) -> list[int]:
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((f'{net}.1', 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Relay:
    """Passes bytes on between hosts, until told to let connections be silent.

    A silent connection stays open, and nothing that is sent on it arrives;
    new connections work.  The receive window and the segments are those of a
    usual network rather than of the loopback interface.
    """

    def __init__(self) -> None:
        """Create a relay without connections."""
        self.connections: set[tuple[str, asyncio.Event]] = set()
        self.servers: list[asyncio.Server] = []

    async def listen(self, name: str, host: str, port: int, to: int) -> None:
        """Relay connections to a port of a host to its port ``to``."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
        sock.bind((host, port))

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._pass_on(name, host, to, reader, writer)

        server = await asyncio.start_server(accept, sock=sock, limit=8192)
        self.servers.append(server)

    async def _pass_on(
        self,
        name: str,
        host: str,
        to: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(host, to)
        except OSError:
            writer.close()
            return
        silent = asyncio.Event()
        self.connections.add((name, silent))
        await asyncio.gather(
            _pump(silent, reader, far_writer), _pump(silent, far_reader, writer)
        )
        self.connections.discard((name, silent))

    def silence(self, links: list[str]) -> list[str]:
        """Let open connections be silent for good; return their names.

        These are the ones whose names begin with one of ``links``.
        """
        chosen = {
            one for one in self.connections if one[0].startswith(tuple(links))
        }
        for _, silent in chosen:
            silent.set()
        self.connections -= chosen
        return sorted(name for name, _ in chosen)


async def _pump(
    silent: asyncio.Event,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    never = asyncio.Event()
    try:
        while chunk := await reader.read(8192):
            if silent.is_set():
                await never.wait()
            writer.write(chunk)
            await writer.drain()
        if silent.is_set():
            await never.wait()
    except OSError:
        pass
    writer.close()


class Run:
    """A run of a task on a worker."""

    def __init__(self, task: str, number: int, spec: dict, at: float) -> None:
        """Begin at ``at`` (s, monotonic)."""
        self.task = task
        self.number = number
        self.spec = spec
        self.at = at
        self.how = ''
        self.ended_at = 0.0


class Worker:
    """A sound worker without admission control, after PROTOCOL.md.

    ``hooks`` may hold a coroutine for each call, which is awaited before the
    call is carried out.
    """

    def __init__(self, cell: Cell, number: int, **more: Any) -> None:
        """Create a worker that has not started."""
        self.cell = cell
        self.id = f'i-{number:08x}'
        self.host = f'{cell.net}.{100 + number}'
        # Behind a relay the announced port is the relay's.
        port = cell.callers if cell.relay else cell.control
        self.address = f'{self.host}:{port}'
        self.capacity = {'cpu': 64_000, 'memMb': 262_144, 'gpu': 0}
        self.more = more
        self.hooks: dict[str, Callable] = {}
        self.history: list[Run] = []
        self.sequence = 0
        self.up = asyncio.Event()
        # How long after its start a further life sends its first heartbeat.
        self.first_beat_s = 0.5
        self.begin_life()

    def begin_life(self) -> None:
        """Begin a life that knows nothing of the one before."""
        self.began = time.monotonic()
        self.born = int(time.time() * MS)
        self.fence = 0
        self.lease = 0.0
        self.active: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[list] = []
        self.position = 0
        self.acked: dict[tuple[str, int], float] = {}
        self.changed = asyncio.Event()
        self.up.set()

    def crash(self) -> None:
        """End the life and all that runs; nothing is listed."""
        self.up.clear()
        for run in list(self.active.values()):
            self.active.pop(run.task)
            run.how = 'crashed'
            run.ended_at = time.time()
        self.cell.record('crash', self.id)

    def clock(self) -> int:
        """Return the steady clock of this life (ms)."""
        return int((time.monotonic() - self.began) * MS)

    def body(self, **more: Any) -> dict:
        """Return a body with what all answers have."""
        return {'clockMs': self.clock(), 'born': self.born, **more}

    async def serve(self) -> None:
        """Listen, and send heartbeats until cancelled."""
        app = web.Application()
        for path in ('run-start', 'run-stop', 'hold'):
            app.router.add_post(f'/{path}', self._handler(path))
        app.router.add_get('/healthz', self._healthy)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        port = self.cell.control
        await web.TCPSite(self.runner, self.host, port).start()
        if self.cell.relay:
            relayed = self.cell.callers
            await self.cell.relay.listen(self.id, self.host, relayed, port)
        await asyncio.gather(self._beat(), self._advance())

    async def _healthy(self, req: web.Request) -> web.Response:
        return web.Response()

    def _handler(self, path: str) -> Callable:
        act = {
            'run-start': self.start,
            'run-stop': self.stop,
            'hold': self.hold,
        }[path]

        async def handle(req: web.Request) -> web.Response:
            order = await req.json()
            if req.headers.get('X-Expected-Instance', self.id) != self.id:
                return web.json_response(self.body(), status=421)
            life = self.born
            if not self.up.is_set():
                # Nothing answers while the worker is down.
                await self.up.wait()
                req.transport.abort()
            if path in self.hooks:
                await self.hooks[path](order)
            status, body = await act(order)
            if self.born != life:
                # The life that took the call has crashed.
                req.transport.abort()
            return web.json_response(body, status=status)

        return handle

    def _extend(self, order: dict) -> None:
        if 'deadlineMs' in order:
            most = self.clock() + LONGEST_LEASE_MS
            self.lease = max(self.lease, min(order['deadlineMs'], most))

    async def start(self, order: dict) -> tuple[int, dict]:
        """Carry out a start order."""
        task, number = order['task'], order['runNumber']
        if order['fencingToken'] < self.fence:
            return 409, self.body(reason='fence')
        self.fence = order['fencingToken']
        if order['deadlineMs'] <= self.clock():
            return 409, self.body(reason='late')
        self._extend(order)
        known = self.active.get(task)
        if known and known.number == number:
            return 200, self.body()
        if known or number <= self.highest.get(task, 0):
            return 409, self.body(reason='old')
        run = Run(task, number, json.loads(order['spec'] or '{}'), time.time())
        self.active[task] = run
        self.history.append(run)
        self.cell.record('run', task, number, self.id)
        return 200, self.body()

    async def stop(self, order: dict) -> tuple[int, dict]:
        """Carry out a stop order."""
        task, number = order['task'], order['runNumber']
        if order['fencingToken'] < self.fence:
            return 409, self.body(reason='fence')
        self.fence = order['fencingToken']
        run = self.active.get(task)
        if run and run.number <= number:
            self.end(run, 'stopped')
        self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, self.body()

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        self.active.pop(run.task)
        run.how = how
        run.ended_at = time.time()
        self.position += 1
        self.ends.append([self.position, run.task, run.number, how, ''])
        number = max(self.highest.get(run.task, 0), run.number)
        self.highest[run.task] = number
        self.cell.record('end', run.task, run.number, self.id, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def hold(self, order: dict) -> tuple[int, dict]:
        """Carry out a renewal; wait for an end if asked to."""
        if order['fencingToken'] < self.fence:
            return 409, self.body(reason='fence')
        self.fence = order['fencingToken']
        self._extend(order)
        now = time.monotonic()
        for end in self.ends:
            if end[0] <= order['ackCursor']:
                self.acked[end[1], end[2]] = now
        self.ends = [one for one in self.ends if one[0] > order['ackCursor']]
        if not self.ends and order.get('waitMs'):
            try:
                waited = self.changed.wait()
                await asyncio.wait_for(waited, order['waitMs'] / MS)
            except TimeoutError:
                pass
        active = [
            [run.task, run.number, '', 0, 0] for run in self.active.values()
        ]
        return 200, self.body(active=active, finished=self.ends[:500])

    async def _advance(self) -> None:
        while True:
            lapsed = self.clock() > self.lease
            for run in list(self.active.values()):
                work = run.spec.get('work_s', 0.3)
                if lapsed:
                    self.end(run, 'lapsed')
                elif time.time() - run.at >= work:
                    failed = run.spec.get('fails')
                    self.end(run, 'failed' if failed else 'done')
            await asyncio.sleep(0.02)

    def report(self, **more: Any) -> dict:
        """Return a heartbeat."""
        self.sequence += 1
        report = {
            'service': SERVICE,
            'address': self.address,
            'zone': 'santander',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldRemainingMs': 0,
            'capacity': self.capacity,
            'labels': ['a', 'r1-1'],
            'sequence': self.sequence,
        }
        return self.body(**{**report, **self.more, **more})

    async def _beat(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1)
        at = random.randrange(len(self.cell.controls))
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                if not self.up.is_set():
                    await self.up.wait()
                    await asyncio.sleep(self.first_beat_s)
                control = self.cell.controls[at % len(self.cell.controls)]
                url = f'http://{control}/instances/{self.id}'
                try:
                    async with session.put(url, json=self.report()) as resp:
                        at += resp.status != 200
                        pause = 1.5 if resp.status == 200 else 0.2
                except (aiohttp.ClientError, TimeoutError):
                    at += 1
                    pause = 0.2
                await asyncio.sleep(pause)


class Clients:
    """Clients and the operator."""

    def __init__(self, cell: Cell, session: aiohttp.ClientSession) -> None:
        """Share one HTTP session."""
        self.cell = cell
        self.session = session

    async def call(
        self,
        method: str,
        url: str,
        body: Any = None,
        timeout_s: float = 3.0,
        **headers: str,
    ) -> tuple[int, Any]:
        """Send one request; the status is 0 without a response."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        sent = body if body is None or isinstance(body, bytes) else None
        if sent is None and body is not None:
            sent = json.dumps(body).encode()
        try:
            async with self.session.request(
                method,
                url,
                data=sent,
                timeout=timeout,
                headers={'Content-Type': 'application/json', **headers},
            ) as resp:
                raw = await resp.read()
                return resp.status, _decode(raw)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return 0, type(exc).__name__

    async def ask(
        self, method: str, name: str, body: Any = None, edge: str = ''
    ) -> tuple[int, Any]:
        """Send one request of a client to an entry."""
        edge = edge or random.choice(self.cell.edges)
        url = f'http://{edge}:{self.cell.callers}{PREFIX}{name}'
        status, reply = await self.call(
            method,
            url,
            body,
            **{'Host': QUEUE_HOST, 'X-Deadline-Ms': '3000'},
        )
        self.cell.record(method, name, edge, '->', status, str(reply)[:120])
        return status, reply

    async def submit(self, name: str, body: Any) -> int:
        """Submit a job as a client with four retries; return the status."""
        status = 0
        for _ in range(5):
            status, _ = await self.ask('POST', name, body)
            if status not in {0, 502, 504}:
                break
            await asyncio.sleep(0.2)
        return status

    async def configure(self, document: dict, tries: int = 100) -> bool:
        """Send a configuration until it is acknowledged."""
        for attempt in range(tries):
            control = self.cell.controls[attempt % len(self.cell.controls)]
            url = f'http://{control}/config'
            status, _ = await self.call('PUT', url, document, 1.0)
            self.cell.record('PUT config', document['version'], control, status)
            if status == 200:
                return True
            await asyncio.sleep(0.2)
        return False


def _decode(raw: bytes) -> Any:
    try:
        return json.loads(raw)
    except ValueError:
        return raw


def configuration(version: int, **route: Any) -> dict:
    """Return a configuration with one queue."""
    row = {
        'name': 'r-73hh2b9',
        'host': QUEUE_HOST,
        'pathPrefix': PREFIX,
        'kind': 'non_idempotent',
        'timeoutMs': 3000,
        'targetLatencyMs': 1000,
        'priority': 0,
        'service': SERVICE,
        'maxAttempts': 2,
        'slackFactor': 2.0,
        **route,
    }
    return {
        'version': version,
        'routes': [row],
        'services': [
            {
                'name': SERVICE,
                'healthPath': '/healthz',
                'maxConns': 64,
                'protocol': 'h1',
                'tls': False,
                'admissionControl': False,
                'standby': False,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


def new_id() -> str:
    """Return the id of a job."""
    return f'{random.getrandbits(64):016x}'


async def wait_until(
    check: Callable[[], Any], seconds: float, pause: float = 0.1
) -> bool:
    """Wait until a plain or an asynchronous check holds."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        found = check()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return True
        await asyncio.sleep(pause)
    return False


class CouldNotRun(Exception):
    """The case could not run."""


async def _play(cell: Cell, workers: list[Worker], case: Callable) -> list[str]:
    await cell.open_relays()
    cell.start_all()
    serving = [asyncio.ensure_future(one.serve()) for one in workers]
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    try:
        async with aiohttp.ClientSession(connector=connector) as session:
            clients = Clients(cell, session)
            if not await clients.configure(configuration(1)):
                raise CouldNotRun('no configuration was acknowledged')

            async def serves() -> bool:
                name = new_id()
                body = {'spec': '{}', 'steps': [{'count': 1, 'cpu': 100}]}
                return await clients.submit(name, body) == 200

            if not await wait_until(serves, 30):
                raise CouldNotRun('the first job was not accepted')
            return await case(cell, clients, workers)
    finally:
        for task in serving:
            task.cancel()


def run_case(
    folder: Path,
    case: Callable,
    cores: int = 3,
    edges: int = 2,
    workers: int = 3,
    **more: Any,
) -> int:
    """Play a case; return 1 if a rule was broken, 0 if not, 2 if it failed.

    ``more`` is passed on to the cell.
    """
    record = Record(folder / 'record.txt')
    if not (ROOT / 'target' / 'deps').is_dir():
        record('target/deps is missing: the build has not run')
        return 2
    cell = Cell(record, cores, edges, **more)
    made: list[Worker] = []

    async def play() -> list[str]:
        made.extend(Worker(cell, number) for number in range(workers))
        async with asyncio.timeout(115):
            return await _play(cell, made, case)

    try:
        broken = asyncio.run(play())
    except Exception as exc:
        record('could not run:', repr(exc))
        return 2
    finally:
        cell.close()
    for line in broken:
        record('BROKEN', line)
        print('BROKEN', line)
    record('broken rules:', len(broken))
    return 1 if broken else 0
