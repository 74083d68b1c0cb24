"""Steps that drive a cell's decisions against worker models."""

from behave import given, then, when

from daisygw.cell import Cell, apply, lease_for, snapshot
from daisygw.contracts import JobSpec, ResultCode, Size, Step
from daisygw.machines import is_responsive
from tests import cell_history, cell_plays, cell_world
from tests.cell_history import spans
from tests.cell_world import World, run_for, submit

_FAULTY = 40
_CALM = 40


def _job(number, count=1, **more):
    size = more.pop('size', Size(1000, 500, 0, 0))
    payload = more.pop('payload', 'work')
    estimate = more.pop('estimate', 1)
    step = Step(count, size, estimate, **more)
    return JobSpec(f'{number:016x}', payload, (step,))


def _runs(world):
    return [run for one in world.cell.targets.values() for run in one.runs]


@when('a cell is played with faults from seed {seed:d}')
def play(context, seed):
    """Play random faults, then a calm time."""
    context.world = cell_plays.play(seed, _FAULTY, _CALM)


@when('a cell with leases of 10 s is played with faults from seed {seed:d}')
def play_long(context, seed):
    """Play random faults with long leases, then a calm time."""
    context.world = cell_plays.play(seed, _FAULTY, _CALM, longest_lease=10)


@then('no task ran twice, out of order, over its attempts or over capacity')
def check_promises(context):
    """Judge the workers' histories."""
    cell_history.check_history(context.world)


@then('every accepted job is over after a calm time')
def check_over(context):
    """Look for jobs that hang."""
    assert not cell_history.all_over(context.world)


@given('a cell whose orders are carried out without an answer')
def mute_cell(context):
    """Lose half of all answers."""
    context.world = World(1)
    run_for(context.world, 1)
    context.world.lost = 0.4


@given('a cell of one target')
def small_cell(context):
    """Let one target report."""
    context.world = World(1, targets=0)
    cell_world.add_worker(context.world, 'w1')
    run_for(context.world, 1)


@given('a cell of one target that is cut off')
def cut_cell(context):
    """Cut it off once it is known."""
    small_cell(context)
    context.world.cut.add('w1')


@when('a job of {count:d} tasks is handed in and time passes')
def hand_in(context, count):
    """Hand it in, and wait for its end."""
    submit(context.world, _job(1, count))
    run_for(context.world, 30)


@then('each of its tasks ran once')
def check_once(context):
    """Count the ends that are done."""
    found = spans(context.world)
    cell_history.check_history(context.world)
    done = [
        [span for span in rows if span.how == 'done'] for rows in found.values()
    ]
    assert [len(rows) for rows in done] == [1, 1, 1], found


@when('a job of {count:d} tasks is handed in and a second passes')
def hand_in_shortly(context, count):
    """Hand it in; the first tries stay without an answer."""
    submit(context.world, _job(1, count))
    run_for(context.world, 0.45)


@then('the target is in doubt')
def check_doubt(context):
    """Look at what the leader knows."""
    (lease_state,) = context.world.lead.lease_states.values()
    assert not is_responsive(lease_state)


@then('another job is not placed there')
def check_not_placed(context):
    """Hand another one in."""
    held = len(_runs(context.world))
    submit(context.world, _job(3))
    run_for(context.world, 0.3)
    assert len(_runs(context.world)) == held


@when('it is cut off with a task running and another target comes')
def cut_off(context):
    """Cut the target off; the other one is approved too."""
    world = context.world
    submit(world, _job(1, estimate=2))
    run_for(world, 0.3)
    assert _runs(world)
    world.cut.add('w1')
    cell_world.add_worker(world, 'w3')
    context.cut_at = world.now
    run_for(world, 12)


@then('the task runs elsewhere, after the lease')
def check_elsewhere(context):
    """Compare the two runs."""
    cell_history.check_history(context.world)
    ((first, *others),) = spans(context.world).values()
    assert others, first
    assert others[0].started_at >= first.ended
    assert others[0].started_at - context.cut_at < 6


