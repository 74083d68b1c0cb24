"""Steps that run a cell's decisions against simulated workers."""

from dataclasses import replace

from behave import given, then, when

from daisygw.cell import (
    Cell,
    apply,
    lease_for,
    on_advice,
    on_renewal_reply,
    snapshot,
)
from daisygw.cell._state import GANG_INDEX
from daisygw.contracts import (
    AdviceResponse,
    JobSpec,
    JobState,
    ResultCode,
    RunEnd,
    RunFinished,
    Size,
    Step,
    StepKey,
)
from daisygw.machines import EndedRun, RenewalReply, is_responsive
from standins import worker_model
from tests import cell_fault_runs, cell_history, cell_world
from tests.cell_history import spans
from tests.cell_records import check_same_state
from tests.cell_world import World, run_for, submit

_FAULTS_S = 40
_QUIET_S = 40


def _job(number, count=1, **more):
    size = more.pop('size', Size(1000, 500, 0, 0))
    payload = more.pop('payload', 'work')
    estimate = more.pop('estimate', 1)
    step = Step(count, size, estimate, **more)
    return JobSpec(f'{number:016x}', payload, (step,))


def _placed_runs(world):
    return [run for one in world.cell.targets.values() for run in one.runs]


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
    submit(context.world, _job(1, count))
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
    submit(context.world, _job(1, count))
    run_for(context.world, 0.45)


@then('the target is suspected')
def check_suspected(context):
    """Read the leader's lease state of the target."""
    (lease_state,) = context.world.lead.lease_states.values()
    assert not is_responsive(lease_state)


@then('another job is not placed there')
def check_not_placed(context):
    """Submit another job and expect no new run."""
    held = len(_placed_runs(context.world))
    submit(context.world, _job(3))
    run_for(context.world, 0.3)
    assert len(_placed_runs(context.world)) == held


@when('it is cut off with a task running and another target joins')
def cut_off(context):
    """Cut the target off and add one that the advisor approves too."""
    world = context.world
    submit(world, _job(1, estimate=2))
    run_for(world, 0.3)
    assert _placed_runs(world)
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
    submit(world, _job(1, estimate=2))
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
    submit(context.world, _job(1, count))
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
    submit(world, _job(1, estimate=2))
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
    submit(world, _job(1, 3, size=Size(2000, 500, 0, 0)))
    run_for(world, 0.3)
    submit(world, _job(3, 3, size=Size(2000, 500, 0, 0), gang=True))
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
    gang = _job(1, 9, size=Size(1000, 500, 0, 0), gang=True)
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
    submit(context.world, _job(1))
    run_for(context.world, 0.3)
    cell_world.fail_over(context.world)
    submit(context.world, _job(1))
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
    submit(context.world, _job(1, 2, estimate=4))
    run_for(context.world, 0.5)
    cell_world.cancel(context.world, f'{1:016x}')
    run_for(context.world, 1)


@then('none of its tasks runs a second later')
def check_stopped(context):
    """Expect no run, neither on the worker nor at the leader."""
    (worker,) = context.world.workers.values()
    assert not worker.running
    assert not _placed_runs(context.world)


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
        submit(context.world, _job(number, estimate=0.1, payload='poison'))
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
    submit(world, _job(1, estimate=1, payload='steady'))
    run_for(world, 0.3)
    assert _placed_runs(world)
    world.cut.add('w1')
    run_for(world, 6)
    world.cut.clear()
    run_for(world, 1)


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
    submit(world, _job(1, estimate=100, lasting=True))
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
    submit(world, _job(1, estimate=8, payload='steady'))
    run_for(world, 0.3)
    assert _placed_runs(world)
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
    submit(world, _job(1, count))
    world.drops_output_until = world.now + 1
    run_for(world, 30)


@when(
    'the queue of a job of two steps is removed while its first step runs',
)
def remove_queue(context):
    """Leave the other queue in the configuration."""
    world = context.world
    size = Size(1000, 500, 0, 0)
    steps = (Step(1, size, 1), Step(1, size, 1, after=(0,)))
    submit(world, JobSpec(f'{1:016x}', 'work', steps))
    run_for(world, 0.3)
    assert _placed_runs(world)
    cell_world.configure(world, 2, queues=(cell_world.queue('/b/', 1),))


@when('the leader stays')
def keep_leader(context):
    """Change nothing."""


