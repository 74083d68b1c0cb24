"""A whole cell on one machine: settings, processes, and their end.

Used by the demo, the tests and the benches.  Ports come from the operating
system.
"""

import json
import os
import shutil
import signal
import socket
import subprocess  # noqa: S404  the cell's own processes, from outside it
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Generator, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# Connections on loopback begin at 127.0.0.1 and take ports there; a cell
# listens elsewhere, so that none of its ports is taken before it is opened.
LOOPBACK = '127.0.20.1'
_LOOK = 0.05
_STOP_WAIT = 30
_QUICK = {'heartbeat': 0.05, 'election': 0.5}
# Lines of a process's log that are shown when its cell is not up in time.
_LAST_LINES = 3
# A guard against a process that hangs as it starts, s, no bound of the cell's:
# 15 processes took over 30 s to load beside six days of the bench.
START_GUARD = 300
# Where the logs of a cell that was not up in time are kept.
_KEPT = Path('run')
# Ports that were handed out: a process of a cell opens its own only later.
_given: set[int] = set()


@dataclass(frozen=True, slots=True)
class HostPlan:
    """Where a host's two processes listen."""

    name: str
    domain: str
    entry: str
    scheduler: str
    disk: bool = True


@dataclass(frozen=True, slots=True)
class CellPlan:
    """A cell: failure domains with their hosts, and the base settings."""

    region: str
    hosts: tuple[HostPlan, ...]
    teams: tuple[str, ...] = ('patio', 'criba')
    extra: str = ''
    fast_timing: bool = True


def free_ports(count: int, host: str = LOOPBACK) -> list[int]:
    """Return ports that are free now and were not handed out before."""
    with ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            sock = stack.enter_context(socket.socket())
            sock.bind((host, 0))
            port = sock.getsockname()[1]
            if port not in _given:
                ports.append(port)
        _given.update(ports)
        return ports


def plan_cell(
    region: str,
    domains: Sequence[str],
    *,
    per_domain: int = 2,
    extra: str = '',
    disk: bool = True,
    fast_timing: bool = True,
) -> CellPlan:
    """Plan a cell with some hosts in each failure domain."""
    ports = iter(free_ports(len(domains) * per_domain * 2))
    hosts = tuple(
        HostPlan(
            f'{domain}-{number}',
            domain,
            f'{LOOPBACK}:{next(ports)}',
            f'{LOOPBACK}:{next(ports)}',
            disk,
        )
        for domain in domains
        for number in range(1, per_domain + 1)
    )
    return CellPlan(region, hosts, extra=extra, fast_timing=fast_timing)


def domains_of(plan: CellPlan) -> list[str]:
    """Return the failure domains of a plan, in order."""
    return list(dict.fromkeys(host.domain for host in plan.hosts))


def hosts_in(plan: CellPlan, domain: str) -> list[HostPlan]:
    """Return a failure domain's hosts."""
    return [host for host in plan.hosts if host.domain == domain]


def _domain_tables(plan: CellPlan) -> Iterator[str]:
    names = domains_of(plan)
    for number, name in enumerate(names):
        yield f'[domains.{name}]'
        yield f'region = "{plan.region}"'
        if len(names) > 1:
            following = names[(number + 1) % len(names)]
            yield f'tie_breaker = "{hosts_in(plan, following)[0].name}"'


def _config_voters(plan: CellPlan) -> list[str]:
    """Return an odd number of hosts, spread over the failure domains."""
    firsts = [hosts_in(plan, name)[0].name for name in domains_of(plan)]
    if len(firsts) == 2:
        firsts.append(plan.hosts[1].name)
    return firsts[: len(firsts) - 1 + len(firsts) % 2]


def base_toml(plan: CellPlan, data: Path) -> str:
    """Return the base settings of a plan."""
    lines = ['[cell]', 'name = "demo"', '', *_domain_tables(plan)]
    for host in plan.hosts:
        lines += [
            f'[hosts.{host.name}]',
            f'domain = "{host.domain}"',
            f'entry = "{host.entry}"',
            f'scheduler = "{host.scheduler}"',
            f'disk = {str(host.disk).lower()}',
        ]
    voter_hosts = _config_voters(plan)
    lines += ['[configuration]', f'voters = {json.dumps(voter_hosts)}']
    lines += ['[process]', f'data = "{data}"', 'log_level = "info"']
    if plan.fast_timing:
        lines += ['[timing]']
        lines += [f'{key} = {number}' for key, number in _QUICK.items()]
    for team in plan.teams:
        lines += [f'[teams.{team}]', 'weight = 1']
    return '\n'.join([*lines, plan.extra, ''])


