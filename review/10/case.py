"""Clients hand in jobs that run every ten seconds for a day."""

import asyncio
import os
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lab2'))

import lab  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Jobs with occurrences, how long they are sent (s), their interval, and the
# occurrences of a day.
_JOBS = 100
_SENT_S = 45.0
_INTERVAL_S = 10
_REPEATS = 24 * 3600 // _INTERVAL_S if TROUBLE else 6
# ``finish_s``, and how long accepted jobs are asked for (s).
_FINISH_S = 14.0
_ASKED_S = 30.0
# A job with capacity may have nothing running for this time (s) at most.
_STILL_S = 3.0
_STEP = {'count': 1, 'cpu': 100, 'memMb': 10, 'estimateMs': 300}


def _scheduled_job(first_due: float) -> dict:
    return {
        'spec': '{"work_s": 0.3}',
        'steps': [_STEP],
        'repeatCount': _REPEATS,
        'startAtMs': int(first_due * 1000),
        'intervalMs': _INTERVAL_S * 1000,
    }


def _stood_still(
    workers: list[lab.Worker], name: str, first_due: float, since: float
) -> list[int]:
    """Return the occurrences due since then at which a job stood still.

    For 3 s its task's turn had come, and no task of the job was running.
    """
    now = time.time()
    runs = [
        (run.at, run.ended_at or now)
        for worker in workers
        for run in worker.history
        if run.task.startswith(name)
    ]
    still = []
    for number in range(_REPEATS):
        due = first_due + number * _INTERVAL_S
        if due < since:
            continue
        if due + _STILL_S > now:
            break
        begun = due, due + _STILL_S
        if not any(at < begun[1] and end > begun[0] for at, end in runs):
            still.append(number)
    return still


class _Watch:
    """The most memory that each core process was seen to use (MB)."""

    def __init__(self, cell: lab.Cell) -> None:
        self.cell = cell
        self.most = dict.fromkeys(cell.cores, 0.0)

    async def run(self) -> None:
        """Read the memory each second."""
        while True:
            for host in self.cell.cores:
                used = self.cell.memory_mb(host)
                self.most[host] = max(self.most[host], used)
            self.cell.record('MB:', self.most, 'ended:', self.cell.ended())
            await asyncio.sleep(1)


async def play(
    cell: lab.Cell, clients: lab.Clients, workers: list[lab.Worker]
) -> list[str]:
    """Return the rules that were broken."""
    watch = _Watch(cell)
    watching = asyncio.ensure_future(watch.run())
    accepted = [lab.new_id() for _ in range(10)]
    for name in accepted:
        body = {'spec': '{"work_s": 0.3}', 'steps': [_STEP]}
        if await clients.submit(name, body) != 200:
            raise lab.CouldNotRun('a job was not accepted in calm')
    await asyncio.sleep(2)
    results: list[int] = []
    scheduled: dict[str, float] = {}
    until = time.monotonic() + _SENT_S
    while len(results) < _JOBS and time.monotonic() < until:
        name, first_due = lab.new_id(), time.time() + 2
        status = await clients.submit(name, _scheduled_job(first_due))
        results.append(status)
        if status == 200:
            scheduled[name] = first_due
        await asyncio.sleep(0.2)
    cell.record('scheduled jobs, by answer:', Counter(results))
    await asyncio.sleep(_FINISH_S)
    since = time.time()
    answered, sent = 0, 0
    until = time.monotonic() + _ASKED_S
    while time.monotonic() < until:
        status, _ = await clients.ask('GET', accepted[sent % len(accepted)])
        sent += 1
        answered += status == 200
        await asyncio.sleep(0.5)
    watching.cancel()
    cell.record('asked:', sent, 'answered:', answered, 'MB:', watch.most)
    still = {
        name: numbers
        for name, due in scheduled.items()
        if (numbers := _stood_still(workers, name, due, since))
    }
    for name, numbers in still.items():
        cell.record('stood still:', name, 'at its occurrences', numbers)
    broken = [
        f'Fault: {host} used {used:.0f} MB and has {lab.CORE_MEMORY_MB}'
        for host, used in watch.most.items()
        if used > lab.CORE_MEMORY_MB
    ]
    if still:
        broken.append(
            f'LOST: {len(still)} of {len(scheduled)} accepted jobs had nothing'
            f' running for {_STILL_S:.0f} s while a turn had come'
        )
    return broken


if __name__ == '__main__':
    sys.exit(lab.run_case(FOLDER, play))