@when('the leader changes')
def change_once(context):
    """Start the next leader from a snapshot."""
    cell_world.fail_over(context.world)


@when('the leader changes twice')
def change_twice(context):
    """Start two more leaders, each from a snapshot."""
    cell_world.fail_over(context.world)
    run_for(context.world, 0.5)
    cell_world.fail_over(context.world)


@then('both steps of the job are completed, and its queue accepts no other')
def check_completed_without_queue(context):
    """Read the job's state, and submit another one to the queue."""
    world = context.world
    run_for(world, 12)
    (job,) = world.cell.jobs.values()
    assert job.state is JobState.COMPLETED, job.state
    submit(world, _job(2))
    run_for(world, 0.1)
    codes = [answer.code for answer in world.responses.values()]
    assert codes[-1] == ResultCode.UNKNOWN_QUEUE, codes


@then("a replica that applied the log has the leader's state")
def check_replica(context):
    """Compare all fields of the leader's state and of a follower's."""
    check_same_state(context.world.cell, context.world.follower)


@when('a gang that saves checkpoints loses its target and another one joins')
def lose_checkpointing_gang(context):
    """Cut the target off with the gang at work, for good."""
    world = context.world
    submit(world, _job(1, 2, estimate=4, gang=True, checkpoints=True))
    run_for(world, 1)
    assert _placed_runs(world)
    check_replica(context)
    world.cut.add('w1')
    cell_world.add_worker(world, 'w3')
    run_for(world, 12)


@then('its next run starts from the checkpoint that was listed last')
def check_checkpoint(context):
    """Expect one name for both members, that of one of them."""
    (first, second) = context.world.start_checkpoints.values()
    assert first == {''}, first
    assert second in ({'1-0'}, {'1-1'}), second


@when('one member of a gang ends with a newer checkpoint than a lost one')
def end_one_member(context):
    """Cut one target off, and let the other list the end of its member."""
    world = context.world
    cell_world.add_worker(world, 'w3')
    run_for(world, 1)
    gang = _job(1, 2, estimate=4, gang=True, checkpoints=True, spread=1)
    submit(world, gang)
    run_for(world, 1)
    world.cut.add('w3')
    target = next(
        one for one in world.cell.targets.values() if one.instance.name == 'w1'
    )
    (run,) = target.runs.values()
    end = EndedRun(1, run.step, run.index, run.number, 'broken', 'newer')
    clock = worker_model.clock_ms(world.workers['w1'], world.now)
    reply = RenewalReply(target.instance.born, clock, (), (end,))
    on_renewal_reply(world.lead, target, reply, world.now)
    cell_world.add_worker(world, 'w4')
    run_for(world, 12)


@then('its next run starts from the newer checkpoint')
def check_newer(context):
    """Expect the checkpoint for both members."""
    (_, second) = context.world.start_checkpoints.values()
    assert second == {'newer'}, second


def _wait_for_call(world):
    for _ in range(50):
        run_for(world, cell_world.TICK_S)
        if world.lead.pending_advice:
            return
    raise AssertionError('no call to the advisor')


@when(
    'the leader changes during a call, whose answer reaches the next leader',
)
def answer_earlier_leader(context):
    """Deliver an answer without approvals while the next call is open."""
    world = context.world
    submit(world, _job(1))
    _wait_for_call(world)
    earlier = list(world.lead.pending_advice)
    cell_world.fail_over(world)
    _wait_for_call(world)
    for seq in earlier:
        on_advice(world.lead, AdviceResponse(seq, answered=True))
    run_for(world, 5)


@given('a cell of {count:d} targets')
def cell_of_targets(context, count):
    """Start a cell whose targets have reported."""
    context.world = World(1, targets=count)
    run_for(context.world, 1)


def _logged(world, event):
    return [dict(row.fields) for row in world.log if row.event == event]


