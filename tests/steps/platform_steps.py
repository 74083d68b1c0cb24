"""Steps that run a cell's processes as the platform does."""

import itertools
import json
import signal
import socket
import time
from functools import partial
from pathlib import Path

from behave import then, when

from standins import platform_cell as cells
from standins.cell import is_listening
from standins.platform_cell import (
    ENTRIES,
    SCHEDULERS,
    call,
    call_entry,
    wait_until,
)

_ids = itertools.count(1)
_STATE_TIMEOUT_S = 30
# When a stopping entry receives its last request, after SIGTERM (s): shortly
# before it stops to serve.
_LAST_REQUEST_S = 0.48 * cells.GRACE_S
# Bounds a process that hangs, not the time that a start takes (s).
_START_TIMEOUT_S = 60
_RELOAD_INTERVAL_S = 0.01
# A library that a process loads before it can handle signals.
_LIBRARY = 'httptools'


def _new_job_id():
    return f'{next(_ids):016x}'


def _control(cell, host):
    return f'{host}:{cell.ports.control}'


def _submit_job(context, body, entry=ENTRIES[0]):
    name = _new_job_id()

    def accepted():
        return call_entry(context.cell, entry, 'POST', name, body)[0] == 200

    wait_until(accepted, 'the job to be accepted')
    return name


def _state(context, name, entry):
    return (call_entry(context.cell, entry, 'GET', name)[1] or {}).get('state')


@then('a job submitted at an entry is answered 503')
def check_early(context):
    """Submit a job as soon as an entry answers."""

    def answer():
        status = call_entry(
            context.cell, ENTRIES[0], 'POST', _new_job_id(), cells.job()
        )
        return status if status[0] else None

    status, body = wait_until(answer, 'an entry')
    assert status == 503, (status, body)


@then('a read of the configuration is answered 503')
def check_no_config(context):
    """Read the configuration before any was sent."""

    def status():
        address = _control(context.cell, SCHEDULERS[0])
        return call(address, 'GET', '/config')[0]

    assert wait_until(status, 'a scheduler') == 503


_INVALID_CONFIGURATIONS = {
    'unreadable': lambda: b'{"version": 3, ',
    'unknown service': lambda: cells.configuration(3, route={'service': 'no'}),
    'same place twice': lambda: cells.configuration(
        3, routes=cells.configuration(3)['routes'] * 2
    ),
    'no timeout': lambda: cells.configuration(3, route={'timeoutMs': 0}),
    'no version': lambda: cells.configuration('x'),
}


@then('these configurations are answered 400')
def check_bad_configs(context):
    """Send each invalid configuration as soon as a scheduler answers."""
    for row in context.table:
        config = _INVALID_CONFIGURATIONS[row['fault']]()
        status = wait_until(
            lambda config=config: cells.put_config(context.cell, config),
            'a scheduler',
        )
        assert status == 400, (row['fault'], status)


@when('the configuration of version {version:d} is sent')
def send_config(context, version):
    """Send the configuration until it is acknowledged."""
    context.cfg = cells.configuration(version)

    def done():
        return cells.put_config(context.cell, context.cfg) == 200

    wait_until(done, 'the acknowledgement')


@then('every scheduler shows it as it was sent')
def check_config(context):
    """Read the configuration from every scheduler."""
    for host in SCHEDULERS:
        status, body = call(_control(context.cell, host), 'GET', '/config')
        assert (status, body) == (200, context.cfg), (host, status, body)


@then('an older one is acknowledged and changes nothing')
def check_older(context):
    """Send an older version with different content."""
    older = cells.configuration(2, route={'pathPrefix': '/other/'})
    assert cells.put_config(context.cell, older) == 200
    check_config(context)


@when('a job of {count:d} tasks is submitted at one entry')
def submit_job(context, count):
    """Submit the job and wait until every entry shows it as completed."""
    context.job = _submit_job(context, cells.job(count))
    context.tasks = count
    _until_state(context, 'completed')


