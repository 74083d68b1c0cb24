"""Steps that run a cell's decisions against simulated workers."""

from behave import given, then, when

from daisygw.cell import (
    Cell,
    apply,
    lease_for,
    on_target_report,
    snapshot,
)
from daisygw.contracts import (
    ResultCode,
    Size,
)
from daisygw.machines import TargetReport, is_responsive
from tests import cell_fault_runs, cell_history, cell_world
from tests.cell_history import spans
from tests.cell_jobs import placed_runs, small_job
from tests.cell_world import World, run_for, submit

_FAULTS_S = 40
_QUIET_S = 40


@when('a cell runs with random faults from seed {seed:d}')
def run_with_faults(context, seed):
    """Run with random faults, then without faults."""
    context.world = cell_fault_runs.run_with_faults(seed, _FAULTS_S, _QUIET_S)


@when('a cell with leases of 10 s runs with random faults from seed {seed:d}')
def run_with_long_leases(context, seed):
    """Run with long leases and random faults, then without faults."""
    context.world = cell_fault_runs.run_with_faults(
        seed, _FAULTS_S, _QUIET_S, longest_lease=10
    )


@when(
    'a cell whose targets list {page:d} ends a reply runs with random faults '
    'from seed {seed:d}'
)
def run_with_pages(context, page, seed):
    """Let replies have so few ended runs that most lists take several."""
    context.world = cell_fault_runs.run_with_faults(
        seed, _FAULTS_S, _QUIET_S, longest_lease=10, ends_page=page
    )


@then('no task ran twice, out of order, over its attempts or over capacity')
def check_invariants(context):
    """Check the workers' histories against the invariants."""
    cell_history.check_history(context.world)


@then('every accepted job has ended after a time without faults')
def check_all_ended(context):
    """Expect no accepted job that has not ended."""
    assert not cell_history.unfinished_jobs(context.world)


@given('a cell that loses most orders or their answers')
def lossy_cell(context):
    """Lose 40 % of orders and renewals, and the answers to 40 % of orders."""
    context.world = World(1)
    run_for(context.world, 1)
    context.world.loss_probability = 0.4


@given('a cell of one target')
def small_cell(context):
    """Start a cell whose only target has reported."""
    context.world = World(1, targets=0)
    cell_world.add_worker(context.world, 'w1')
    run_for(context.world, 1)


@given('a cell of one target that is cut off')
def cut_cell(context):
    """Cut the target off after its first report."""
    small_cell(context)
    context.world.cut.add('w1')


@when('a job of {count:d} tasks is submitted and time passes')
def submit_and_wait(context, count):
    """Submit the job and leave it time to end."""
    submit(context.world, small_job(1, count))
    run_for(context.world, 30)


@then('each of its tasks ran once')
def check_once(context):
    """Expect 3 tasks with one successful run each, and no violation."""
    found = spans(context.world)
    cell_history.check_history(context.world)
    done = [
        [span for span in rows if span.how == 'done'] for rows in found.values()
    ]
    assert [len(rows) for rows in done] == [1, 1, 1], found


@when(
    'a job of {count:d} tasks is submitted and its first starts stay unanswered'
)
def submit_unanswered(context, count):
    """Run for 0.45 s; a start times out at the leader after 0.2 s."""
    submit(context.world, small_job(1, count))
    run_for(context.world, 0.45)


@then('the target is suspected')
def check_suspected(context):
    """Read the leader's lease state of the target."""
    (lease_state,) = context.world.lead.lease_states.values()
    assert not is_responsive(lease_state)


@then('another job is not placed there')
def check_not_placed(context):
    """Submit another job and expect no new run."""
    held = len(placed_runs(context.world))
    submit(context.world, small_job(3))
    run_for(context.world, 0.3)
    assert len(placed_runs(context.world)) == held


@when('it is cut off with a task running and another target joins')
def cut_off(context):
    """Cut the target off and add one that the advisor approves too."""
    world = context.world
    submit(world, small_job(1, estimate=2))
    run_for(world, 0.3)
    assert placed_runs(world)
    world.cut.add('w1')
    cell_world.add_worker(world, 'w3')
    context.cut_at = world.now
    run_for(world, 12)


@then('the task runs elsewhere, after its lease has expired')
def check_elsewhere(context):
    """Expect a second run within 6 s of the cut, after the first has ended."""
    cell_history.check_history(context.world)
    ((first, *others),) = spans(context.world).values()
    assert others, first
    assert others[0].started_at >= first.ended
    assert others[0].started_at - context.cut_at < 6


