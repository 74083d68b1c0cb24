"""An odd heartbeat of another writer ends the runs of a sound worker."""

import asyncio
import time

from review.lab import case as lab
from review.lab import checks, web, worker

_JOBS, _WIDTH = 6, 4
_WORK_S = 10.0
_FINISH_S = 40


async def _send_odd_heartbeat(case: lab.Case, machine: worker.Machine) -> None:
    """Send a heartbeat of a service that the configuration does not name."""
    document = worker.report(machine, machine.life) | {
        'service': 'another-product',
        'born': int(time.time() * 1000),
        'sequence': 1,
    }
    address = case.cell.controls[0]
    case.record('odd heartbeat', document=document)
    path = '/instances/x-00000001'
    status, body = await web.call(address, 'PUT', path, document)
    case.record('odd heartbeat answered', status=status, body=body)


async def play(case: lab.Case) -> int:
    """Let tasks run on all workers; send one odd heartbeat meanwhile."""
    document = lab.job(_WIDTH, _WORK_S, step={'cpu': 16_000})
    for _ in range(_JOBS):
        case.background(lab.submit(case, document))
    tasks = _JOBS * _WIDTH
    await lab.wait_for(
        case, lambda: len(case.runs) >= tasks, 20, 'all tasks to start'
    )
    await asyncio.sleep(2)
    busiest = max(case.machines, key=lambda one: len(one.life.running))
    if case.trouble:
        await _send_odd_heartbeat(case, busiest)
    for _ in range(_FINISH_S):
        await asyncio.sleep(1)
        if not any(one.life.running or one.life.ends for one in case.machines):
            break
    found = checks.overlaps(case.runs)
    for run, later in found:
        case.record(
            'TWICE',
            task=run.task,
            runs_on=run.worker,
            run=run.number,
            also_on=later.worker,
            other_run=later.number,
            seconds=round(min(run.ended, later.ended) - later.started, 3),
        )
    case.record('end', tasks=tasks, runs=len(case.runs), twice=len(found))
    return lab.BROKEN if found else lab.HELD


lab.main(__file__, 10, play)