@when(
    'a gang of {count:d} tasks is submitted, and {fitting:d} fit on its '
    'approved targets'
)
def submit_unplaceable(context, count, fitting):
    """Submit a gang for which four of the six targets are approved."""
    size = Size(cell_world.WORKER_CPUS * 4 // fitting, 100, 0, 0)
    submit(context.world, _job(1, count, size=size, gang=True, estimate=30))


@then(
    '{seconds:d} s later it was logged twice, with room for {room:d} of '
    '{count:d} tasks'
)
def check_wait_logged(context, seconds, room, count):
    """Read the lines about the step's wait."""
    run_for(context.world, seconds)
    rows = _logged(context.world, 'step waits')
    assert [round(row['waited_s']) for row in rows] == [3, 6], rows
    for row in rows:
        assert (row['approved_room'], row['tasks']) == (room, count), row


@then('{seconds:d} s later its start was logged as unconfirmed, once')
def check_unconfirmed_logged(context, seconds):
    """Read the lines about the run, whose lease has not expired yet."""
    run_for(context.world, seconds)
    (row,) = _logged(context.world, 'start unconfirmed')
    assert row['unanswered'] > 1, row


@when('{count:d} gangs wait that do not fit on their approved targets')
def submit_unplaceable_gangs(context, count):
    """Submit gangs for which too few of the targets are approved."""
    size = Size(cell_world.WORKER_CPUS // 2, 100, 0, 0)
    for number in range(count):
        gang = _job(0x100 + number, 9, size=size, gang=True, estimate=30)
        submit(context.world, gang)
    run_for(context.world, 0.5)


@when('a less urgent job of 1 tasks is submitted')
def submit_less_urgent(context):
    """Submit a job whose latest useful start is after those of the others."""
    submit_many_less_urgent(context, 1)


@when('{count:d} less urgent jobs are submitted')
def submit_many_less_urgent(context, count):
    """Submit jobs whose latest useful start is after those of the gangs."""
    size = Size(100, 10, 0, 0)
    context.less_urgent = [
        _job(0x1000 + number, size=size, estimate=40, payload='steady')
        for number in range(count)
    ]
    for job in context.less_urgent:
        submit(context.world, job)


@then('the less urgent job starts within {seconds:g} s')
@then('all less urgent jobs start within {seconds:g} s')
def check_less_urgent_started(context, seconds):
    """Run for the time and expect a run of each of the jobs."""
    run_for(context.world, seconds)
    started = {key.job for key, _ in spans(context.world)}
    waiting = [job.id for job in context.less_urgent if job.id not in started]
    assert not waiting, waiting


def _open_call(world, job):
    """Return the correlation id of the advisor call about a job's step."""
    calls = world.lead.pending_advice.items()
    return next(seq for seq, (key, _, _) in calls if key.job == job.id)


@when('the leader changes while the advisor is asked about a step')
def change_leader_during_advice(context):
    """Cancel the first of two jobs, so that the next leader asks once less."""
    world = context.world
    first, context.denied_job = _job(1), _job(2)
    submit(world, first)
    submit(world, context.denied_job)
    run_for(world, cell_world.TICK_S)
    context.early_call = _open_call(world, context.denied_job)
    cell_world.cancel(world, first.id)
    cell_world.fail_over(world)


@when(
    'the advisor denies the target to that step, after the next leader asked '
    'about another'
)
def deny_to_earlier_leader(context):
    """Deliver the answer to the earlier leader's call to the next leader.

    The next leader hears from the target first.
    """
    world = context.world
    run_for(world, 0.3)
    submit(world, _job(4))
    run_for(world, cell_world.TICK_S)
    on_advice(world.lead, AdviceResponse(context.early_call, answered=True))


@then("the other step's job ends within {seconds:g} s")
def check_other_job(context, seconds):
    """Expect that only the job without an approved target has not ended."""
    run_for(context.world, seconds)
    unfinished = cell_history.unfinished_jobs(context.world)
    assert unfinished == [context.denied_job.id], unfinished


@given('a cell of {count:d} targets that wait {seconds:d} seconds for an end')
def waiting_cell(context, count, seconds):
    """Let targets reply to a renewal when a run ends, or after the time."""
    cell_of_targets(context, count)
    context.world.renewal_wait = seconds
    run_for(context.world, 0.5)


@when('a gang starts on three targets, and one leaves its start unanswered')
def start_gang_in_part(context):
    """Run until the start has timed out; the first copy is lost."""
    world = context.world
    world.ignoring_orders.add('w1')
    size = Size(cell_world.WORKER_CPUS // 2, 100, 0, 0)
    gang = _job(1, 6, size=size, gang=True, payload='steady', estimate=4)
    submit(world, gang)
    run_for(world, 0.1)
    context.gang = world.cell.jobs[gang.id].steps[0, 0]
    assert len(context.gang.runs) == 6
    run_for(world, 0.1)


@when('that target then refuses the start for its ticket')
def refuse_for_ticket(context):
    """Answer orders again, but refuse the repeated starts at first."""
    world = context.world
    world.ignoring_orders.clear()
    world.refusing_starts['w1'] = 'ticket'
    context.refused_at = world.now


@then('all members of the gang are over within {seconds:g} s')
def check_gang_over(context, seconds):
    """Expect none of the gang's first runs; another one may have started."""
    run_for(context.world, seconds)
    numbers = [run.number for run in context.gang.runs.values()]
    assert 1 not in numbers, numbers


@then('the gang ends within {seconds:g} s')
def check_gang_done(context, seconds):
    """Accept the starts again and expect the job to end."""
    context.world.refusing_starts.clear()
    run_for(context.world, seconds)
    assert not cell_history.unfinished_jobs(context.world)
    cell_history.check_history(context.world)


@given('a cell of {count:d} targets without an advisor')
def unadvised_cell(context, count):
    """Start a cell whose queue has no placement advisor."""
    cell_of_targets(context, count)
    _remove_advisor(context.world)


def _remove_advisor(world):
    queue = replace(cell_world.queue('/a/', 0), advisor=None)
    cell_world.configure(world, 2, queues=(queue,))


@given(
    'a cell of {count:d} targets without an advisor, and leases of {lease:d} s'
)
def unadvised_cell_with_leases(context, count, lease):
    """Start a cell whose targets accept leases of up to a time (s)."""
    context.world = World(1, targets=count, longest_lease=lease)
    run_for(context.world, 1)
    _remove_advisor(context.world)


@when('a job of {count:d} tasks is submitted, and its target answers no orders')
def submit_to_deaf_target(context, count):
    """Targets that are alike are tried in the order in which they joined."""
    context.world.ignoring_orders.add('w0')
    submit(context.world, _job(1, count, payload='steady', estimate=0.5))


@when(
    'a job of {count:d} tasks is submitted, and the target tried first has no '
    'room'
)
def submit_to_full_target(context, count):
    """Targets that are alike are tried in the order in which they joined."""
    context.world.refusing_starts['w0'] = 'room'
    submit(context.world, _job(1, count, payload='steady'))


@when('a gang is submitted, and a target that it is placed on has no room')
def submit_gang_to_full_target(context):
    """Let one of four targets refuse; the gang needs three."""
    context.world.refusing_starts['w0'] = 'room'
    size = Size(cell_world.WORKER_CPUS // 2, 100, 0, 0)
    submit(context.world, _job(1, 6, size=size, gang=True, payload='steady'))


@then('the job ends within {seconds:g} s')
def check_job_ends(context, seconds):
    """Expect no unfinished job, and no broken invariant."""
    run_for(context.world, seconds)
    assert not cell_history.unfinished_jobs(context.world)
    cell_history.check_history(context.world)


@then('at most {count:d} starts were refused')
def check_refused_starts(context, count):
    """Read the number of refused starts, but expect some."""
    assert 0 < context.world.refused_starts <= count, (
        context.world.refused_starts
    )


@when('{count:d} jobs of 6 tasks that fail have run')
def submit_many_failing(context, count):
    """Submit jobs that fail wherever they run, and give them 2 s."""
    world = context.world
    for number in range(count):
        job = _job(
            0x2000 + number,
            6,
            size=Size(500, 100, 0, 0),
            estimate=0.1,
            payload='poison',
        )
        submit(world, job)
    run_for(world, 2)


@when(
    "one of a gang's members fails, a replica reads a snapshot, and another "
    'member fails'
)
def fail_twice(context):
    """Apply the records to the leader's state and to the rebuilt one."""
    world = context.world
    gang = _job(1, 3, gang=True, estimate=30)
    submit(world, gang)
    run_for(world, 0.3)
    key = StepKey(gang.id, 0, 0)
    failed = [RunFinished(key, index, 1, RunEnd.FAILED, '') for index in (0, 1)]
    apply(world.cell, failed[0])
    rebuilt = Cell()
    for record in snapshot(world.cell):
        apply(rebuilt, record)
    context.replicas = (world.cell, rebuilt)
    for cell in context.replicas:
        apply(cell, failed[1])


@then('the gang has failed once on each replica')
def check_failed_once(context):
    """Compare the counts of failures of the two states."""
    counts = [
        next(iter(cell.jobs.values())).steps[0, 0].failures
        for cell in context.replicas
    ]
    assert counts == [{GANG_INDEX: 1}, {GANG_INDEX: 1}], counts


@when(
    'a job waits for room, and its queue moves to a service with a free target'
)
def move_queue(context):
    """Fill the only target, submit the job, and change the configuration."""
    world = context.world
    whole = Size(cell_world.WORKER_CPUS, 100, 0, 0)
    submit(world, _job(1, size=whole, estimate=60, payload='steady'))
    run_for(world, 0.5)
    context.waiting_job = _job(3, payload='steady')
    submit(world, context.waiting_job)
    run_for(world, 0.5)
    world.services['w2'] = 'other'
    cell_world.add_worker(world, 'w2')
    moved = replace(cell_world.queue('/a/', 0), service='other')
    cell_world.configure(world, 2, queues=(moved,))


@then('the waiting job ends within {seconds:g} s')
def check_waiting_job(context, seconds):
    """Expect that the job has ended."""
    run_for(context.world, seconds)
    assert context.world.cell.jobs[context.waiting_job.id].over


@when(
    'the advisor is asked about a step that lacks room, and its queue then has '
    'none'
)
def remove_advisor_during_call(context):
    """Change the configuration before the answer, then make room."""
    world = context.world
    whole = Size(cell_world.WORKER_CPUS, 100, 0, 0)
    filler = _job(1, size=whole, estimate=60, payload='steady')
    submit(world, filler)
    run_for(world, 0.5)
    context.waiting_job = _job(3, payload='steady')
    submit(world, context.waiting_job)
    _wait_for_call(world)
    _remove_advisor(world)
    run_for(world, 1)
    cell_world.cancel(world, filler.id)


@when(
    "a job has a ticket, its queue moves, and the ticket's target has room "
    'again'
)
def free_earlier_service(context):
    """Cancel the job that fills the target; the new service has none."""
    world = context.world
    whole = Size(cell_world.WORKER_CPUS, 100, 0, 0)
    filler = _job(1, size=whole, estimate=60, payload='steady')
    submit(world, filler)
    run_for(world, 0.5)
    context.waiting_job = _job(3, payload='steady')
    submit(world, context.waiting_job)
    run_for(world, 0.1)
    cell_world.cancel(world, filler.id)
    moved = replace(cell_world.queue('/a/', 0), service='other')
    cell_world.configure(world, 2, queues=(moved,))


@then('the waiting job does not start within {seconds:g} s')
def check_not_started(context, seconds):
    """Expect no run of the job."""
    run_for(context.world, seconds)
    started = {key.job for key, _ in spans(context.world)}
    assert context.waiting_job.id not in started, spans(context.world)


@given('2 more targets that the advisor denies')
def add_denied_targets(context):
    """Without them the cell would refuse the gang."""
    cell_world.add_worker(context.world, 'w5')
    cell_world.add_worker(context.world, 'w8')


@when('a gang waits for 4 targets that it may use, and has approvals for 2')
def submit_waiting_gang(context):
    """Two of its tasks fit on a target; three targets are denied."""
    world = context.world
    size = Size(cell_world.WORKER_CPUS // 2, 100, 0, 0)
    context.waiting_job = _job(1, 8, size=size, gang=True, estimate=4)
    submit(world, context.waiting_job)
    run_for(world, 3)
    approval = world.lead.approvals[StepKey(context.waiting_job.id, 0, 0)]
    assert len(approval.tickets) == 2, approval.tickets


@when(
    'calls to the advisor wait {delay:g} s behind others, and 2 more such '
    'targets join'
)
def add_targets(context, delay):
    """Both new targets are approved."""
    world = context.world
    world.advice_delay = delay
    cell_world.add_worker(world, 'w3')
    cell_world.add_worker(world, 'w4')


@then('the waiting job starts within {seconds:g} s')
def check_started(context, seconds):
    """Expect a run of the job."""
    run_for(context.world, seconds)
    started = {key.job for key, _ in spans(context.world)}
    rows = [
        (row['asked'], row['approved'], row['took_s'])
        for row in _logged(context.world, 'advice')
    ]
    assert context.waiting_job.id in started, rows