@when('it crashes with a task running and restarts')
def crash(context):
    """Restart it with the same name and address."""
    world = context.world
    submit(world, small_job(1, estimate=2))
    run_for(world, 0.3)
    cell_world.crash(world, 'w1', restarts=True)
    run_for(world, 12)


@then('the task runs again on the new instance')
def check_runs_again(context):
    """Expect the last run to have succeeded."""
    cell_history.check_history(context.world)
    (rows,) = spans(context.world).values()
    assert [span.how for span in rows][-1] == 'done', rows


@given('a cell that has had a leader but no targets for a minute')
def cell_without_targets(context):
    """Run the leader for 60 s without any target."""
    context.world = World(1, targets=0)
    run_for(context.world, 60)


@when('a target joins and a job of {count:d} tasks is submitted')
def join_late(context, count):
    """Add a target, then submit the job."""
    cell_world.add_worker(context.world, 'w1')
    run_for(context.world, 0.2)
    submit(context.world, small_job(1, count))
    run_for(context.world, 5)


@then('each of its tasks ran')
def check_ran(context):
    """Expect one successful run."""
    check_ran_once(context)


@when(
    'it restarts after a crash, and a report of the old instance arrives late'
)
def report_late(context):
    """Send a report of the old instance after the new one's."""
    world = context.world
    old = world.workers['w1']
    cell_world.crash(world, 'w1', restarts=True)
    run_for(world, 1)
    new = world.workers['w1']
    world.workers['w1'] = old
    cell_world.report(world, 'w1')
    world.workers['w1'] = new
    run_for(world, 1)


@then('only the new instance is known')
def check_new_instance(context):
    """Expect the cell's only target to be the new instance."""
    (target,) = context.world.cell.targets.values()
    born = int(context.world.workers['w1'].born * cell_world.MS_PER_S)
    assert target.instance.born == born


@when('the leader changes with a task running')
def change_leader(context):
    """Start the next leader from the committed state."""
    world = context.world
    submit(world, small_job(1, estimate=2))
    run_for(world, 0.3)
    cell_world.fail_over(world)
    run_for(world, 10)


@then('the task keeps running and ends once')
def check_ran_once(context):
    """Expect one successful run."""
    (rows,) = spans(context.world).values()
    assert [span.how for span in rows] == ['done'], rows


@when('a gang that does not fit beside other work is submitted')
def submit_waiting_gang(context):
    """Fill most of the target first, so that the gang must wait."""
    world = context.world
    submit(world, small_job(1, 3, size=Size(2000, 500, 0, 0)))
    run_for(world, 0.3)
    submit(world, small_job(3, 3, size=Size(2000, 500, 0, 0), gang=True))
    run_for(world, 12)


@then('all its members start in the same turn')
def check_gang(context):
    """Expect all starts within 0.1 s, as orders arrive with random delays."""
    found = spans(context.world)
    started_at = [
        rows[0].started_at
        for task, rows in found.items()
        if task[0].job[-1] == '3'
    ]
    assert len(started_at) == 3, found
    assert max(started_at) - min(started_at) < 0.1


@when('a gang larger than the cell is submitted')
def submit_too_large(context):
    """Submit a gang of 9 CPUs in total; the only target has 8."""
    gang = small_job(1, 9, size=Size(1000, 500, 0, 0), gang=True)
    submit(context.world, gang)
    run_for(context.world, 0.1)


@then('it is refused with NEVER_FITS')
def check_refused(context):
    """Expect the answer's code and no accepted job."""
    codes = [answer.code for answer in context.world.responses.values()]
    assert codes[-1] == ResultCode.NEVER_FITS, codes
    assert not context.world.cell.jobs


@when('a job is submitted again after a change of the leader')
def submit_twice(context):
    """Submit the same id to two leaders in turn."""
    submit(context.world, small_job(1))
    run_for(context.world, 0.3)
    cell_world.fail_over(context.world)
    submit(context.world, small_job(1))
    run_for(context.world, 5)


@then('it is one job, accepted twice')
def check_one_job(context):
    """Expect two answers, but one job and one run."""
    codes = [answer.code for answer in context.world.responses.values()]
    assert codes[-2:] == [ResultCode.ACCEPTED, ResultCode.ACCEPTED]
    assert len(context.world.cell.jobs) == 1
    check_ran_once(context)


@when('a job is cancelled while it runs')
def cancel(context):
    """Cancel the job after its tasks have started."""
    submit(context.world, small_job(1, 2, estimate=4))
    run_for(context.world, 0.5)
    cell_world.cancel(context.world, f'{1:016x}')
    run_for(context.world, 1)


