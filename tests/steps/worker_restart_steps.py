"""Steps about workers of a real cell that restart under their names."""

import time
from operator import itemgetter

from behave import given, then, when

from bench.soak_checks import repeated_runs
from standins import platform_cell as cells
from standins.platform_cell import ENTRIES, wait_until
from standins.platform_workers import CAPACITY

# Tasks that fill a worker, as ``platform_cell.job`` makes them.
_TASKS_PER_WORKER = CAPACITY[0] // 1000
# Run times of the tasks that fill half of the workers, s: one for each job.
_LONG_WORK_S = (15, 18, 21, 24, 27, 30)
# Jobs of at least this run time are long-running, s.  Their leases are shorter,
# so that a late renewal extends them by more.
_LASTING_WORK_S = 24
# Run time of the tasks that fill the other workers but one, s.  They end after
# the crash, so that what the crash ends starts again on restarted workers, and
# before the leases expire, so that it has room elsewhere then.
_SHORT_WORK_S = 5
# Age of the workers when they crash, s: the deadline of a late renewal is then
# behind the longest lease of the next instance.
_MIN_AGE_S = 7.0
# When late calls are carried out, after the crash (s).
_LATE_S = 2.2
_STATE_TIMEOUT_S = 30


def _submit(cell, work_s, tasks):
    name = f'{0xDD:02x}{work_s:014x}'
    job = cells.job(tasks, work_s=work_s)
    job['steps'][0]['longRunning'] = work_s >= _LASTING_WORK_S
    wait_until(
        lambda: (
            cells.call_entry(cell, ENTRIES[0], 'POST', name, job)[0]
            == cells.HTTP_OK
        ),
        f'{name} to be accepted',
        _STATE_TIMEOUT_S,
    )


def _running(cell):
    """Return worker, task and run number of each run in progress."""
    return [
        tuple(row[:3]) for row in cells.run_history(cell) if row[3] == 'running'
    ]


def _submit_long_jobs(cell, workers):
    """Fill half of the workers; return them, long-running tasks first."""
    tasks = workers * _TASKS_PER_WORKER // 2
    for work_s in reversed(_LONG_WORK_S):
        _submit(cell, work_s, tasks // len(_LONG_WORK_S))
    wait_until(lambda: len(_running(cell)) == tasks, 'all long tasks to run')
    running = sorted(_running(cell), key=itemgetter(1), reverse=True)
    return list(dict.fromkeys(one[0] for one in running))


@given(
    '{workers:d} workers run tasks of {low:d} to {high:d} seconds, and short '
    'ones that leave half of them free'
)
def fill_workers(context, workers, low, high):
    """Fill all workers but one, half of them with long tasks."""
    assert (low, high) == (min(_LONG_WORK_S), max(_LONG_WORK_S))
    cell = context.cell
    began_at = time.monotonic()
    wait_until(
        lambda: cells.put_config(cell, cells.configuration(3)) == cells.HTTP_OK,
        'the cell to accept a configuration',
    )
    time.sleep(max(began_at + _MIN_AGE_S - time.monotonic(), 0))
    context.busiest = _submit_long_jobs(cell, workers)
    context.third = workers // 3
    tasks = (workers - 1) * _TASKS_PER_WORKER
    _submit(cell, _SHORT_WORK_S, tasks - len(_running(cell)))
    wait_until(lambda: len(_running(cell)) == tasks, 'all tasks to run')


def _late_renewals(cell):
    """Return the workers that have carried out a renewal late."""
    return {name for name, path, _ in cells.late_calls(cell) if path == '/hold'}


@when(
    'a third of the workers crash, are back {back_s:g} seconds later and take '
    'a late renewal'
)
def crash_third(context, back_s):
    """Let the next instances carry out what is left without an answer."""
    context.restarted = set(context.busiest[: context.third])
    cells.crash_workers(
        context.cell, sorted(context.restarted), back_s, _LATE_S
    )
    wait_until(
        lambda: _late_renewals(context.cell) == context.restarted,
        'a late renewal on each',
    )


def _run_elsewhere(cell, runs):
    """Tell whether all tasks of these runs have started again."""
    highest = {}
    for _, task, number, *_ in cells.run_history(cell):
        highest[task] = max(number, highest.get(task, 0))
    return all(highest[task] > number for _, task, number in runs)


@when('they are cut off for longer than a lease while tasks run there')
def cut_off(context):
    """Wait until what ran there runs elsewhere."""
    cell = context.cell
    cells.cut_off_workers(cell, sorted(context.restarted))
    runs = [run for run in _running(cell) if run[0] in context.restarted]
    assert runs
    wait_until(
        lambda: _run_elsewhere(cell, runs),
        'the next runs',
        _STATE_TIMEOUT_S,
    )


@then(
    'no task ran twice at the same time, or again after its end was '
    'acknowledged'
)
def check_runs(context):
    """Compare the runs in the histories of all lives of the workers."""
    broken = list(repeated_runs(cells.run_history(context.cell)))
    assert not broken, (len(broken), broken)
