"""Runs a whole cell on one machine: settings, processes and shutdown.

Used by the demo, the tests and the benches.  The operating system assigns
the ports.
"""

import json
import os
import shutil
import signal
import socket
import subprocess  # noqa: S404  starts the cell's own processes
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

# Outgoing loopback connections use ephemeral ports of 127.0.0.1.  A cell
# listens on another loopback address, so that none of them can occupy a port
# between its allocation and the start of the process that listens on it.
LOOPBACK = '127.0.20.1'
_POLL_INTERVAL_S = 0.05
_STOP_TIMEOUT_S = 30
# The ``timing`` settings (s) of a cell with ``fast_timing``.
_FAST_TIMING = {'heartbeat': 0.05, 'election': 0.5}
# Log lines shown per process when a cell does not start in time.
_SHOWN_LOG_LINES = 3
# Limit (s) for processes to open their ports; it only detects processes that
# hang during startup.  It is long because 15 processes took over 30 s to load
# while six days of the bench ran beside them.
STARTUP_TIMEOUT_S = 300
# Logs of cells that did not start in time are kept here.
_KEPT_LOGS_FOLDER = Path('run')
# Ports already allocated: a process opens its ports only later, so that the
# operating system could assign them a second time.
_allocated_ports: set[int] = set()


@dataclass(frozen=True, slots=True)
class HostPlan:
    """The addresses of a host's two processes.

    ``disk`` tells whether its replicas keep their log on disk.
    """

    name: str
    domain: str
    entry: str
    scheduler: str
    disk: bool = True


@dataclass(frozen=True, slots=True)
class CellPlan:
    """A cell's hosts by failure domain, and its base settings.

    ``extra`` is TOML that is appended to the base settings.  ``fast_timing``
    shortens heartbeats and election timeouts.
    """

    region: str
    hosts: tuple[HostPlan, ...]
    teams: tuple[str, ...] = ('patio', 'criba')
    extra: str = ''
    fast_timing: bool = True


def free_ports(count: int, host: str = LOOPBACK) -> list[int]:
    """Return ports that are free and were not allocated before."""
    with ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            sock = stack.enter_context(socket.socket())
            sock.bind((host, 0))
            port = sock.getsockname()[1]
            if port not in _allocated_ports:
                ports.append(port)
        _allocated_ports.update(ports)
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
    """Plan a cell with ``per_domain`` hosts in each failure domain."""
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
    """Return the failure domains of a plan, in the order of its hosts."""
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
    """Return the base settings of a plan as TOML."""
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
        lines += [f'{key} = {number}' for key, number in _FAST_TIMING.items()]
    for team in plan.teams:
        lines += [f'[teams.{team}]', 'weight = 1']
    return '\n'.join([*lines, plan.extra, ''])


class Process:
    """A process of the cell."""

    def __init__(self, name: str, args: Sequence[str], folder: Path) -> None:
        """Start the process; its output is appended to a log in ``folder``."""
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
        """Start the process again after it has ended."""
        self.popen = self._start()


class RunningCell:
    """A running cell: its processes, and the addresses of its targets."""

    def __init__(self, plan: CellPlan, folder: Path) -> None:
        """Create a cell without started processes."""
        self.plan = plan
        self.folder = folder
        self.base = folder / 'base.toml'
        self.processes: dict[str, Process] = {}
        self.targets: dict[str, str] = {}


def write_settings(cell: RunningCell) -> None:
    """Write the base settings, and an overlay for each failure domain."""
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
    """Start a process with ``count`` simulated targets in a failure domain."""
    port = _allocate_consecutive_ports(count)
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


def _allocate_consecutive_ports(count: int) -> int:
    """Allocate ``count`` consecutive free ports; return the first."""
    while True:
        first = free_ports(1)[0]
        others = range(first + 1, first + count)
        if _allocated_ports.isdisjoint(others) and all(
            map(is_port_free, others)
        ):
            _allocated_ports.update(others)
            return first


def is_port_free(port: int) -> bool:
    """Return whether a process could listen on a port now."""
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
    """Send one HTTP request; return its status and body."""
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
    """Return a JSON document; None if the request or its decoding fails."""
    try:
        return json.loads(call(address, path)[1])
    except (OSError, ValueError):
        return None


def wait_until(ready: Any, seconds: float, what: str) -> None:
    """Wait until ``ready()`` is true.

    Raises:
        TimeoutError: ``ready()`` was still false after ``seconds``; the
            message names ``what``.

    """
    until = time.monotonic() + seconds
    while not ready():
        if time.monotonic() > until:
            raise TimeoutError(f'not ready within {seconds} s: {what}')
        time.sleep(_POLL_INTERVAL_S)