@then('none of its tasks runs a second later')
def check_stopped(context):
    """Expect no run, neither on the worker nor at the leader."""
    (worker,) = context.world.workers.values()
    assert not worker.running
    assert not placed_runs(context.world)


@then('a cell rebuilt from its snapshot has the same state')
def check_snapshot(context):
    """Compare the snapshots and the states of the jobs of both."""
    records = list(snapshot(context.world.cell))
    rebuilt = Cell()
    for record in records:
        apply(rebuilt, record)
    assert list(snapshot(rebuilt)) == records
    states = {name: job.state for name, job in context.world.cell.jobs.items()}
    assert {name: job.state for name, job in rebuilt.jobs.items()} == states


@when('jobs that fail are submitted')
def submit_failing(context):
    """Submit jobs whose tasks fail wherever they run."""
    for number in (1, 3, 4):
        submit(context.world, small_job(number, estimate=0.1, payload='poison'))
    run_for(context.world, 0.6)


@then('the target is quarantined')
def check_quarantined(context):
    """Read the leader's lease state of the target."""
    (lease_state,) = context.world.lead.lease_states.values()
    assert lease_state.quarantined_until > context.world.now


@given('a cell of one target that accepts leases of 10 s')
def long_leases(context):
    """Allow this leader and the next one leases of up to 10 s."""
    context.world = World(1, targets=0, longest_lease=10)
    cell_world.add_worker(context.world, 'w1')
    run_for(context.world, 1)


@when('it is cut off for 6 seconds with a task running')
def cut_briefly(context):
    """Cut the target off while its task runs, and heal the cut."""
    world = context.world
    submit(world, small_job(1, estimate=1, payload='steady'))
    run_for(world, 0.3)
    assert placed_runs(world)
    world.cut.add('w1')
    run_for(world, 6)
    world.cut.clear()
    run_for(world, 1)


@when('it answers no renewals for 6 seconds, but reports, with a task running')
def answer_no_renewals(context):
    """Let its reports reach the leader while its network is cut."""
    world = context.world
    submit(world, small_job(1, estimate=1, payload='steady'))
    run_for(world, 0.3)
    assert placed_runs(world)
    (target,) = world.cell.targets.values()
    world.cut.add('w1')
    for number in range(12):
        run_for(world, 0.5)
        heartbeat = TargetReport(0, 'w1', target.instance, number)
        on_target_report(world.lead, heartbeat, 'w1')
    world.cut.clear()
    run_for(world, 1)


@when('it sends no reports for 60 seconds while it answers renewals')
def send_no_reports(context):
    """Run a task at the end; targets here report only when they join."""
    world = context.world
    run_for(world, 60)
    submit(world, small_job(1, estimate=1, payload='steady'))
    run_for(world, 3)


@then('each of its tasks ran once, and has ended when the cut heals')
def check_survived_cut(context):
    """Expect one successful run and no unfinished job."""
    (rows,) = spans(context.world).values()
    assert [span.how for span in rows] == ['done'], rows
    assert not cell_history.unfinished_jobs(context.world)


@when('a lasting task is submitted')
def submit_lasting(context):
    """Record the target's lease before the task starts and after."""
    world = context.world
    (target,) = world.cell.targets.values()
    context.before = lease_for(world.lead, target)
    submit(world, small_job(1, estimate=100, lasting=True))
    run_for(world, 1)
    context.after = lease_for(world.lead, target)


@then('its lease is {short:g} seconds, that of an idle one {long:g}')
def check_leases(context, short, long):
    """Compare the leases (s) with and without the task."""
    assert (context.after, context.before) == (short, long), context.after


@when('it is cut off with a task running and the leader changes')
def cut_and_fail_over(context):
    """Cut it off for good and add a target that is approved too."""
    world = context.world
    submit(world, small_job(1, estimate=8, payload='steady'))
    run_for(world, 0.3)
    assert placed_runs(world)
    world.cut.add('w1')
    cell_world.add_worker(world, 'w3')
    run_for(world, 1)
    cell_world.fail_over(world)
    run_for(world, 30)


@then('no task runs twice at a time, and it ends elsewhere')
def check_once_elsewhere(context):
    """Check the invariants and expect no unfinished job."""
    cell_history.check_history(context.world)
    assert not cell_history.unfinished_jobs(context.world)


@when(
    'a job of {count:d} tasks is submitted and all orders of the leader are '
    'lost for a second'
)
def submit_without_output(context, count):
    """Drop the starts; advice requests, sent before commit, still pass."""
    world = context.world
    submit(world, small_job(1, count))
    world.drops_output_until = world.now + 1
    run_for(world, 30)