@when('it crashes with a task running and starts again')
def crash(context):
    """Crash it; the new life has the same name and address."""
    world = context.world
    submit(world, _job(1, estimate=2))
    run_for(world, 0.3)
    cell_world.crash(world, 'w1', reborn=True)
    run_for(world, 12)


@then('the task runs again in the new life')
def check_reborn(context):
    """Look for the second run's end."""
    cell_history.check_history(context.world)
    (rows,) = spans(context.world).values()
    assert [span.how for span in rows][-1] == 'done', rows


@given('a cell without targets that has been led for a minute')
def old_cell(context):
    """Let time pass first."""
    context.world = World(1, targets=0)
    run_for(context.world, 60)


@when('a target comes and a job of {count:d} tasks is handed in')
def come_late(context, count):
    """Let it report, then hand the job in."""
    cell_world.add_worker(context.world, 'w1')
    run_for(context.world, 0.2)
    submit(context.world, _job(1, count))
    run_for(context.world, 5)


@then('each of its tasks ran')
def check_ran(context):
    """Look at what the workers did."""
    check_kept(context)


@when('it crashes and starts again, and a report of before comes late')
def report_late(context):
    """Let the old life report once more."""
    world = context.world
    old = world.workers['w1']
    cell_world.crash(world, 'w1', reborn=True)
    run_for(world, 1)
    new = world.workers['w1']
    world.workers['w1'] = old
    cell_world.report(world, 'w1')
    world.workers['w1'] = new
    run_for(world, 1)


@then('only the new life is known')
def check_new_life(context):
    """Look at the targets of the cell."""
    (target,) = context.world.cell.targets.values()
    born = int(context.world.workers['w1'].born * cell_world.MS)
    assert target.instance.born == born


@when('the leader changes with a task running')
def change_leader(context):
    """Let another leader build itself from the log."""
    world = context.world
    submit(world, _job(1, estimate=2))
    run_for(world, 0.3)
    cell_world.fail_over(world)
    run_for(world, 10)


@then('the task runs on and is done once')
def check_kept(context):
    """Expect one run."""
    (rows,) = spans(context.world).values()
    assert [span.how for span in rows] == ['done'], rows


@when('a gang of more than fits beside other work is handed in')
def hand_in_gang(context):
    """Fill most of the target with other work first."""
    world = context.world
    submit(world, _job(1, 3, size=Size(2000, 500, 0, 0)))
    run_for(world, 0.3)
    submit(world, _job(3, 3, size=Size(2000, 500, 0, 0), gang=True))
    run_for(world, 12)


@then('all its members start in the same turn')
def check_gang(context):
    """Compare the times of their starts."""
    found = spans(context.world)
    started_at = [
        rows[0].started_at
        for task, rows in found.items()
        if task[0].job[-1] == '3'
    ]
    assert len(started_at) == 3, found
    assert max(started_at) - min(started_at) < 0.1


@when('a gang of more than the cell can hold is handed in')
def hand_in_too_large(context):
    """Ask for more than one target has."""
    gang = _job(1, 9, size=Size(1000, 500, 0, 0), gang=True)
    submit(context.world, gang)
    run_for(context.world, 0.1)


@then('it is refused with NEVER_FITS')
def check_refused(context):
    """Look at the answer."""
    codes = [answer.code for answer in context.world.answers.values()]
    assert codes[-1] == ResultCode.NEVER_FITS, codes
    assert not context.world.cell.jobs


@when('a job is handed in twice')
def hand_in_twice(context):
    """Send the same id again, also over a change of the leader."""
    submit(context.world, _job(1))
    run_for(context.world, 0.3)
    cell_world.fail_over(context.world)
    submit(context.world, _job(1))
    run_for(context.world, 5)


