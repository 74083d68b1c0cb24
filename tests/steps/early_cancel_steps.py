"""Steps about cancels that overtake their jobs."""

from behave import given, then, when

from daisygw.cell import on_job_request
from daisygw.contracts import JobRequest, JobState, JobVerb, ResultCode
from tests import cell_world
from tests.cell_history import spans
from tests.cell_jobs import small_job
from tests.cell_world import request, run_for, submit

_NAME = f'{1:016x}'
_AFTER_S = 2.0


def _answer(context, number):
    run_for(context.world, cell_world.TICK_S)
    return context.world.responses[number]


def _cancel(context, name=_NAME, key=b''):
    number = request(context.world, JobVerb.CANCEL, f'/a/{name}', key=key)
    context.cancelled = _answer(context, number)


def _submit(context, owner=''):
    number = submit(context.world, small_job(1), owner=owner)
    context.submitted = _answer(context, number)


def _wait(world, what):
    """Let happen what ``what`` says before the job arrives."""
    if what.endswith('s later'):
        run_for(world, float(what.split()[0]))
    elif 'configuration' in what:
        cell_world.configure(world, 2, queues=cell_world.unadvised_queues())
    changes = {'a change': 1, 'two changes': 2}
    for _ in range(changes.get(' '.join(what.split()[1:3]), 0)):
        cell_world.fail_over(world)
        run_for(world, 0.5)


def _cell_with_customers(context, names):
    context.world = cell_world.World(1, targets=0)
    customers = tuple(map(cell_world.customer, names))
    cell_world.configure(context.world, 2, customers=customers)
    cell_world.add_worker(context.world, 'w1')
    run_for(context.world, 1)


@given('a cell of one target whose customers are acme and beta')
def two_customers(context):
    """Configure two customers, and queues that are not public."""
    _cell_with_customers(context, ('acme', 'beta'))


@given('a cell of one target that has {count:d} customers')
def many_customers(context, count):
    """Configure numbered customers."""
    _cell_with_customers(context, map(str, range(count)))


@when('a job is cancelled before it is known, and arrives {what}')
def overtake(context, what):
    """Cancel the job first."""
    _cancel(context)
    _wait(context.world, what)
    _submit(context)
    if what == 'twice':
        _submit(context)


@then(
    'the cancel was answered with UNKNOWN_JOB, and the job is refused with '
    'CANCELLED'
)
def check_refused(context):
    """Look at both answers."""
    codes = context.cancelled.code, context.submitted.code
    assert codes == (ResultCode.UNKNOWN_JOB, ResultCode.CANCELLED), codes


@then('the job has run nowhere')
def check_not_run(context):
    """Wait, and read the history of the workers."""
    run_for(context.world, _AFTER_S)
    assert not spans(context.world)
    assert not context.world.cell.jobs


@then('the job is accepted, and no cancel is kept')
def check_forgotten(context):
    """Look at the answer and at the state."""
    check_accepted(context)
    assert not context.world.cell.early_cancels
    assert not context.world.lead.notes.early_cancels


@then('the job is accepted')
def check_accepted(context):
    """Look at the answer."""
    assert context.submitted.code == ResultCode.ACCEPTED, context.submitted


@when('beta cancels a job that is not known, and acme submits it')
def cancel_of_another(context):
    """Use one id for both."""
    _cancel(context, key=b'beta')
    assert context.cancelled.code == ResultCode.UNKNOWN_JOB
    _submit(context, owner='acme')


@when('a customer cancels {count:d} unknown jobs, and another one')
def cancel_many(context, count):
    """Cancel all in one turn."""
    for number in range(count):
        path = f'/a/{number + 2:016x}'
        request(context.world, JobVerb.CANCEL, path, key=b'0')
    _cancel(context, key=b'0')


@then('a cancel of another customer is noted')
def check_other_customer(context):
    """Expect an acknowledgement."""
    _cancel(context, key=b'1')
    assert context.cancelled.code == ResultCode.UNKNOWN_JOB, context.cancelled


@then('the last cancel is refused with OVERLOADED, to be sent again')
def check_not_noted(context):
    """Expect no acknowledgement."""
    assert context.cancelled.code == ResultCode.OVERLOADED, context.cancelled
    assert context.cancelled.retry_after > 0


@when('a job is cancelled while it runs, and arrives again')
def submit_again(context):
    """Repeat the submission after the cancel."""
    _submit(context)
    run_for(context.world, 0.5)
    _cancel(context)
    assert context.cancelled.code == ResultCode.ANSWERED, context.cancelled
    _submit(context)


@then('the job is accepted as before, and shown as cancelled')
def check_still_cancelled(context):
    """Read the job's state."""
    check_accepted(context)
    number = request(context.world, JobVerb.SHOW, f'/a/{_NAME}')
    assert _answer(context, number).state == JobState.CANCELLED


@when('a job arrives overdue, then in time, and then overdue again')
def submit_overdue(context):
    """Keep the code of each answer."""
    world, job = context.world, small_job(1)
    world.jobs[job.id] = job
    context.codes = []
    for overdue in (True, False, True):
        message = JobRequest(
            next(world.sequence),
            JobVerb.SUBMIT,
            cell_world.REQUEST_HOST,
            f'/a/{job.id}',
            job,
            overdue=overdue,
        )
        on_job_request(world.lead, message, 'e')
        context.codes.append(_answer(context, message.seq).code)


@then('the answers are {first}, {second} and {third}, and it has run once')
def check_overdue(context, first, second, third):
    """Wait for the job to end."""
    expected = [ResultCode[name] for name in (first, second, third)]
    assert context.codes == expected, context.codes
    run_for(context.world, 4)
    assert [len(rows) for rows in spans(context.world).values()] == [1]
