"""Faults that a test injects into a running cell."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from shutil import rmtree
from types import MappingProxyType

from standins.cell import (
    RunningCell,
    domains_of,
    fetch_json,
    hosts_in,
    kill,
    send_signal,
)
from standins.partition import RelayNetwork, cut, heal_network

# Longer than a target's lease, so that leases expire during a freeze.
_FREEZE_SECONDS = 9.0
_DOWNTIME_SECONDS = 1.0
_CUT_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Trial:
    """The cell and the network that a fault acts on."""

    cell: RunningCell
    network: RelayNetwork | None = None


Fault = Callable[[Trial], Awaitable[None]]


def leader_host(cell: RunningCell, domain: str) -> str:
    """Return the leading host of a failure domain, as its entries report it.

    Falls back to the domain's first host when no entry knows a leader.
    """
    for host in hosts_in(cell.plan, domain):
        dump = fetch_json(host.entry, '/v1/dump')
        if dump and domain in dump['entry']['leaders']:
            return dump['entry']['leaders'][domain]
    return hosts_in(cell.plan, domain)[0].name


async def _leader(trial: Trial) -> str:
    domain = domains_of(trial.cell.plan)[0]
    return leader_host(trial.cell, domain)


async def kill_leader(trial: Trial) -> None:
    """Kill the first domain's leader, and restart it after a second."""
    name = f'scheduler-{await _leader(trial)}'
    kill(trial.cell, name)
    await asyncio.sleep(_DOWNTIME_SECONDS)
    trial.cell.processes[name].restart()


async def kill_entry(trial: Trial) -> None:
    """Kill the first host's entry, and restart it after a second."""
    name = f'entry-{trial.cell.plan.hosts[0].name}'
    kill(trial.cell, name)
    await asyncio.sleep(_DOWNTIME_SECONDS)
    trial.cell.processes[name].restart()


async def _freeze(trial: Trial, name: str) -> None:
    send_signal(trial.cell, name, signal.SIGSTOP)
    await asyncio.sleep(_FREEZE_SECONDS)
    send_signal(trial.cell, name, signal.SIGCONT)


async def freeze_leader(trial: Trial) -> None:
    """Stop the first domain's leader for longer than a lease (SIGSTOP)."""
    await _freeze(trial, f'scheduler-{await _leader(trial)}')


async def freeze_entry(trial: Trial) -> None:
    """Stop the first host's entry for longer than a lease (SIGSTOP)."""
    await _freeze(trial, f'entry-{trial.cell.plan.hosts[0].name}')


async def freeze_target(trial: Trial) -> None:
    """Stop one target process for longer than a lease (SIGSTOP)."""
    await _freeze(trial, 'targets-lone')


async def _cut_off(trial: Trial, *names: str) -> None:
    cut(trial.network, set(names))
    await asyncio.sleep(_CUT_SECONDS)
    heal_network(trial.network)


async def cut_host(trial: Trial) -> None:
    """Cut the first domain's leading host off from all others for 8 s."""
    await _cut_off(trial, await _leader(trial))


async def cut_domain(trial: Trial) -> None:
    """Cut the last failure domain off from all others for 8 s."""
    domain = domains_of(trial.cell.plan)[-1]
    names = [host.name for host in hosts_in(trial.cell.plan, domain)]
    await _cut_off(trial, *names)


FAULTS: Mapping[str, Fault] = MappingProxyType({
    'a leading scheduler is killed': kill_leader,
    'an entry is killed': kill_entry,
    'a leading scheduler is frozen for 9 s': freeze_leader,
    'an entry is frozen for 9 s': freeze_entry,
    'a host is cut off silently': cut_host,
    'oviedo is cut off': cut_domain,
    'a target is frozen for 9 s': freeze_target,
})


def wipe_host(cell: RunningCell, host: str) -> None:
    """Kill a host's entry and scheduler, delete its data and restart both."""
    for kind in ('entry', 'scheduler'):
        kill(cell, f'{kind}-{host}')
    rmtree(Path(cell.folder) / 'data' / host, ignore_errors=True)
    for kind in ('scheduler', 'entry'):
        cell.processes[f'{kind}-{host}'].restart()
