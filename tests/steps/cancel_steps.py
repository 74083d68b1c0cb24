"""Steps about jobs of a real cell that are cancelled."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from standins import platform_cell as cells
from standins.platform_cell import ENTRIES, wait_until

_WORK_S = 90
_KEPT = f'{0xC0:016x}'
_START_TIMEOUT_S = 30


def _small_job(tasks, *, lasting):
    document = cells.job(tasks, work_s=_WORK_S)
    (step,) = document['steps']
    step.update(cpu=25, memMb=10, longRunning=lasting)
    return document


def _submit(cell, name, document):
    wait_until(
        lambda: (
            cells.call_entry(cell, ENTRIES[0], 'POST', name, document)[0]
            == cells.HTTP_OK
        ),
        f'{name} to be accepted',
    )


def _running(cell, names):
    """Return the tasks of some jobs that are at work."""
    return [
        row[1]
        for row in cells.run_history(cell)
        if row[3] == 'running' and row[1].partition('.')[0] in names
    ]


@given(
    'a long-running job of {kept:d} tasks, and {jobs:d} jobs of {tasks:d} '
    'small tasks each, on 3 workers that take {stop_s:g} seconds for a stop'
)
def start_jobs(context, kept, jobs, tasks, stop_s):
    """Start all tasks; most of them fit on one worker."""
    cell = context.cell
    wait_until(
        lambda: cells.put_config(cell, cells.configuration(3)) == cells.HTTP_OK,
        'the cell to accept a configuration',
    )
    context.kept = kept
    context.names = [f'{0xC100 + number:016x}' for number in range(jobs)]
    _submit(cell, _KEPT, _small_job(kept, lasting=True))
    for name in context.names:
        _submit(cell, name, _small_job(tasks, lasting=False))
    count = kept + jobs * tasks
    wait_until(
        lambda: len(_running(cell, [_KEPT, *context.names])) == count,
        'all tasks to run',
        _START_TIMEOUT_S,
    )
    # Leases are renewed a few times.
    time.sleep(2)


@when('the {jobs:d} jobs are cancelled at the same moment')
def cancel_together(context, jobs):
    """Cancel them over many connections."""

    def cancel(name):
        status, _ = cells.call_entry(context.cell, ENTRIES[1], 'DELETE', name)
        return status, time.monotonic()

    with ThreadPoolExecutor(jobs) as pool:
        answers = list(pool.map(cancel, context.names))
    assert {status for status, _ in answers} == {cells.HTTP_OK}, answers
    acknowledged = [at for _, at in answers]
    context.acknowledged = dict(zip(context.names, acknowledged, strict=True))


@then(
    'none of their tasks runs {seconds:g} seconds after its cancel was '
    'acknowledged'
)
def check_stopped(context, seconds):
    """Compare the ends of all runs with the answers to the cancels."""
    cell = context.cell
    wait_until(lambda: not _running(cell, context.names), 'all tasks to stop')
    late = [
        row
        for row in cells.run_history(cell)
        if row[1].partition('.')[0] in context.acknowledged
        and row[5] > context.acknowledged[row[1].partition('.')[0]] + seconds
    ]
    assert not late, (len(late), late[:3])


@then('all tasks of the long-running job still run')
def check_kept(context):
    """Expect the first run of each task at work."""
    rows = [row for row in cells.run_history(context.cell) if _KEPT in row[1]]
    assert {row[3] for row in rows} == {'running'}, rows
    assert len(rows) == context.kept, rows


@then('no worker had more than {most:d} connections')
def check_connections(context, most):
    """Read the counts of the workers."""
    counts = cells.most_connections(context.cell)
    assert max(counts.values()) <= most, counts
