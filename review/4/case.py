"""A worker that was cut off lists more than 500 ends afterwards."""

import asyncio

from review.lab import case as lab
from review.lab import checks

_JOBS, _WIDTH = 20, 50
_TASKS = _JOBS * _WIDTH
# Run times of the tasks (s): they end one after the other.
_WORK_S = [4.0, 7.0]
_CUT_S = 3.5
_FINISH_S = 40


async def play(case: lab.Case) -> int:
    """Fill a worker with small tasks, and cut it off while they end."""
    document = lab.job(
        _WIDTH, _WORK_S, step={'cpu': 60, 'memMb': 16, 'estimateMs': 5000}
    )
    for _ in range(_JOBS):
        case.background(lab.submit(case, document))
    await lab.wait_for(
        case, lambda: len(case.runs) >= _TASKS, 20, 'all tasks to start'
    )
    await asyncio.sleep(3)
    busiest = max(case.machines, key=lambda one: len(one.life.running))
    case.record('busiest', worker=busiest.life.name, runs=len(busiest.history))
    if case.trouble:
        busiest.cut()
        await asyncio.sleep(_CUT_S)
        case.record('ends waiting', ends=len(busiest.life.ends))
        busiest.join()
    for _ in range(_FINISH_S):
        await asyncio.sleep(1)
        if not any(one.life.running or one.life.ends for one in case.machines):
            break
    for run, later in checks.starts_after_done(case.runs):
        case.record(
            'TWICE',
            task=run.task,
            done_on=run.worker,
            done_run=run.number,
            again_on=later.worker,
            again_run=later.number,
        )
    found = checks.starts_after_done(case.runs)
    case.record('end', tasks=_TASKS, runs=len(case.runs), twice=len(found))
    return lab.BROKEN if found else lab.HELD


lab.main(__file__, 4, play)
