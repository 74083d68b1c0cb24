"""Steps about reports of targets that contradict each other."""

from dataclasses import replace

from behave import then, when

from daisygw.machines import TargetReport, instance_key
from tests import cell_history, cell_world
from tests.cell_jobs import placed_runs, small_job
from tests.cell_world import run_for, submit

_REPORT_SEQ = -1
_LATER_MS = 60_000
_DEAD_ADDRESS = 'w8:1'
# Long enough for a wrong report to be settled while the task runs.
_TASK_S = 4


def _wrong_instance(instance, what):
    """Return what another writer reports about a target's instance."""
    later = replace(instance, born=instance.born + _LATER_MS)
    return {
        'of an unknown service at its address': replace(
            later, name='w9', service='other'
        ),
        'of another name at its address': replace(later, name='w9'),
        'of a later start at its address': later,
        'of a later start at an address that does not answer': replace(
            later, address=_DEAD_ADDRESS
        ),
        'of the same start at another address': replace(
            instance, address=_DEAD_ADDRESS
        ),
        'of the same start with an unknown service': replace(
            instance, service='other'
        ),
    }[what]


def _report_wrongly(world, instance, what):
    wrong = _wrong_instance(instance, what)
    report = TargetReport(_REPORT_SEQ, wrong.name, wrong, 1)
    cell_world.handle_report(world, report)


@when('a report {what} arrives while its task runs')
def report_wrongly(context, what):
    """Let a task run, and another writer send a report."""
    world = context.world
    submit(world, small_job(1, estimate=_TASK_S))
    run_for(world, 0.3)
    assert placed_runs(world)
    context.instance = cell_world.instance_of(world, world.workers['w1'])
    _report_wrongly(world, context.instance, what)
    run_for(world, 1)


@when('a report {what} arrives while its task runs, and the leader changes')
def report_wrongly_and_fail_over(context, what):
    """Change the leader before the report can be settled."""
    world = context.world
    submit(world, small_job(1, estimate=_TASK_S))
    run_for(world, 0.3)
    assert placed_runs(world)
    instance = cell_world.instance_of(world, world.workers['w1'])
    _report_wrongly(world, instance, what)
    cell_world.fail_over(world)
    run_for(world, 15)


@then('the answer to the report has code {code:d}')
def check_answer(context, code):
    """Read the leader's answer, and let the task end."""
    answer = context.world.responses[_REPORT_SEQ]
    assert answer.code == code, answer
    run_for(context.world, 15)


@then('the target starts another task within {seconds:g} s')
def check_used(context, seconds):
    """Submit another job."""
    world = context.world
    submit(world, small_job(4))
    run_for(world, seconds)
    rows = cell_history.spans(world)
    assert len(rows) == 2, rows


@when('the target drains')
def drain(context):
    """Let the target's own report say so."""
    context.world.draining.add('w1')
    cell_world.report(context.world, 'w1')


@then('it is closed to new work')
def check_closed(context):
    """Read the state of the sound instance."""
    key = instance_key(context.instance)
    assert not context.world.cell.targets[key].open


@when(
    'a report with a wrong address arrives before the first one of another '
    'target'
)
def report_wrongly_first(context):
    """Report an instance that nobody knows yet, at an address without it."""
    world = context.world
    cell_world.add_worker(world, 'w3')
    worker = world.workers['w3']
    world.now += cell_world.TICK_S
    worker.born = world.now
    context.instance = cell_world.instance_of(world, worker)
    _report_wrongly(
        world, context.instance, 'of the same start at another address'
    )


@then('the other target is listed at its own address within {seconds:g} s')
def check_listed(context, seconds):
    """Let its own report follow, and expect it to have answered."""
    world = context.world
    cell_world.report(world, 'w3')
    run_for(world, seconds)
    key = instance_key(context.instance)
    target = world.cell.targets[key]
    assert target.instance == context.instance, target.instance
    assert world.lead.lease_states[key].has_answered


@when('it is cut off, and a report of a later start at its address arrives')
def dispute_unreachable(context):
    """Let a job arrive while nobody answers at the address."""
    world = context.world
    context.starts = len(world.start_checkpoints)
    world.cut.add('w1')
    instance = cell_world.instance_of(world, world.workers['w1'])
    _report_wrongly(world, instance, 'of a later start at its address')
    submit(world, small_job(1))
    run_for(world, 1)


@then('no start is sent to either before one of them has answered')
def check_no_start(context):
    """Expect a start after the cut only."""
    world = context.world
    assert len(world.start_checkpoints) == context.starts
    world.cut.clear()
    run_for(world, 5)
    assert len(world.start_checkpoints) > context.starts
