"""Steps about the number of jobs that wait in a queue."""

from behave import then, when

from daisygw.cell import longest_wait, steps_without_start
from daisygw.contracts import JobState, JobVerb
from tests import cell_world
from tests.cell_jobs import small_job
from tests.cell_world import request, run_for, submit

_TARGET = 'w1'
# Time from the placement to the change of the leader, at most (s).
_RESTART_S = 0.5


def _lose_target(world, what):
    """Let the target not answer, as ``what`` says."""
    if 'crash' in what:
        cell_world.crash(world, _TARGET, restarts=False)
    elif 'cut off' in what:
        world.cut.add(_TARGET)
    elif 'unanswered' in what:
        world.ignoring_orders.add(_TARGET)


def _change_leader(world, what):
    if 'leader changes' in what:
        cell_world.fail_over(world)


def _place_job(world):
    """Submit a job, and wait until it holds capacity of the target."""
    submit(world, small_job(1, estimate=60))
    run_for(world, 0.1)
    (job,) = world.cell.jobs.values()
    assert any(state.numbers for state in job.steps.values()), 'not placed'


def _shown(world):
    """Return the job's state and its queue's count, as callers get them."""
    asked = (
        request(world, JobVerb.SHOW, f'/a/{1:016x}'),
        request(world, JobVerb.COUNT, '/a/'),
    )
    run_for(world, cell_world.TICK_S)
    state, count = (world.responses[number] for number in asked)
    return state.state, count.pending


def _start_lines(world):
    return [line for line in world.log if line.event == 'job started']


@when('a job is placed on the target, {what}')
def place_unanswered(context, what):
    """Place a job of one task just as the target stops to answer."""
    world = context.world
    cell_world.configure(world, 2, queues=cell_world.unadvised_queues())
    _lose_target(world, what)
    _place_job(world)
    _change_leader(world, what)


@then(
    'the job is shown as queued, and its queue counts one job, for {seconds:d} '
    's'
)
def check_queued(context, seconds):
    """Ask twice a second."""
    world = context.world
    until = world.now + seconds
    while world.now < until:
        assert _shown(world) == (JobState.QUEUED, 1), _shown(world)
        assert len(steps_without_start(world.lead)) == 1
        run_for(world, 0.5)
    assert longest_wait(world.lead) >= seconds - _RESTART_S
    assert not _start_lines(world)


@when('a job starts on the target, {what}')
def start_job(context, what):
    """Let the target start the only task of a job."""
    world = context.world
    cell_world.configure(world, 2, queues=cell_world.unadvised_queues())
    if 'without having answered' in what:
        world.held.targets.add(_TARGET)
        _place_job(world)
        cell_world.deliver_held_calls(world)
    else:
        _place_job(world)
    run_for(world, 0.5)
    _lose_target(world, what)
    run_for(world, 2)
    _change_leader(world, what)


@then('the job is shown as running, and its queue counts no job')
def check_running(context):
    """Ask once; the start was logged once."""
    assert _shown(context.world) == (JobState.RUNNING, 0)
    assert len(_start_lines(context.world)) == 1
