"""Steps about jobs of a real cell that are cancelled."""

import http.client
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress

from behave import given, then, when

from standins import platform_cell as cells
from standins.platform_cell import ENTRIES, SCHEDULERS, wait_until

_WORK_S = 90
_KEPT = f'{0xC0:016x}'
_START_TIMEOUT_S = 30
# Run time of the tasks of cancelled jobs, and when their callers leave (s).
_SHORT_WORK_S = 0.5
_LEAVES_S = 0.2
_HTTP_GONE = 410
# Deadline of jobs that reach the leader after a pause (s), and the code with
# which it refuses those that were cancelled.
_LONG_DEADLINE_S = 30
_CANCELLED = 305
# Codes of overdue jobs: refused by the leader, or not sent to it.
_OVERDUE = (304, 307)


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


def _send_and_leave(cell, entry, name, deadline_s):
    """Submit a job over a connection that is closed soon afterwards."""
    conn = http.client.HTTPConnection(
        entry, cell.ports.callers, timeout=_LEAVES_S
    )
    body = json.dumps(cells.job(2, work_s=_SHORT_WORK_S))
    headers = {
        'Host': cells.QUEUE_HOST,
        'X-Deadline-Ms': str(deadline_s * cells.MS_PER_S),
        **cells.key_headers(cell),
    }
    with suppress(TimeoutError):
        conn.request('POST', f'{cells.PREFIX}{name}', body, headers)
        conn.getresponse()
    conn.close()


@contextmanager
def _paused(cell, entry, seconds):
    """Pause an entry's process for some time, at least for the context."""
    process = cell.running[entry]
    process.send_signal(signal.SIGSTOP)
    resume_at = time.monotonic() + seconds
    try:
        yield
    finally:
        time.sleep(max(resume_at - time.monotonic(), 0))
        process.send_signal(signal.SIGCONT)


def _names(first, count):
    return [f'{first + number:016x}' for number in range(count)]


def _cancel_all(context):
    context.answers = [
        cells.call_entry(context.cell, ENTRIES[1], 'DELETE', name)[0]
        for name in context.names
    ]


@when(
    '{count:d} jobs are sent to an entry that is paused for {paused_s:g} '
    'seconds, and cancelled at another one'
)
def overtake(context, count, paused_s):
    """Let the entry pass the jobs on when it runs again."""
    context.names = _names(0xC200, count)
    with _paused(context.cell, ENTRIES[0], paused_s):
        for name in context.names:
            _send_and_leave(context.cell, ENTRIES[0], name, _LONG_DEADLINE_S)
        _cancel_all(context)
    _wait_for_refusals(context, _CANCELLED)


@when(
    '{count:d} jobs with a deadline of {deadline_s:d} second are sent to an '
    'entry that is paused for {paused_s:g} seconds'
)
def send_overdue(context, count, deadline_s, paused_s):
    """Let the callers leave, and cancel nothing."""
    context.names = _names(0xC300, count)
    with _paused(context.cell, ENTRIES[0], paused_s):
        for name in context.names:
            _send_and_leave(context.cell, ENTRIES[0], name, deadline_s)


@then(
    'the entry has refused them as not run, and none of the jobs has run or is '
    'known'
)
def check_overdue(context):
    """Expect refusals by the leader, or as no link to it is up yet."""
    _wait_for_refusals(context, *_OVERDUE)
    _check_unknown(context)


@then('the entry accepts a job that is sent now')
def check_accepts(context):
    """Submit at the entry that was paused."""
    answer = cells.call_entry(
        context.cell, ENTRIES[0], 'POST', f'{0xC3FF:016x}', cells.job()
    )
    assert answer[0] == cells.HTTP_OK, answer


@when(
    '{count:d} unknown jobs are cancelled, and all schedulers are killed and '
    'restarted'
)
def cancel_before_kill(context, count):
    """Kill the schedulers just after the last answer."""
    cell = context.cell
    context.names = _names(0xC400, count)
    _cancel_all(context)
    cells.kill_schedulers(cell)
    for host in SCHEDULERS:
        cells.start(cell, host)
    assert set(context.answers) == {_HTTP_GONE}, context.answers
    wait_until(
        lambda: (
            cells.call_entry(cell, ENTRIES[0], 'GET', '')[0] == cells.HTTP_OK
        ),
        'a leader',
    )


@then(
    'the jobs are answered {status:d} when they arrive, and none of them has '
    'run or is known'
)
def check_refused(context, status):
    """Submit all of them."""
    document = cells.job(2, work_s=_SHORT_WORK_S)
    answers = [
        cells.call_entry(context.cell, ENTRIES[0], 'POST', name, document)
        for name in context.names
    ]
    assert {answer[0] for answer in answers} == {status}, answers
    _check_unknown(context)


def _wait_for_refusals(context, *codes):
    def refused():
        refusals = {
            line['id'].rpartition('/')[2]
            for line in cells.log_lines(context.cell, ENTRIES[0])
            if line['event'] == 'not served'
            and (line['verb'] == 'submit' and line['code'] in codes)
        }
        return refusals.issuperset(context.names)

    wait_until(refused, 'the entry to have refused all jobs')


@then(
    'the cancels were answered {status:d}, and none of the jobs has run or is '
    'known'
)
def check_overtaken(context, status):
    """Look at the workers and at the states of the jobs."""
    assert set(context.answers) == {status}, context.answers
    _check_unknown(context)


def _check_unknown(context):
    cell = context.cell
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