def is_serving(cell: RunningCell, targets: int) -> bool:
    """Return whether the cell has its configuration and its targets.

    Every entry host must be configured, have a view of each failure domain
    and see at least ``targets`` targets.
    """
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


def is_listening(address: str) -> bool:
    """Return whether a process listens on an address."""
    host, _, port = address.rpartition(':')
    with socket.socket() as sock:
        sock.settimeout(_POLL_INTERVAL_S)
        return sock.connect_ex((host, int(port))) == 0


def _listen_addresses(cell: RunningCell) -> Iterator[tuple[str, str]]:
    """Yield each process's name and one address that it listens on."""
    for host in cell.plan.hosts:
        yield f'scheduler-{host.name}', host.scheduler
        yield f'entry-{host.name}', host.entry
    for name in cell.processes:
        first = cell.targets.get(f'{name.removeprefix("targets-")}0')
        if first:
            yield name, first


def _is_running(cell: RunningCell, name: str) -> bool:
    process = cell.processes.get(name)
    return process is not None and process.popen.poll() is None


def all_ports_open(cell: RunningCell) -> bool:
    """Return whether each running process has opened its port."""
    return all(
        is_listening(address)
        for name, address in _listen_addresses(cell)
        if _is_running(cell, name)
    )


def wait_until_serving(cell: RunningCell, targets: int, seconds: float) -> None:
    """Wait until ``is_serving`` is true for the cell.

    ``seconds`` count from the time when all processes have opened their
    ports: the time to load them depends on the machine, not on the cell.

    Raises:
        TimeoutError: with the last log lines of each process; copies of the
            logs are kept.

    """
    try:
        _wait_processes_and_cell(cell, targets, seconds)
    except TimeoutError as exc:
        kept = Path(
            tempfile.mkdtemp(prefix='cell-', dir=_create_kept_logs_folder())
        )
        for process in cell.processes.values():
            shutil.copy(process.log, kept)
        raise TimeoutError(
            f'{exc}: {_describe_processes(cell)}; {kept}'
        ) from exc


def _wait_processes_and_cell(
    cell: RunningCell, targets: int, seconds: float
) -> None:
    wait_until(lambda: all_ports_open(cell), STARTUP_TIMEOUT_S, 'the processes')
    wait_until(lambda: is_serving(cell, targets), seconds, 'the cell')


def _create_kept_logs_folder() -> Path:
    _KEPT_LOGS_FOLDER.mkdir(exist_ok=True)
    return _KEPT_LOGS_FOLDER


def _describe_processes(cell: RunningCell) -> str:
    """Return status and last log lines of each process, and views of hosts."""
    descriptions = []
    for name, process in cell.processes.items():
        code = process.popen.poll()
        last = process.log.read_text(errors='replace').splitlines()
        shown = ' / '.join(last[-_SHOWN_LOG_LINES:])
        descriptions.append(
            f'{name} {"runs" if code is None else code}: {shown}'
        )
    for host in cell.plan.hosts:
        views = fetch_json(host.entry, '/v1/views/targets')
        descriptions.append(f'{host.entry} sees {views}')
    return '\n'.join(descriptions)


def send_signal(cell: RunningCell, name: str, number: int) -> None:
    """Send a signal to a process of the cell if it is running."""
    process = cell.processes[name]
    if process.popen.poll() is None:
        os.kill(process.popen.pid, number)


def kill(cell: RunningCell, name: str) -> None:
    """Send SIGKILL to a process of the cell and wait for its exit."""
    send_signal(cell, name, signal.SIGKILL)
    cell.processes[name].popen.wait()


def stop_process(cell: RunningCell, name: str) -> int:
    """Send SIGTERM to a process; return its exit status."""
    send_signal(cell, name, signal.SIGTERM)
    return cell.processes[name].popen.wait(_STOP_TIMEOUT_S)


def stop_cell(cell: RunningCell) -> dict[str, int]:
    """Send SIGTERM to all processes, targets first; return exit statuses."""
    codes = {}
    for kind in ('targets', 'entry', 'scheduler'):
        names = [name for name in cell.processes if name.startswith(kind)]
        for name in names:
            send_signal(cell, name, signal.SIGTERM)
        for name in names:
            codes[name] = cell.processes[name].popen.wait(_STOP_TIMEOUT_S)
    return codes


@contextmanager
def running_cell(
    plan: CellPlan, folder: Path
) -> Generator[RunningCell, None, None]:
    """Run a cell's hosts; kill all processes that are left at the end.

    Targets are started by the caller.
    """
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