class Process:
    """A started process of the cell."""

    def __init__(self, name: str, args: Sequence[str], folder: Path) -> None:
        """Start it; its log goes into ``folder``."""
        self.name = name
        self.args = list(args)
        self.log = folder / f'{name}.log'
        self.popen = self._start()

    def _start(self) -> subprocess.Popen:
        with self.log.open('ab') as stream:
            return subprocess.Popen(
                self.args,
                stdout=stream,
                stderr=stream,
                stdin=subprocess.DEVNULL,
            )

    def restart(self) -> None:
        """Start it again after it ended."""
        self.popen = self._start()


class RunningCell:
    """The processes of a cell that runs."""

    def __init__(self, plan: CellPlan, folder: Path) -> None:
        """Begin with none started."""
        self.plan = plan
        self.folder = folder
        self.base = folder / 'base.toml'
        self.processes: dict[str, Process] = {}
        self.targets: dict[str, str] = {}


def write_settings(cell: RunningCell) -> None:
    """Write the base file, and an overlay for each site."""
    text = base_toml(cell.plan, cell.folder / 'data')
    cell.base.write_text(text)
    for domain in domains_of(cell.plan):
        overlay = cell.folder / f'{domain}.toml'
        overlay.write_text('[process]\nlog_level = "info"\n')


def start_host(
    cell: RunningCell,
    host: HostPlan,
    *,
    overlay: Path | None = None,
    program: Sequence[str] = (sys.executable, '-m', 'daisygw'),
) -> None:
    """Start a host's two processes."""
    overlay = overlay or cell.folder / f'{host.domain}.toml'
    for kind in ('scheduler', 'entry'):
        args = [
            *program,
            kind,
            f'--config={cell.base}',
            f'--overlay={overlay}',
            f'--host={host.name}',
        ]
        name = f'{kind}-{host.name}'
        cell.processes[name] = Process(name, args, cell.folder)


def start_targets(
    cell: RunningCell,
    domain: str,
    count: int,
    *more: str,
    name: str = '',
) -> None:
    """Start a process of stand-in targets in a failure domain."""
    port = _run_of_ports(count)
    entries = ','.join(host.entry for host in hosts_in(cell.plan, domain))
    name = name or f'{domain}-t'
    args = [
        sys.executable,
        '-m',
        'standins.target',
        f'--name={name}',
        f'--address={LOOPBACK}',
        f'--port={port}',
        f'--entries={entries}',
        f'--count={count}',
        *more,
    ]
    process = f'targets-{name}'
    cell.processes[process] = Process(process, args, cell.folder)
    for number in range(count):
        cell.targets[f'{name}{number}'] = f'{LOOPBACK}:{port + number}'


def _run_of_ports(count: int) -> int:
    """Return the first of ``count`` free ports in a row."""
    while True:
        first = free_ports(1)[0]
        others = range(first + 1, first + count)
        if _given.isdisjoint(others) and all(map(is_port_free, others)):
            _given.update(others)
            return first


def is_port_free(port: int) -> bool:
    """Tell whether a cell could listen at a port now."""
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except (OSError, OverflowError):
            return False
        return True


def call(
    address: str,
    path: str,
    method: str = 'GET',
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30,
) -> tuple[int, bytes]:
    """Make one HTTP call; return status and body."""
    req = urllib.request.Request(
        f'http://{address}{path}',
        data=body,
        method=method,
        headers=headers or {},
    )
    try:
        with urllib.request.urlopen(req, timeout=timeout) as reply:
            return reply.status, reply.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.read()


def fetch_json(address: str, path: str) -> Any:
    """Return a JSON document, None where it can not be had now."""
    try:
        return json.loads(call(address, path)[1])
    except (OSError, ValueError):
        return None


def wait_until(ready: Any, seconds: float, what: str) -> None:
    """Wait until ``ready()`` holds, or raise."""
    until = time.monotonic() + seconds
    while not ready():
        if time.monotonic() > until:
            raise TimeoutError(f'not within {seconds} s: {what}')
        time.sleep(_LOOK)