def _until_state(context, state):
    for entry in ENTRIES:
        wait_until(
            lambda entry=entry: _state(context, context.job, entry) == state,
            f'{context.job} to be {state}',
            _STATE_TIMEOUT_S,
        )


@then('every entry shows it as "{state}" in the end')
@then('the job is shown as "{state}" in the end')
def check_state(context, state):
    """Wait until every entry shows this state."""
    _until_state(context, state)


@then('its tasks ran once each')
def check_runs(context):
    """Expect one run of each task in the workers' histories."""
    rows = [
        row for row in cells.run_history(context.cell) if context.job in row[1]
    ]
    tasks = {row[1] for row in rows if row[3] == 'done'}
    assert len(tasks) == context.tasks, rows
    assert len(rows) == context.tasks, rows


def _invalid_requests(cell):
    entry = ENTRIES[0]
    negative = cells.job()
    negative['steps'][0]['cpu'] = -1
    heartbeat = {'service': 'svc', 'address': 'a:1', 'zone': 'z', 'born': 1}
    heartbeat['capacity'] = {'cpu': 1, 'memMb': 1}
    control = _control(cell, SCHEDULERS[0])
    return {
        'unreadable job': lambda: call_entry(
            cell, entry, 'POST', _new_job_id(), b'{"sp'
        ),
        'job without steps': lambda: call_entry(
            cell, entry, 'POST', _new_job_id(), {'spec': '', 'steps': []}
        ),
        'negative size': lambda: call_entry(
            cell, entry, 'POST', _new_job_id(), negative
        ),
        'id that is no id': lambda: call_entry(
            cell, entry, 'POST', 'no-id', cells.job()
        ),
        'unknown queue': lambda: call_entry(
            cell, entry, 'POST', _new_job_id(), cells.job(), host='no.example'
        ),
        'unknown job': lambda: call_entry(cell, entry, 'GET', 'f' * 16),
        'unreadable beat': lambda: call(
            control, 'PUT', '/instances/i-9', b'\xff'
        ),
        'beat of no state': lambda: call(
            control, 'PUT', '/instances/i-9', {**heartbeat, 'state': 'odd'}
        ),
    }


@then('these requests are answered with these statuses')
def check_requests(context):
    """Send each request and compare its status."""
    requests = _invalid_requests(context.cell)
    for row in context.table:
        status, body = requests[row['request']]()
        assert status == int(row['status']), (row['request'], status, body)


@then('the entry still answers')
def check_alive(context):
    """Read the number of pending jobs."""
    status, body = call_entry(context.cell, ENTRIES[0], 'GET', '')
    assert status == 200 and 'pending' in body, (status, body)


@when('a job that takes long is submitted and cancelled')
def cancel(context):
    """Cancel the job through another entry once it runs."""
    context.job = _submit_job(context, cells.job(2, work_s=60))
    _until_state(context, 'in_progress')
    status, _ = call_entry(context.cell, ENTRIES[1], 'DELETE', context.job)
    assert status == 200, status


def _running(context):
    return [
        row
        for row in cells.run_history(context.cell)
        if context.job in row[1] and row[3] == 'running'
    ]


@then('it is shown as "{state}" and none of its tasks runs')
def check_cancelled(context, state):
    """Wait for this state at all entries, and for the tasks to stop."""
    _until_state(context, state)
    wait_until(lambda: not _running(context), 'the tasks to stop')


def _leader(cell):
    """Return the host that logged the highest leading term, and the term."""
    host_by_term = {}
    for host in SCHEDULERS:
        for line in cells.log_lines(cell, host):
            if line['event'] == 'leading':
                host_by_term[line['term']] = host
    return host_by_term[max(host_by_term)], max(host_by_term)


def _run_long(context, count):
    context.tasks = count
    context.job = _submit_job(context, cells.job(count, work_s=2))
    wait_until(lambda: len(_running(context)) == count, 'the tasks to run')


