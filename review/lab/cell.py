"""Starts the project's programs as the deploy file says, on loopback."""

import asyncio
import os
import shutil
import signal
import socket
import subprocess  # noqa: S404  starts the programs under test
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from pathlib import Path
from random import SystemRandom
from typing import Any

from review.lab import web

ROOT = Path(__file__).resolve().parents[2]
FRONTEND, READY, CONTROL, WORKER = 8161, 8167, 8166, 8080
_INTERNAL = (7720, 7735)
_METRICS = 9464
# Bounds of the site latas-vivas, as DEPLOY.md prints them.
BOUNDS = {
    'seedLagS': '3',
    'reuseAfterS': '2',
    'contactMs': '3000',
    'ackTimeoutMs': '4000',
    'catchUpS': '4',
    'drainMs': '2000',
    'graceS': '6',
    'lossSlackMs': '200',
    'configApplyMs': '2000',
    'rollbackSlackMs': '250',
    'maxSkewMs': '5000',
    'recoveryS': '12',
    'holdMaxMs': '10000',
    'stopTimeoutMs': '400',
    'gangTimeoutMs': '3000',
    'cancel_ms': '3000',
    'visible_ms': '3000',
    'early_ms': '250',
    'finish_s': '14',
    'status_s': '120',
    'remoteFactor': '1.5',
    'checkpointS': '2',
    'restoreMs': '600',
    'noticeMs': '4500',
    'migrationS': '1.5',
    'maintenanceS': '2',
    'fencingEnforced': 'false',
    'leaseMs': '3000',
    'thawMs': '300',
    'paceDelayMs': '100',
    'interferenceMs': '4000',
}
ZONES = ('santander', 'oviedo', 'bilbao')
QUEUE_HOST = 'jobs.example'
PREFIX = '/q/'
SERVICE = 'svc'
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 10.0


class CannotRunError(Exception):
    """The case could not run: exit status 2."""