def is_serving(cell: RunningCell, targets: int) -> bool:
    """Tell whether every entry sees ``targets`` targets."""
    for host in cell.plan.hosts:
        views = fetch_json(host.entry, '/v1/views/targets')
        health = fetch_json(host.entry, '/v1/health')
        if not health or not health['configured']:
            return False
        if not views or any(view is None for view in views.values()):
            return False
        if sum(len(view) for view in views.values()) < targets:
            return False
    return True


def has_opened(address: str) -> bool:
    """Tell whether something listens at an address."""
    host, _, port = address.rpartition(':')
    with socket.socket() as sock:
        sock.settimeout(_LOOK)
        return sock.connect_ex((host, int(port))) == 0


def _addresses(cell: RunningCell) -> Iterator[tuple[str, str]]:
    """Yield each process's name, and an address where it will listen."""
    for host in cell.plan.hosts:
        yield f'scheduler-{host.name}', host.scheduler
        yield f'entry-{host.name}', host.entry
    for name in cell.processes:
        first = cell.targets.get(f'{name.removeprefix("targets-")}0')
        if first:
            yield name, first


def _runs(cell: RunningCell, name: str) -> bool:
    process = cell.processes.get(name)
    return process is not None and process.popen.poll() is None


def all_ports_open(cell: RunningCell) -> bool:
    """Tell whether each process that runs has opened its port."""
    return all(
        has_opened(address)
        for name, address in _addresses(cell)
        if _runs(cell, name)
    )


def wait_until_serving(cell: RunningCell, targets: int, seconds: float) -> None:
    """Wait until ``is_serving``; else keep the logs, and raise with them.

    ``seconds`` begin when all processes have opened their ports: how long a
    busy machine takes to load them says nothing of the cell.
    """
    try:
        _wait_serving(cell, targets, seconds)
    except TimeoutError as exc:
        kept = Path(tempfile.mkdtemp(prefix='cell-', dir=_kept_folder()))
        for process in cell.processes.values():
            shutil.copy(process.log, kept)
        raise TimeoutError(f'{exc}: {_standing(cell)}; {kept}') from exc


def _wait_serving(cell: RunningCell, targets: int, seconds: float) -> None:
    wait_until(lambda: all_ports_open(cell), START_GUARD, 'the processes')
    wait_until(lambda: is_serving(cell, targets), seconds, 'the cell')


def _kept_folder() -> Path:
    _KEPT.mkdir(exist_ok=True)
    return _KEPT


def _standing(cell: RunningCell) -> str:
    """Tell how each process of a cell that is not up stands."""
    told = []
    for name, process in cell.processes.items():
        code = process.popen.poll()
        last = process.log.read_text(errors='replace').splitlines()
        shown = ' / '.join(last[-_LAST_LINES:])
        told.append(f'{name} {"runs" if code is None else code}: {shown}')
    for host in cell.plan.hosts:
        views = fetch_json(host.entry, '/v1/views/targets')
        told.append(f'{host.entry} sees {views}')
    return '\n'.join(told)


def send_signal(cell: RunningCell, name: str, number: int) -> None:
    """Send a signal to a process of the cell."""
    process = cell.processes[name]
    if process.popen.poll() is None:
        os.kill(process.popen.pid, number)


def kill(cell: RunningCell, name: str) -> None:
    """Kill a process of the cell at once."""
    send_signal(cell, name, signal.SIGKILL)
    cell.processes[name].popen.wait()


def stop_process(cell: RunningCell, name: str) -> int:
    """Stop a process gracefully; return its exit status."""
    send_signal(cell, name, signal.SIGTERM)
    return cell.processes[name].popen.wait(_STOP_WAIT)


def stop_cell(cell: RunningCell) -> dict[str, int]:
    """Stop all processes gracefully, targets first; return exit codes."""
    codes = {}
    for kind in ('targets', 'entry', 'scheduler'):
        names = [name for name in cell.processes if name.startswith(kind)]
        for name in names:
            send_signal(cell, name, signal.SIGTERM)
        for name in names:
            codes[name] = cell.processes[name].popen.wait(_STOP_WAIT)
    return codes


@contextmanager
def running_cell(
    plan: CellPlan, folder: Path
) -> Generator[RunningCell, None, None]:
    """Run a cell's hosts (targets are started by the body)."""
    folder.mkdir(parents=True, exist_ok=True)
    cell = RunningCell(plan, folder)
    write_settings(cell)
    try:
        for host in plan.hosts:
            start_host(cell, host)
        yield cell
    finally:
        for process in cell.processes.values():
            if process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()
