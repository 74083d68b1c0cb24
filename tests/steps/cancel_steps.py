"""Steps about jobs of a real cell that are cancelled."""

import http.client
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from behave import given, then, when

from standins import platform_cell as cells
from standins.platform_cell import ENTRIES, wait_until

_WORK_S = 90
_KEPT = f'{0xC0:016x}'
_START_TIMEOUT_S = 30
# Run time of the tasks of cancelled jobs, and when their callers leave (s).
_SHORT_WORK_S = 0.5
_LEAVES_S = 0.2
_HTTP_GONE = 410


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


def _send_and_leave(cell, entry, name):
    """Submit a job over a connection that is closed soon afterwards."""
    conn = http.client.HTTPConnection(
        entry, cell.ports.callers, timeout=_LEAVES_S
    )
    body = json.dumps(cells.job(2, work_s=_SHORT_WORK_S))
    headers = {'Host': cells.QUEUE_HOST, **cells.key_headers(cell)}
    with suppress(TimeoutError):
        conn.request('POST', f'{cells.PREFIX}{name}', body, headers)
        conn.getresponse()
    conn.close()


@when(
    '{count:d} jobs are sent to an entry that is paused for {paused_s:g} '
    'seconds, and cancelled at another one'
)
def overtake(context, count, paused_s):
    """Let the entry read the jobs when it runs again."""
    cell = context.cell
    paused, other = ENTRIES[:2]
    context.names = [f'{0xC200 + number:016x}' for number in range(count)]
    process = cell.running[paused]
    process.send_signal(signal.SIGSTOP)
    resume_at = time.monotonic() + paused_s
    try:
        for name in context.names:
            _send_and_leave(cell, paused, name)
        context.answers = [
            cells.call_entry(cell, other, 'DELETE', name)[0]
            for name in context.names
        ]
        time.sleep(max(resume_at - time.monotonic(), 0))
    finally:
        process.send_signal(signal.SIGCONT)
    _wait_for_refusals(cell, paused, context.names)


def _wait_for_refusals(cell, entry, names):
    def refused():
        refusals = {
            line['id'].rpartition('/')[2]
            for line in cells.log_lines(cell, entry)
            if line['event'] == 'not served' and line['verb'] == 'submit'
        }
        return refusals.issuperset(names)

    wait_until(refused, 'the entry to have passed all jobs on')


@then(
    'the cancels were answered {status:d}, and none of the jobs has run or is '
    'known'
)
def check_overtaken(context, status):
    """Look at the workers and at the states of the jobs."""
    cell = context.cell
    assert set(context.answers) == {status}, context.answers
    time.sleep(2 * _SHORT_WORK_S)
    rows = [
        row
        for row in cells.run_history(cell)
        if row[1].partition('.')[0] in context.names
    ]
    assert not rows, rows
    shown = [
        cells.call_entry(cell, ENTRIES[1], 'GET', name)[0]
        for name in context.names
    ]
    assert set(shown) == {_HTTP_GONE}, shown
