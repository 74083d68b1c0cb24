"""A worker crashes as jobs come; the count of waiting jobs is asked for."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lab2'))

import lab  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Jobs at work before, and jobs that come as the worker crashes.
_BEFORE = 8
_JOBS = 10
# ``visible_ms`` + 2 s: from then on a job that has not begun counts (s).
_VISIBLE_S = 3.0 + 2.0
# How long after the crash nothing is judged (``contactMs``, s).
_CONTACT_S = 3.0
_ASKED_S = 16.0


def _job(work_s: float) -> dict:
    step = {'count': 1, 'cpu': 1000, 'memMb': 100, 'estimateMs': 500}
    return {'spec': f'{{"work_s": {work_s}}}', 'steps': [step]}


def _waiting(workers: list[lab.Worker], accepted: dict[str, float]) -> int:
    """Return how many jobs were accepted long ago and have not begun."""
    begun = {
        run.task.partition('.')[0]
        for worker in workers
        for run in worker.history
    }
    until = time.time() - _VISIBLE_S
    return sum(at < until for name, at in accepted.items() if name not in begun)


async def play(
    cell: lab.Cell, clients: lab.Clients, workers: list[lab.Worker]
) -> list[str]:
    """Return the rules that were broken."""
    for _ in range(_BEFORE):
        if await clients.submit(lab.new_id(), _job(60)) != 200:
            raise lab.CouldNotRun('a job was not accepted in calm')
    await asyncio.sleep(3)
    fullest = max(workers, key=lambda worker: len(worker.active))
    if TROUBLE:
        fullest.crash()
    began = time.monotonic()
    accepted: dict[str, float] = {}

    async def submit(name: str) -> None:
        if await clients.submit(name, _job(1)) == 200:
            accepted[name] = time.time()

    await asyncio.gather(*(submit(lab.new_id()) for _ in range(_JOBS)))
    cell.record('accepted:', len(accepted))
    broken = []
    while time.monotonic() < began + _ASKED_S:
        before = _waiting(workers, accepted)
        status, reply = await clients.ask('GET', '')
        # What has begun meanwhile does not count.
        least = min(before, _waiting(workers, accepted))
        calm = time.monotonic() > began + _CONTACT_S
        if calm and status == 200 and 2 * reply['pending'] < least:
            broken.append(
                f'MIXED: {reply["pending"]} jobs are said to wait, and {least}'
                f' were accepted over {_VISIBLE_S:.0f} s ago and have not begun'
            )
        await asyncio.sleep(0.5)
    cell.record('answers that broke the rule:', len(broken))
    return broken[:1]


if __name__ == '__main__':
    sys.exit(lab.run_case(FOLDER, play, workers=7))
