"""A cell whose hosts are connected through relays, to test partitions."""

import json
import sys
from collections.abc import Collection, Generator
from contextlib import contextmanager
from itertools import permutations
from pathlib import Path

from standins.cell import (
    LOOPBACK,
    CellPlan,
    HostPlan,
    Process,
    RunningCell,
    call,
    free_ports,
    running_cell,
    start_host,
    wait_until,
    write_settings,
)

_START_TIMEOUT_S = 20


class RelayNetwork:
    """The relays of a cell: one for each ordered pair of hosts."""

    def __init__(self, plan: CellPlan, folder: Path) -> None:
        """Start the relays with all links open."""
        pairs = list(permutations(plan.hosts, 2))
        ports = free_ports(len(pairs) + 1)
        self.plan = plan
        self.folder = folder
        self.control = f'{LOOPBACK}:{ports[-1]}'
        self.addresses = {
            (one.name, other.name): f'{LOOPBACK}:{port}'
            for (one, other), port in zip(pairs, ports, strict=False)
        }
        relays = [
            f'{self.addresses[one.name, other.name]}={other.scheduler}'
            f'={one.name}>{other.name}'
            for one, other in pairs
        ]
        args = [sys.executable, '-m', 'standins.relay', self.control, *relays]
        self.process = Process('relays', args, folder)

    def overlay(self, host: HostPlan) -> Path:
        """Write settings that route a host's links through relays.

        Returns the path of the overlay.
        """
        lines = []
        for other in self.plan.hosts:
            if other is not host:
                lines += [
                    f'[hosts.{other.name}]',
                    f'scheduler = "{self.addresses[host.name, other.name]}"',
                ]
        path = self.folder / f'{host.name}.toml'
        path.write_text('\n'.join(lines))
        return path


def cut(network: RelayNetwork, *sides: Collection[str]) -> None:
    """Cut the links between each side and all hosts outside it.

    Each side is a collection of host names.
    """
    names = [
        f'{one}>{other}'
        for one, other in permutations(
            [host.name for host in network.plan.hosts],
            2,
        )
        if any((one in side) != (other in side) for side in sides)
    ]
    body = json.dumps(names).encode()
    call(network.control, '/cut', 'PUT', body)


def heal_network(network: RelayNetwork) -> None:
    """Heal the partition: open all links."""
    call(network.control, '/cut', 'PUT', b'[]')


@contextmanager
def relayed_cell(
    plan: CellPlan,
    folder: Path,
) -> Generator[tuple[RunningCell, RelayNetwork], None, None]:
    """Run a cell whose hosts are connected through relays."""
    folder.mkdir(parents=True, exist_ok=True)
    network = RelayNetwork(plan, folder)
    wait_until(
        lambda: _is_up(network),
        _START_TIMEOUT_S,
        'the relays',
    )
    plan_without_hosts = CellPlan(plan.region, (), plan.teams, plan.extra)
    try:
        with running_cell(plan_without_hosts, folder) as cell:
            cell.plan = plan
            write_settings(cell)
            for host in plan.hosts:
                start_host(cell, host, overlay=network.overlay(host))
            yield cell, network
    finally:
        network.process.popen.kill()
        network.process.popen.wait()


def _is_up(network: RelayNetwork) -> bool:
    try:
        call(network.control, '/cut', 'PUT', b'[]')
    except OSError:
        return False
    return True
