"""Steps for partitions, failing targets, cancellations and quotas."""

import asyncio
import json
import time

from behave import given, then, use_fixture, when

from daisygw.contracts import CodeClass, ResultCode, code_class, is_not_run
from standins.cell import (
    call,
    fetch_json,
    hosts_in,
    kill,
    start_targets,
    wait_until,
)
from standins.load import Arrival, run_load
from tests.steps.guarantee_steps import plain, spans_of
from tests.utils import code_of, starts, submit, target_counts

_TIMEOUT_S = 20
_QUOTA = """
[teams.patio.quota]
slots = 4
cpus = 1000000000
memory = 1000000000
"""


def _entry_in(context, domain):
    return hosts_in(context.trial.cell.plan, domain)[0].entry


def _entries(context):
    return [host.entry for host in context.trial.cell.plan.hosts]


def _targets_view(context):
    return fetch_json(_entries(context)[0], '/v1/views/targets')


def _submit_all(context, arrivals):
    return asyncio.run(run_load(_entries(context), arrivals))


@then('a request without an id is answered at oviedo, by its own targets')
def answered_alone(context):
    """Submit a request, and check that only oviedo's targets ran a task."""
    entry = _entry_in(context, 'oviedo')
    wait_until(
        lambda: code_of(submit(entry, {'team': 'patio'})) == 100,
        _TIMEOUT_S,
        'an answer in oviedo',
    )
    own = [one for one in target_counts(context.trial.cell) if one['starts']]
    assert all(one['name'].startswith('oviedo') for one in own), own


@then('one whose home is santander gets code 501 there, and does not run')
def unreachable_home(context):
    """Check that the request is refused and no target starts it."""
    contract = {'team': 'patio', 'id': 'santander~far'}
    reply = submit(_entry_in(context, 'oviedo'), contract)
    assert code_of(reply) == ResultCode.HOME_UNREACHABLE, reply
    assert not starts(context.trial.cell)['santander~far/0']


@then('santander answers requests too')
def other_side(context):
    """Check that the domain on the other side of the cut serves too."""
    entry = _entry_in(context, 'santander')
    assert code_of(submit(entry, {'team': 'patio'})) == 100


@then('the request whose home is santander is answered through oviedo')
def after_healing(context):
    """Submit the refused request again; it must start only once."""
    contract = {'team': 'patio', 'id': 'santander~far'}
    entry = _entry_in(context, 'oviedo')
    wait_until(
        lambda: code_of(submit(entry, contract)) == 100,
        _TIMEOUT_S,
        'an answer through oviedo',
    )
    assert starts(context.trial.cell)['santander~far/0'] == 1


@when(
    'every task fails on one target, and {count:d} repeatable requests are '
    'submitted',
)
def fail_one(context, count):
    """Make all tasks fail on the first target, and submit the requests."""
    cell = context.trial.cell
    context.failing, address = next(iter(cell.targets.items()))
    call(address, '/v1/control', 'POST', b'{"fails": true}')
    arrivals = [
        Arrival(
            number / 150,
            {'team': 'patio', 'id': f'f{number}'},
            b'{"ms": 100}',
        )
        for number in range(count)
    ]
    context.records = _submit_all(context, arrivals)


@then('all of them are answered')
def all_answered(context):
    """Check that each request was answered."""
    codes = {record.code for record in context.records}
    assert codes == {ResultCode.ANSWERED}, codes


@then('that target is quarantined after at most {most:d} failures')
def check_quarantined(context, most):
    """Check the replicated state and the tasks that the target started."""
    view = _targets_view(context)
    targets = {one['name']: one for one in view['santander']}
    seen = next(
        one
        for one in target_counts(context.trial.cell)
        if one['name'] == context.failing
    )
    failed = sum(seen['starts'].values())
    assert targets[context.failing]['aside'], targets
    assert 0 < failed <= most, failed


@when('a repeatable job that always fails is submitted')
def submit_failing(context):
    """Submit a repeatable job that fails on every target."""
    contract = {'team': 'patio', 'id': 'bad'}
    context.reply = submit(_entries(context)[0], contract, b'{"fail": true}')


@when('a job that always fails and is not repeatable is submitted')
def submit_failing_once(context):
    """Submit a failing job that must not be retried."""
    contract = {'team': 'patio', 'id': 'bad', 'repeatable': False}
    context.reply = submit(_entries(context)[0], contract, b'{"fail": true}')