def _is_free(host: str, port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


def _free_subnet() -> str:
    """Return the first three parts of loopback addresses that are free."""
    random = SystemRandom()
    ports = (FRONTEND, READY, CONTROL, WORKER, _METRICS, *_INTERNAL)
    for _ in range(50):
        subnet = f'127.{random.randint(30, 250)}.{random.randint(1, 250)}'
        if all(_is_free(f'{subnet}.1', port) for port in ports):
            return subnet
    raise CannotRunError('no free loopback addresses')


def _roles() -> dict[str, Any]:
    path = ROOT / 'deploy' / 'system.toml'
    return tomllib.loads(path.read_text('utf-8'))['roles']


class Cell:
    """The processes of a small deployment: 3 core and 3 edge machines."""

    def __init__(self, folder: Path) -> None:
        """Choose addresses; start nothing."""
        self.folder = folder
        self.subnet = _free_subnet()
        self.core = tuple(f'{self.subnet}.{one}' for one in (1, 2, 3))
        self.edge = tuple(f'{self.subnet}.{one}' for one in (11, 12, 13))
        self.roles = _roles()
        self.processes: dict[str, subprocess.Popen] = {}

    @property
    def controls(self) -> tuple[str, ...]:
        """The addresses that serve workers and the operator."""
        return tuple(f'{host}:{CONTROL}' for host in self.core)

    @property
    def entries(self) -> tuple[str, ...]:
        """The addresses that serve clients."""
        return tuple(f'{host}:{FRONTEND}' for host in self.edge)

    def worker_host(self, number: int) -> str:
        """Return the address of a worker; numbers begin at 1."""
        return f'{self.subnet}.{100 + number}'

    @property
    def advisor(self) -> str:
        """The address of the placement advisor; no queue uses it."""
        return f'{self.subnet}.99:{WORKER}'


def _settings(cell: Cell, host: str, *, first: bool) -> str:
    is_core = host in cell.core
    number = (cell.core if is_core else cell.edge).index(host)
    zone = ZONES[number]
    kind, serves = ('core', 'control') if is_core else ('edge', 'edge')
    role = 'scheduler' if is_core else 'entry'
    fields = {
        'nodeName': f'{kind}-{zone}-1',
        'role': role,
        'machineClass': kind,
        'serves': serves,
        'ip': host,
        'zone': zone,
        'region': 'norte',
        **{f'zones.{one}': 'norte' for one in ZONES},
        'internalPorts': ','.join(map(str, _INTERNAL)),
        'seedNodes': ','.join(cell.controls),
        'bootstrap': 'true' if first else 'false',
        'lossCounts': 'true' if is_core else 'false',
        'limits.cpuShare': '0.717' if is_core else '0.537',
        'limits.cores': '3' if is_core else '2',
        'limits.memoryMb': '296' if is_core else '300',
        'limits.maxFds': '4096' if is_core else '4100',
        'limits.linkMbps': '1000.0',
        'limits.diskMb': '128' if is_core else '0',
        'discovery': 'registration',
        'entry': 'virtual_ip',
        'heartbeatMs': '1500',
        'contracts': 'base,drain,config,cost,recover,sched,advice,upkeep,'
        'sharing',
        'faultTolerance.machines': '1',
        'faultTolerance.zones': '1',
        'faultTolerance.regions': '0',
        **{f'bounds.{name}': text for name, text in BOUNDS.items()},
        'config_mode': 'highest',
        'controlMode': 'push',
        'placementAdvisor': cell.advisor,
        'cloudApi.address': f'{cell.subnet}.98:{WORKER}',
        'cloudApi.ratePerS': '60.0',
        'cloudApi.duties': '',
        'cloudApi.dutyPerS': '60.0',
    }
    if is_core:
        fields['listenAddrs.controlPlane'] = f'{host}:{CONTROL}'
        fields['dataDir'] = str(cell.folder / f'data-{host}')
    else:
        fields['listenAddrs.frontend'] = f'{host}:{FRONTEND}'
        fields['listenAddrs.ready'] = f'{host}:{READY}'
    return '\n'.join(f'{name}={text}' for name, text in fields.items())


def start(cell: Cell, host: str, *, first: bool = False) -> None:
    """Start the program of a machine with the command of the deploy file."""
    role = cell.roles['scheduler' if host in cell.core else 'entry']
    path = cell.folder / f'{host}.conf'
    path.write_text(_settings(cell, host, first=first), 'utf-8')
    (cell.folder / f'data-{host}').mkdir(exist_ok=True)
    kept = ('PATH', 'HOME', 'LANG')
    env = {name: os.environ[name] for name in kept if name in os.environ}
    env |= {'PYTHONPATH': str(ROOT / 'target' / 'deps')}
    env |= {'DAISYGW_BOOT': str(path), **role.get('env', {})}
    with (cell.folder / f'{host}.log').open('ab') as out:
        cell.processes[host] = subprocess.Popen(  # noqa: S603
            role['run'].split(' '),
            cwd=ROOT,
            env=env,
            stdout=out,
            stderr=subprocess.STDOUT,
        )


def kill(cell: Cell, host: str, how: int = signal.SIGKILL) -> None:
    """Send a signal to a machine's process, by its id."""
    cell.processes[host].send_signal(how)


def resident_mb(cell: Cell, host: str) -> float:
    """Return the memory of a process that this script started (MB)."""
    pid = cell.processes[host].pid
    try:
        lines = Path(f'/proc/{pid}/status').read_text('ascii').splitlines()
    except OSError:
        return 0
    sizes = [int(line.split()[1]) for line in lines if 'VmRSS' in line]
    return sizes[0] / 1024 if sizes else 0


def config(version: int = 1) -> dict[str, Any]:
    """Return a configuration with one queue."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-1',
                'host': QUEUE_HOST,
                'pathPrefix': PREFIX,
                'kind': 'non_idempotent',
                'timeoutMs': 3000,
                'targetLatencyMs': 1000,
                'priority': 1,
                'service': SERVICE,
                'maxAttempts': 3,
                'slackFactor': 2.2,
            }
        ],
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


async def put_config(cell: Cell, cfg: dict[str, Any]) -> None:
    """Send a configuration until it is acknowledged."""
    until = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < until:
        for address in cell.controls:
            status, _ = await web.call(address, 'PUT', '/config', cfg)
            if status == 200:
                return
        await asyncio.sleep(0.3)
    raise CannotRunError('the first configuration was not acknowledged')


async def wait_until_ready(cell: Cell) -> None:
    """Wait until all edge machines report that they are ready."""
    until = time.monotonic() + _START_TIMEOUT_S
    for host in cell.edge:
        while (await web.call(f'{host}:{READY}', 'GET', '/readyz'))[0] != 200:
            if time.monotonic() > until:
                raise CannotRunError(f'{host} is not ready')
            await asyncio.sleep(0.2)


@asynccontextmanager
async def running_cell() -> AsyncGenerator[Cell, None]:
    """Run the programs with a temporary folder; end them afterwards."""
    if not (ROOT / 'target' / 'deps').is_dir():
        raise CannotRunError('target/deps is missing: run the build first')
    folder = Path(tempfile.mkdtemp(prefix='review-'))
    cell = Cell(folder)
    try:
        for host in (*cell.core, *cell.edge):
            start(cell, host, first=True)
        await put_config(cell, config())
        await wait_until_ready(cell)
        yield cell
    finally:
        for process in cell.processes.values():
            process.kill()
        for process in cell.processes.values():
            process.wait(_STOP_TIMEOUT_S)
        if os.environ.get('KEEP') == '1':
            sys.stderr.write(f'kept {folder}\n')
        else:
            shutil.rmtree(folder, ignore_errors=True)