@when('the leader is killed while a job of {count:d} tasks runs')
def kill_leader(context, count):
    """Kill the leader, and restart it once another host leads."""
    _run_long(context, count)
    host, term = _leader(context.cell)
    cells.stop_host(context.cell, host)
    wait_until(lambda: _leader(context.cell)[1] > term, 'another leader')
    cells.start(context.cell, host)


@when(
    'the leader is paused for {seconds:d} seconds while {jobs:d} jobs of '
    '{count:d} tasks are submitted'
)
def pause_leader(context, seconds, jobs, count):
    """Submit half of them before the pause, the others once another leads."""
    cell = context.cell
    host, term = _leader(cell)
    body = cells.job(count, work_s=2)
    context.jobs = [_submit_job(context, body) for _ in range(jobs // 2)]
    paused_at = time.monotonic()
    cell.running[host].send_signal(signal.SIGSTOP)
    wait_until(lambda: _leader(cell)[1] > term, 'another leader')
    context.jobs += [_submit_job(context, body) for _ in range(jobs // 2)]
    time.sleep(max(paused_at + seconds - time.monotonic(), 0))
    context.paused = (host, len(cells.log_lines(cell, host)))
    cell.running[host].send_signal(signal.SIGCONT)
    context.tasks = count


@then('all of them are completed, and each of their tasks ran once')
def check_each_once(context):
    """Look at the workers' histories once all jobs are over."""
    for name in context.jobs:
        context.job = name
        _until_state(context, 'completed')
        check_runs(context)


@then('the paused process gave no order after it woke up')
def check_no_orders(context):
    """Read what it logged since: that it leads no more, and no decision.

    Calls that it made before the pause may fail afterwards.
    """
    host, logged = context.paused
    lines = cells.log_lines(context.cell, host)[logged:]
    events = [line['event'] for line in lines]
    assert 'not leading' in events, events
    decisions = {'placed', 'accepted', 'run over'}
    assert not decisions & set(events), lines


@when(
    'all schedulers are killed while a job of {count:d} tasks runs, and '
    'restarted',
)
def kill_all(context, count):
    """Kill all schedulers, then restart them."""
    _run_long(context, count)
    for host in SCHEDULERS:
        cells.stop_host(context.cell, host)
    for host in SCHEDULERS:
        cells.start(context.cell, host)


@then('the configuration of version {version:d} is still in force')
def check_kept_config(context, version):
    """Wait until every scheduler shows this configuration."""
    for host in SCHEDULERS:
        wait_until(
            lambda host=host: (
                call(_control(context.cell, host), 'GET', '/config')[1]
                == cells.configuration(version)
            ),
            'the configuration',
        )


def _send_sigterm(context, entry):
    """Send SIGTERM to an entry that is ready; wait until it is not."""
    cell = context.cell
    ready = f'{entry}:{cell.ports.ready}'
    wait_until(
        lambda: call(ready, 'GET', '/readyz')[0] == 200, 'the entry to be ready'
    )
    cell.running[entry].send_signal(signal.SIGTERM)
    wait_until(
        lambda: call(ready, 'GET', '/readyz')[0] == 503,
        'the entry to be unready',
    )


@when('an entry receives SIGTERM')
def stop_entry(context):
    """Send SIGTERM, and call the entry while it shuts down."""
    entry = ENTRIES[1]
    cell = context.cell
    _send_sigterm(context, entry)
    context.status = call_entry(cell, entry, 'GET', '')[0]
    context.exit = cells.stop_host(cell, entry, signal.SIGTERM)
    cells.start(cell, entry)


@then('it is not ready, still answers, and exits with status 0')
def check_stopped_entry(context):
    """Check the answer and the exit status."""
    assert (context.status, context.exit) == (200, 0)


@when('{count:d} requests are sent at once on a connection to a stopping entry')
def send_at_once(context, count):
    """Send them in one segment, and read until the entry closes."""
    entry = ENTRIES[1]
    cell = context.cell
    _send_sigterm(context, entry)
    head = f'GET {cells.PREFIX} HTTP/1.1\r\nHost: {cells.QUEUE_HOST}\r\n\r\n'
    with socket.create_connection((entry, cell.ports.callers)) as conn:
        conn.sendall(head.encode() * count)
        context.answers = b''.join(iter(partial(conn.recv, 1 << 16), b''))
    context.requests = count
    cells.stop_host(cell, entry, signal.SIGTERM)
    cells.start(cell, entry)


@then('each has a complete answer, and then the connection is closed')
def check_answered(context):
    """Expect all answers, of which only the last announces the close."""
    answers = context.answers.split(b'HTTP/1.1 ')[1:]
    assert len(answers) == context.requests, answers
    for answer in answers:
        status = int(answer.split()[0])
        head, _, body = answer.partition(b'\r\n\r\n')
        assert (status, 'pending' in json.loads(body)) == (200, True), answer
        closes = b'connection: close' in head.lower()
        assert closes == (answer is answers[-1]), answers


def _signal_schedulers(cell, signal_number):
    for host in SCHEDULERS:
        cell.running[host].send_signal(signal_number)


@when('no scheduler answers the last request to a stopping entry')
def submit_without_answer(context):
    """Suspend the schedulers just before the entry stops serving; submit."""
    cell = context.cell
    entry = ENTRIES[1]
    _send_sigterm(context, entry)
    sent_at = time.monotonic()
    time.sleep(_LAST_REQUEST_S)
    _signal_schedulers(cell, signal.SIGSTOP)
    name = _new_job_id()
    response = call_entry(cell, entry, 'POST', name, cells.job())
    context.status = response[0]
    context.exit = cells.stop_host(cell, entry, signal.SIGTERM)
    context.stop_time = time.monotonic() - sent_at
    _signal_schedulers(cell, signal.SIGCONT)
    cells.start(cell, entry)
    wait_until(
        lambda: call_entry(cell, entry, 'GET', '')[0] == 200, 'the entry'
    )


@then('it is answered 504, and the entry exits with status 0 in time')
def check_unanswered(context):
    """Check the answer and the exit, which is to precede SIGKILL."""
    assert (context.status, context.exit) == (504, 0), context.status
    assert context.stop_time < cells.GRACE_S, context.stop_time


def _logged(cell, host, event):
    return [one for one in cells.log_lines(cell, host) if one['event'] == event]


def _is_serving(cell, host):
    """Return whether the main port of a process can be connected to."""
    ports = cell.ports
    port = ports.callers if host in ENTRIES else ports.control
    return is_listening(f'{host}:{port}')


def _reload_until(cell, host, is_over):
    """Send SIGHUP to a process until ``is_over`` or the process has ended."""
    until = time.monotonic() + _START_TIMEOUT_S
    process = cell.running[host]
    while process.poll() is None and not is_over():
        assert time.monotonic() < until, f'{host} neither serves nor ends'
        process.send_signal(signal.SIGHUP)
        time.sleep(_RELOAD_INTERVAL_S)


def _reload_through_life(cell, host):
    """Start a process again and stop it; return whether it served, its exit."""
    cells.stop_host(cell, host)
    cells.start(cell, host)
    maps = Path('/proc') / str(cell.running[host].pid) / 'maps'
    wait_until(
        lambda: _LIBRARY in maps.read_text(), 'the process to load libraries'
    )
    _reload_until(cell, host, lambda: _is_serving(cell, host))
    process = cell.running[host]
    served = process.poll() is None
    process.send_signal(signal.SIGTERM)
    _reload_until(cell, host, bool)
    cells.start(cell, host)
    return served, process.returncode


@when('processes receive SIGHUP while they load, serve and exit')
def reload_through_life(context):
    """Restart and stop an entry and a scheduler, one after the other."""
    context.lives = {
        host: _reload_through_life(context.cell, host)
        for host in (ENTRIES[1], SCHEDULERS[2])
    }


@then('they serve, and exit with status 0 after SIGTERM')
def check_lives(context):
    """Expect that SIGHUP ended none of them."""
    assert set(context.lives.values()) == {(True, 0)}, context.lives


@when('the leader receives SIGTERM')
def stop_leader(context):
    """Send SIGTERM to the leader and wait until it has exited."""
    host, context.term = _leader(context.cell)
    context.stopped = host
    assert cells.stop_host(context.cell, host, signal.SIGTERM) == 0


@then('another host leads before the process has ended')
def check_handover(context):
    """Compare the times of both log lines: all hosts share one clock."""
    cell = context.cell
    wait_until(lambda: _leader(cell)[1] > context.term, 'another leader')
    host, _ = _leader(cell)
    leading = _logged(cell, host, 'leading')[-1]['at']
    ended = _logged(cell, context.stopped, 'scheduler stopped')[-1]['at']
    cells.start(cell, context.stopped)
    assert leading < ended, (leading, ended)


@then('the log lines with its id show "{first}", "{second}" and "{third}"')
def check_lines(context, first, second, third):
    """Search the schedulers' logs for the job's events by its id."""
    events = [
        line['event']
        for host in SCHEDULERS
        for line in cells.log_lines(context.cell, host)
        if line.get('id') == context.job
    ]
    for event in (first, second, third):
        assert event in events, events


@then('every line of every process is a JSON object')
def check_json(context):
    """Parse all log lines and check that each has an event."""
    for host in (*SCHEDULERS, *ENTRIES):
        assert all(
            'event' in line for line in cells.log_lines(context.cell, host)
        )


def _metrics(context, host):
    address = f'{host}:{context.cell.ports.metrics}'
    status, raw = call(address, 'GET', '/metrics')
    assert status == 200, (host, status)
    return raw.decode('utf-8')


@then('the metrics of a scheduler count "{first}" and "{second}"')
def check_metrics(context, first, second):
    """Check the leader's event counters, start wait and leading gauge."""
    shown = _metrics(context, _leader(context.cell)[0])
    for event in (first, second):
        assert f'event="{event}"' in shown, shown
    assert 'daisygw_start_wait_seconds_bucket' in shown
    assert 'daisygw_leading 1.0' in shown


@then('the metrics of an entry include its answer times')
def check_entry_metrics(context):
    """Check that the answer times of accepted submissions are counted."""
    shown = _metrics(context, ENTRIES[0])
    assert 'daisygw_answer_seconds_count{code="101",verb="submit"}' in shown


@when('an entry receives SIGHUP {delay_s:g} seconds after it was started')
def reload_early(context, delay_s):
    """Restart an entry and send SIGHUP before its signal handlers exist."""
    entry = ENTRIES[1]
    cells.stop_host(context.cell, entry)
    cells.start(context.cell, entry)
    time.sleep(delay_s)
    context.cell.running[entry].send_signal(signal.SIGHUP)


@then('it serves callers in the end')
def check_serving(context):
    """Wait until the entry accepts connections."""
    wait_until(
        lambda: cells.is_serving(context.cell, ENTRIES[1]),
        'the entry to accept connections',
    )


@when(
    'an entry receives a job {delay_s:g} seconds after SIGTERM, while all '
    'schedulers are paused'
)
def submit_to_stopping_entry(context, delay_s):
    """Submit a job that is in progress when the entry stops serving."""
    cell = context.cell
    entry = ENTRIES[0]
    wait_until(lambda: call_entry(cell, entry, 'GET', '')[0] == 200, 'a leader')
    cell.running[entry].send_signal(signal.SIGTERM)
    time.sleep(delay_s)
    for host in SCHEDULERS:
        cell.running[host].send_signal(signal.SIGSTOP)
    context.status = call_entry(
        cell, entry, 'POST', _new_job_id(), cells.job()
    )[0]
    for host in SCHEDULERS:
        cell.running[host].send_signal(signal.SIGCONT)
    cells.reap_host(cell, entry, cells.GRACE_S)
    cells.start(cell, entry)


@then('the job is answered {status:d}')
def check_status(context, status):
    """Check the status of the response."""
    assert context.status == status, context.status
