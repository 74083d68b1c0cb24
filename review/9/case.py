"""A cancel overtakes its job, which is on its way through a frozen machine."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lab2'))

import lab  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# How long the machine is frozen (s): ``node_freeze`` of the site.
_FROZEN_S = 3.5
# The client leaves after this time (s), and cancels its job.
_LEAVES_S = 0.2
# ``cancel_ms`` (s).
_CANCEL_S = 3.0
_JOBS = 5


async def _hand_in_and_leave(
    cell: lab.Cell, clients: lab.Clients, name: str, edge: str
) -> None:
    step = {'count': 2, 'cpu': 1000, 'memMb': 100, 'estimateMs': 500}
    body = {'spec': '{"work_s": 0.5}', 'steps': [step]}
    url = f'http://{edge}:{cell.callers}{lab.PREFIX}{name}'
    headers = {'Host': lab.QUEUE_HOST, 'X-Deadline-Ms': '3000'}
    status, _ = await clients.call('POST', url, body, _LEAVES_S, **headers)
    cell.record('POST', name, edge, '->', status or 'the client left')


async def play(
    cell: lab.Cell, clients: lab.Clients, workers: list[lab.Worker]
) -> list[str]:
    """Return the rules that were broken."""
    await asyncio.sleep(2)
    frozen, other = cell.edges
    if TROUBLE:
        cell.signal(frozen, signal.SIGSTOP)
    began = time.monotonic()
    names = [lab.new_id() for _ in range(_JOBS)]
    await asyncio.gather(
        *(_hand_in_and_leave(cell, clients, one, frozen) for one in names)
    )
    acked: dict[str, float] = {}
    for name in names:
        status, _ = await clients.ask('DELETE', name, edge=other)
        if status in {200, 410}:
            acked[name] = time.time()
    if TROUBLE:
        await asyncio.sleep(_FROZEN_S - (time.monotonic() - began))
        cell.signal(frozen, signal.SIGCONT)
    await asyncio.sleep(6)
    broken = []
    for worker in workers:
        for run in worker.history:
            ack = acked.get(run.task.partition('.')[0])
            if ack and run.at > ack + _CANCEL_S:
                late = run.at - ack
                broken.append(
                    f'UNASKED: {run.task} began {late:.1f} s after the'
                    f' cancelling of its job was acknowledged'
                )
    return broken


if __name__ == '__main__':
    sys.exit(lab.run_case(FOLDER, play))
