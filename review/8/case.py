"""Clients cancel many jobs at once; the workers take a while for each stop."""

import asyncio
import os
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lab2'))

import lab  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
_JOBS = 30
_CANCELLED = _JOBS if TROUBLE else 1
_TASKS = 10
# Tasks of a service that runs beside them, and is not cancelled.
_SERVING = 16
# How long a worker takes for a stop (s); ``stopTimeoutMs`` allows 0.4.
_STOP_S = 0.35
# ``cancel_ms`` and ``stopTimeoutMs``: the tasks are gone after both (s).
_GONE_S = 3.0 + 0.4
_WATCHED_S = 40.0


def _job(tasks: int, **more: Any) -> dict:
    step = {'count': tasks, 'cpu': 250, 'memMb': 100, 'estimateMs': 60_000}
    return {'spec': '{"work_s": 90}', 'steps': [{**step, **more}]}


async def _stop_slowly(order: dict) -> None:
    await asyncio.sleep(_STOP_S)


def _active(workers: list[lab.Worker], names: list[str]) -> int:
    """Return how many tasks of these jobs are at work."""
    return sum(
        task.partition('.')[0] in names
        for worker in workers
        for task in worker.active
    )


async def play(
    cell: lab.Cell, clients: lab.Clients, workers: list[lab.Worker]
) -> list[str]:
    """Return the rules that were broken."""
    for worker in workers:
        worker.hooks['run-stop'] = _stop_slowly
    kept = lab.new_id()
    service = _job(_SERVING, longRunning=True, maxUnavailable=1)
    names = [lab.new_id() for _ in range(_JOBS)]
    for name in (kept, *names):
        body = service if name == kept else _job(_TASKS)
        if await clients.submit(name, body) != 200:
            raise lab.CouldNotRun('a job was not accepted in calm')
    all_tasks = _JOBS * _TASKS + _SERVING
    if not await lab.wait_until(
        lambda: _active(workers, [kept, *names]) == all_tasks, 30
    ):
        raise lab.CouldNotRun('not all tasks have started')
    await asyncio.sleep(2)
    cancelled = names[:_CANCELLED]
    acked: dict[str, float] = {}

    async def cancel(name: str) -> None:
        for _ in range(5):
            status, _ = await clients.ask('DELETE', name)
            if status in {200, 410}:
                acked[name] = time.time()
                return

    await asyncio.gather(*map(cancel, cancelled))
    cell.record('cancels acknowledged:', len(acked))
    until = time.monotonic() + _WATCHED_S
    while time.monotonic() < until and _active(workers, cancelled):
        cell.record('cancelled and at work:', _active(workers, cancelled))
        await asyncio.sleep(0.5)
    late = []
    for run in (run for worker in workers for run in worker.history):
        ack = acked.get(run.task.partition('.')[0])
        if ack and (run.ended_at or time.time()) > ack + _GONE_S:
            late.append((run.ended_at or time.time()) - ack)
    ends = Counter(
        run.how
        for worker in workers
        for run in worker.history
        if run.task.startswith(kept)
    )
    cell.record('tasks of the job that was not cancelled:', dict(ends))
    broken = []
    if late:
        broken.append(
            f'UNASKED: {len(late)} of {len(acked) * _TASKS} tasks ran on for'
            f' more than {_GONE_S} s after the cancel, at most {max(late):.1f}'
        )
    if ends['lapsed'] > 1:
        broken.append(
            f'AVAIL: the leases of {ends["lapsed"]} tasks that last lapsed'
            f' together, of which one may be unavailable'
        )
    return broken


if __name__ == '__main__':
    sys.exit(lab.run_case(FOLDER, play))
