"""Steps that send odd messages to a cell of real processes."""

import itertools
import time

from behave import then, when

from bench.soak import FAULT_EVENTS
from standins import odd_messages
from standins import platform_cell as cells
from standins.platform_cell import ENTRIES, SCHEDULERS, call, call_entry

_names = itertools.count(1)
_STATE_TIMEOUT_S = 30
# Time for the faults of a message to show.
_AFTER_S = 2.0
# Run time of tasks that are to run meanwhile (s).
_LONG_WORK_S = 6.0
# Events that tell of a fault of the program, or of a change of the leader.
_FAULTS = FAULT_EVENTS | {'not leading'}


def _faults(cell):
    return [
        (host, line)
        for host in (*SCHEDULERS, *ENTRIES)
        for line in cells.log_lines(cell, host)
        if line['event'] in _FAULTS
    ]


def _note_state(context):
    """Keep the processes and the faults logged so far."""
    context.processes = dict(context.cell.running)
    context.faults = _faults(context.cell)
    context.leaders = _leaderships(context.cell)


def _leaderships(cell):
    return [
        (host, line['term'])
        for host in SCHEDULERS
        for line in cells.log_lines(cell, host)
        if line['event'] == 'leading'
    ]


def _new_job_id():
    return f'{0xEE:02x}{next(_names):014x}'


def _odd_requests(cell):
    """Yield what each odd message is and how it is sent."""
    for number, host in enumerate(SCHEDULERS):
        control = f'{host}:{cell.ports.control}'
        path = f'/instances/i-odd{number}'
        for what, beat in odd_messages.ODD_HEARTBEATS.items():
            yield what, (control, 'PUT', path, odd_messages.encode(beat))
        yield (
            'line end in a name',
            (
                control,
                'PUT',
                '/instances/i%0Aodd',
                odd_messages.encode(odd_messages.heartbeat()),
            ),
        )
        for what, cfg in odd_messages.ODD_CONFIGS.items():
            yield what, (control, 'PUT', '/config', odd_messages.encode(cfg))


@when('a worker, an operator and a caller send each odd message')
def send_odd(context):
    """Send heartbeats and configurations to schedulers, jobs to entries."""
    cell = context.cell
    _note_state(context)
    context.answers = []
    for what, request in _odd_requests(cell):
        started = time.monotonic()
        status, _ = call(*request)
        took = time.monotonic() - started
        context.answers.append((what, status, took))
    for what, job in odd_messages.ODD_JOBS.items():
        started = time.monotonic()
        raw = odd_messages.encode(job)
        status, _ = call_entry(cell, ENTRIES[0], 'POST', _new_job_id(), raw)
        took = time.monotonic() - started
        context.answers.append((what, status, took))
    time.sleep(_AFTER_S)


@then(
    'each was answered with a status from {low:d} to {high:d} within '
    '{seconds:d} second'
)
def check_answers(context, low, high, seconds):
    """Compare the statuses and the times of all."""
    odd = [
        (what, status, round(took, 3))
        for what, status, took in context.answers
        if not low <= status <= high or took > seconds
    ]
    assert not odd, odd


@then('no process has ended, lost its leader or logged an error')
def check_processes(context):
    """Compare the processes, the terms and the logs with those before."""
    cell = context.cell
    ended = [
        (host, process.poll())
        for host, process in context.processes.items()
        if process.poll() is not None
    ]
    assert not ended, ended
    faults = _faults(cell)[len(context.faults) :]
    assert not faults, faults
    assert _leaderships(cell) == context.leaders


def _shown_state(cell, name):
    return (call_entry(cell, ENTRIES[0], 'GET', name)[1] or {}).get('state')


def _submit(cell, name, job):
    """Submit a job until it is accepted: workers may not be known yet."""
    cells.wait_until(
        lambda: call_entry(cell, ENTRIES[0], 'POST', name, job)[0] == 200,
        f'{name} to be accepted',
        _STATE_TIMEOUT_S,
    )


@then('a job of {count:d} tasks is still completed')
def check_served(context, count):
    """Submit a job, and wait until it is shown as completed."""
    cell = context.cell
    name = _new_job_id()
    _submit(cell, name, cells.job(count))
    cells.wait_until(
        lambda: _shown_state(cell, name) == 'completed',
        f'{name} to be completed',
        _STATE_TIMEOUT_S,
    )


@when('a job of {count:d} small tasks is submitted and cancelled')
def submit_many(context, count):
    """Let as many of them start as fit, and cancel the job."""
    cell = context.cell
    _note_state(context)
    job = cells.job(count, work_s=60)
    job['steps'][0] |= {'cpu': 1, 'memMb': 1}
    name = _new_job_id()
    _submit(cell, name, job)
    cells.wait_until(
        lambda: _shown_state(cell, name) == 'in_progress',
        f'{name} to begin',
        _STATE_TIMEOUT_S,
    )
    time.sleep(_AFTER_S)
    status, body = call_entry(cell, ENTRIES[1], 'DELETE', name)
    assert status == 200, (status, body)
    time.sleep(_AFTER_S)


def _running_tasks(cell, name):
    return {
        row[1]
        for row in cells.run_history(cell)
        if row[1].startswith(name) and row[3] == 'running'
    }


@when(
    "a job of {count:d} tasks runs, and each worker's heartbeats are "
    'contradicted'
)
def contradict_workers(context, count):
    """Send each contradiction of each worker to every scheduler."""
    cell = context.cell
    _note_state(context)
    context.name = _new_job_id()
    _submit(cell, context.name, cells.job(count, work_s=_LONG_WORK_S))
    cells.wait_until(
        lambda: len(_running_tasks(cell, context.name)) == count,
        'all tasks to start',
        _STATE_TIMEOUT_S,
    )
    controls = [f'{host}:{cell.ports.control}' for host in SCHEDULERS]
    workers = range(1, cells.DEFAULT_WORKERS + 1)
    kinds = odd_messages.contradictions('', '', 0)
    context.answers = [
        (what, cells.contradict_worker(cell, control, number, what))
        for what, control, number in itertools.product(kinds, controls, workers)
    ]


@then(
    'those of an unknown service were answered {refused:d}, the others '
    '{accepted:d}'
)
def check_contradictions(context, refused, accepted):
    """Compare the statuses."""
    found = {
        (what == odd_messages.UNKNOWN_SERVICE, status)
        for what, status in context.answers
    }
    assert found == {(True, refused), (False, accepted)}, context.answers


@then('the job is completed, and each of its tasks ran once')
def check_ran_once(context):
    """Read the workers' history once the job is over."""
    cell = context.cell
    cells.wait_until(
        lambda: _shown_state(cell, context.name) == 'completed',
        f'{context.name} to be completed',
        _STATE_TIMEOUT_S,
    )
    runs = [
        (row[1], row[2], row[3])
        for row in cells.run_history(cell)
        if row[1].startswith(context.name)
    ]
    assert len(runs) == len({task for task, _, _ in runs}), runs