@then('it ends with a code of the failed class, after at most {most:d} starts')
def ended_failed(context, most):
    """Check the class of the code and the number of starts."""
    code = code_of(context.reply)
    assert code_class(code) is CodeClass.FAILED, context.reply
    assert 0 < starts(context.trial.cell)['bad/0'] <= most


@then('it ends with code {code:d}, after at most {most:d} starts')
def ended_with(context, code, most):
    """Check the code and the number of starts."""
    assert code_of(context.reply) == code, context.reply
    assert 0 < starts(context.trial.cell)['bad/0'] <= most


@when(
    '{count:d} long jobs are submitted, and all are cancelled in one call',
)
def cancel_jobs(context, count):
    """Submit jobs of 20 s, most of which queue, and cancel all after 5 s."""
    entry = _entries(context)[0]
    names = [f'santander~wave-{number}' for number in range(count)]
    arrivals = [
        Arrival(0, {'team': 'patio', 'id': name}, b'{"ms": 20000}')
        for name in names
    ]

    async def submit_and_cancel():
        load = asyncio.ensure_future(run_load(_entries(context), arrivals))
        await asyncio.sleep(_TIMEOUT_S / 4)
        document = json.dumps({'ids': names}).encode()
        began = time.monotonic()
        reply = await asyncio.to_thread(
            call, entry, '/v1/cancellations', 'POST', document
        )
        context.cancelled = (reply, time.monotonic() - began)
        return await load

    context.records = asyncio.run(submit_and_cancel())


@then('every one of them is answered as not run or stopped')
def cancelled_answered(context):
    """Check that each caller got a result code of a cancelled job."""
    codes = {record.code for record in context.records}
    assert codes == {
        ResultCode.CANCELLED,
        ResultCode.CANCELLED_RUNNING,
    }, codes


@then('no job that was answered as not run was started')
def not_run_not_started(context):
    """Check the result codes against the targets' starts."""
    counted = starts(context.trial.cell)
    for record in context.records:
        name = record.arrival.contract['id']
        assert not (is_not_run(record.code) and counted[f'{name}/0']), name


@when('the cell is full and a request with a deadline of 1 s waits')
def deadline(context):
    """Fill the cell for 4 s, and submit a request with a deadline of 1 s."""
    full = Arrival(0, {'team': 'patio', 'count': 16}, b'{"ms": 4000}')
    contract = {'team': 'patio', 'id': 'late', 'deadline': 1}
    late = Arrival(0.5, contract, b'{}')
    context.records = _submit_all(context, [full, late])


@then('the waiting request gets code {code:d}, and was not started')
def deadline_passed(context, code):
    """Check the result code, and that no target started the request."""
    assert context.records[1].code == code, context.records[1]
    assert not starts(context.trial.cell)['late/0']


@when('a service runs and the process of its target is killed')
def kill_target(context):
    """Start another target process, then kill the one that runs the service."""
    cell = context.trial.cell
    contract = {'team': 'patio', 'kind': 'service', 'id': 'panel'}
    submit(_entries(context)[0], contract, b'{"forever": true}')
    wait_until(lambda: starts(cell)['panel/0'] == 1, _TIMEOUT_S, 'the service')
    start_targets(cell, 'santander', 1, name='other')
    wait_until(
        lambda: (
            'other0'
            in str(fetch_json(_entries(context)[0], '/v1/views/targets'))
        ),
        _TIMEOUT_S,
        'the other target',
    )
    kill(cell, 'targets-santander-t')


@then('it runs on another target within {seconds:d} s')
def runs_elsewhere(context, seconds):
    """Wait until the other target has started the service."""
    wait_until(
        lambda: starts(context.trial.cell)['panel/0'] == 1,
        seconds,
        'the service elsewhere',
    )


@given('a cell of santander with a quota of 4 slots for patio')
def with_quota(context):
    """Start a cell whose team patio may use 4 slots."""
    more = {'extra': _QUOTA}
    context.trial = use_fixture(plain, context, ('santander',), 2, more)


@when('a job of {count:d} tasks of patio is run')
def run_job(context, count):
    """Run the job and check that every task was answered."""
    contract = {'team': 'patio', 'count': count}
    status, answer = submit(_entries(context)[0], contract, b'{"ms": 100}')
    assert status == 200 and answer.count(b'\n') == count


@then('never more than {most:d} of them ran at once')
def check_concurrency(context, most):
    """Count the attempts that overlap the start of each attempt."""
    spans = spans_of(context.trial.cell)
    for span in spans:
        overlapping = [
            other for other in spans if other.began <= span.began < other.ended
        ]
        assert len(overlapping) <= most, len(overlapping)
