"""Clients that respect no limits, as faults of a soak run."""

import json
import subprocess  # noqa: S404  starts the clients
import sys
import time
from dataclasses import asdict
from random import Random

from bench.soak_faults import SoakRun, record_fault
from standins import platform_cell as cells
from standins.hostile_clients import SHAPES, Crowd, excess
from standins.platform_cell import ENTRIES, SCHEDULERS

# Limits of the hosts (MiB, descriptors): the smallest memory that a host has.
_MEMORY_MIB = 160
_DESCRIPTORS = 512
HOST_SETTINGS = (
    f'limits.memoryMb={_MEMORY_MIB}',
    f'limits.maxFds={_DESCRIPTORS}',
)
# Share of the faults beside which a crowd starts.
_CROWD_SHARE = 0.3
_SLOW_SHARE = 0.3
# Time that a crowd sends and stays (s): less than the time after which a
# scheduler's data folder may be deleted.
_CROWD_S = (1.0, 4.0)
# Time in which a crowd must have ended afterwards, s.
_END_TIMEOUT_S = 20.0
# Clients of a crowd, and bytes that each sends: sections without end, bodies
# of permitted size, and more connections than a process may have.
_LARGE = (40, 5_242_880)
_BODIES = (200, 250_000)
_REPORTS = (40, 4_000_000)
_MANY = 300


class HostileClients:
    """Crowds of a soak run.

    ``random`` draws them, so that the other faults of a seed stay the same.
    ``active`` holds the hosts that a crowd sends to; ``broken`` tells what
    processes held beyond their limits, and which of them ended.  ``held`` is
    the most that one held: memory (bytes) and descriptors.
    """

    def __init__(self, soak: SoakRun) -> None:
        """Begin without crowds."""
        self.soak = soak
        self.random = Random(f'crowds {soak.seed}')
        self.active: set[str] = set()
        self.broken: list[str] = []
        self.started = 0
        self.held = (0, 0)


def send_crowd(clients: HostileClients) -> None:
    """Let a crowd send to an entry or scheduler, now and then.

    One host has one crowd at a time, and none while it is down.
    """
    random = clients.random
    if random.random() >= _CROWD_SHARE:
        return
    host = random.choice((*SCHEDULERS, *ENTRIES))
    crowd = _draw(clients, host)
    soak = clients.soak
    is_disturbed = host in soak.down_hosts | clients.active
    if not is_disturbed and cells.is_serving(soak.cell, host):
        _start(clients, host, crowd)


def _draw(clients: HostileClients, host: str) -> Crowd:
    """Draw what a crowd sends to a host."""
    random = clients.random
    cell = clients.soak.cell
    what = random.choice(list(SHAPES))
    slow = random.random() < _SLOW_SHARE
    is_scheduler = host in SCHEDULERS
    port = cell.ports.control if is_scheduler else cell.ports.callers
    count, amount = _LARGE
    if 'bodies' in what:
        count, amount = _REPORTS if is_scheduler else _BODIES
    if slow or what == 'nothing':
        count = _MANY
    process = cell.running.get(host)
    return Crowd(
        f'{host}:{port}',
        process.pid if process else 0,
        count,
        what,
        '/instances/i-crowd' if is_scheduler else f'{cells.PREFIX}crowd',
        amount,
        random.uniform(*_CROWD_S),
        slow,
    )


def _start(clients: HostileClients, host: str, crowd: Crowd) -> None:
    soak = clients.soak
    clients.started += 1
    clients.active.add(host)
    name = f'crowd {clients.started}'
    out = soak.cell.folder / f'{name}.json'
    began_at = time.monotonic()
    soak.faults_changed_at = began_at
    soak.faults[f'crowd: {crowd.what}'] += 1
    soak.cell.running[name] = subprocess.Popen(  # noqa: S603
        [sys.executable, '-m', 'standins.hostile_clients']
        + [str(out), json.dumps(asdict(crowd))],
        cwd=cells.ROOT,
    )

    def finish() -> None:
        cells.reap_host(soak.cell, name, _END_TIMEOUT_S)
        clients.active.discard(host)
        record_fault(soak, host, began_at)
        if not out.exists():
            clients.broken.append(f'{name} failed: {crowd}')
            return
        memory, descriptors = json.loads(out.read_text())
        before = clients.held
        clients.held = max(memory, before[0]), max(descriptors, before[1])
        for found in excess(memory, descriptors, _MEMORY_MIB, _DESCRIPTORS):
            clients.broken.append(f'{host} held {found}: {crowd}')
        check_ended(clients)

    soak.pending_repairs.append((began_at + crowd.seconds, finish))


def check_ended(clients: HostileClients) -> None:
    """Note processes that ended though the soak did not end them."""
    for host in cells.ended_hosts(clients.soak.cell):
        if host not in clients.soak.down_hosts:
            clients.broken.append(f'{host} ended by itself')
