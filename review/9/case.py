"""An operator changes a configuration of many routes some hundred times."""

import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lab2'))

import lab  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Limits of a core machine in the sheet of latas-vivas, grown.
_MEMORY_MB = 424
_DISK_MB = 192
# The largest ``big_config`` that the site file of latas-vivas, grown, names.
_ROUTES = 1400
_CHANGES = 600 if TROUBLE else 3


def _document(version: int) -> dict:
    """Return a configuration with the first queue and many others."""
    document = lab.configuration(version)
    first = document['routes'][0]
    advisor = {'decisionMs': 832.0, 'perWorkerMs': 7.4, 'validityMs': 1500}
    for number in range(_ROUTES):
        document['routes'].append({
            **first,
            'name': f'r-{number:07x}',
            'pathPrefix': f'/p{number:07x}/',
            'timeoutMs': 3000 + version % 7,
            'placementAdvisor': advisor,
        })
    return document


def _use(cell: lab.Cell) -> tuple[dict, dict]:
    memory = {host: round(cell.memory_mb(host)) for host in cell.cores}
    disk = {host: round(cell.disk_mb(host)) for host in cell.cores}
    return memory, disk


async def _accepts_job(clients: lab.Clients) -> bool:
    step = {'count': 1, 'cpu': 100, 'memMb': 10, 'estimateMs': 300}
    body = {'spec': '{}', 'steps': [step]}
    return await clients.submit(lab.new_id(), body) == 200


async def play(
    cell: lab.Cell, clients: lab.Clients, workers: list[lab.Worker]
) -> list[str]:
    """Return the rules that were broken."""
    acknowledged = 0
    for version in range(2, 2 + _CHANGES):
        acknowledged += await clients.configure(_document(version), 10)
        memory, disk = _use(cell)
        if version % 20 == 0:
            cell.record('version', version, 'MB:', memory, 'disk MB:', disk)
        if max(memory.values()) > _MEMORY_MB:
            break
    memory, disk = _use(cell)
    cell.record(
        'changes acknowledged:',
        acknowledged,
        'memory MB:',
        memory,
        'disk MB:',
        disk,
        'ended:',
        cell.ended(),
    )
    cell.record('a job is accepted:', await _accepts_job(clients))
    full = [host for host, used in disk.items() if used > _DISK_MB]
    cell.record('more than the', _DISK_MB, 'MB of a disk:', full)
    return [
        f'Fault: {host} uses {used} MB of memory and has {_MEMORY_MB}'
        for host, used in memory.items()
        if used > _MEMORY_MB
    ]


if __name__ == '__main__':
    sys.exit(lab.run_case(FOLDER, play, memory_mb=_MEMORY_MB, disk_mb=_DISK_MB))