@then('it is one job, accepted twice')
def check_one_job(context):
    """Count jobs, answers and runs."""
    codes = [answer.code for answer in context.world.answers.values()]
    assert codes[-2:] == [ResultCode.ACCEPTED, ResultCode.ACCEPTED]
    assert len(context.world.cell.jobs) == 1
    check_kept(context)


@when('a job is cancelled while it runs')
def cancel(context):
    """Cancel it."""
    submit(context.world, _job(1, 2, estimate=4))
    run_for(context.world, 0.5)
    cell_world.cancel(context.world, f'{1:016x}')
    run_for(context.world, 1)


@then('nothing of it runs a second later')
def check_stopped(context):
    """Look at the worker and at the leader."""
    (worker,) = context.world.workers.values()
    assert not worker.running
    assert not _runs(context.world)


@then('its snapshot builds the same state')
def check_snapshot(context):
    """Build it and compare the snapshots of both."""
    records = list(snapshot(context.world.cell))
    fresh = Cell()
    for record in records:
        apply(fresh, record)
    assert list(snapshot(fresh)) == records
    states = {name: job.state for name, job in context.world.cell.jobs.items()}
    assert {name: job.state for name, job in fresh.jobs.items()} == states


@when('jobs that fail are handed in')
def hand_in_failing(context):
    """Hand in jobs that fail everywhere."""
    for number in (1, 3, 4):
        submit(context.world, _job(number, estimate=0.1, payload='poison'))
    run_for(context.world, 0.6)


@then('the target is set aside')
def check_aside(context):
    """Look at what the leader knows."""
    (lease_state,) = context.world.lead.lease_states.values()
    assert lease_state.quarantined_until > context.world.now


@given('a cell of one target that takes leases of 10 s')
def long_leases(context):
    """Let the leader know of it, also after a change."""
    context.world = World(1, targets=0, longest_lease=10)
    cell_world.add_worker(context.world, 'w1')
    run_for(context.world, 1)


@when('it is cut off for 6 seconds with a task running')
def cut_for_a_while(context):
    """Begin the task, cut the target off, and heal the cut."""
    world = context.world
    submit(world, _job(1, estimate=1, payload='steady'))
    run_for(world, 0.3)
    assert _runs(world)
    world.cut.add('w1')
    run_for(world, 6)
    world.cut.clear()
    run_for(world, 1)


@then('each of its tasks ran once, and is done when the cut heals')
def check_went_on(context):
    """Look at the history and at the job."""
    (rows,) = spans(context.world).values()
    assert [span.how for span in rows] == ['done'], rows
    assert not cell_history.all_over(context.world)


@when('a lasting task is handed in')
def hand_lasting_in(context):
    """Wait until it runs."""
    world = context.world
    (target,) = world.cell.targets.values()
    context.before = lease_for(world.lead, target)
    submit(world, _job(1, estimate=100, lasting=True))
    run_for(world, 1)
    context.after = lease_for(world.lead, target)


@then('its lease is {short:g} seconds, that of an empty one {long:g}')
def check_leases(context, short, long):
    """Compare."""
    assert (context.after, context.before) == (short, long), context.after


@when('it is cut off with a task running and the leader changes')
def cut_and_fail_over(context):
    """Cut it off for good; another target is approved too."""
    world = context.world
    submit(world, _job(1, estimate=8, payload='steady'))
    run_for(world, 0.3)
    assert _runs(world)
    world.cut.add('w1')
    cell_world.add_worker(world, 'w3')
    run_for(world, 1)
    cell_world.fail_over(world)
    run_for(world, 30)


@then('no task runs twice at a time, and it runs elsewhere in the end')
def check_once_elsewhere(context):
    """Judge the history."""
    cell_history.check_history(context.world)
    assert not cell_history.all_over(context.world)


@when(
    'a job of {count:d} tasks is handed in and all that leaves the leader is '
    'lost for a second'
)
def hand_in_mute(context, count):
    """Let advice come first, so that the starts are lost."""
    world = context.world
    submit(world, _job(1, count))
    world.loses_until = world.now + 1
    run_for(world, 30)
