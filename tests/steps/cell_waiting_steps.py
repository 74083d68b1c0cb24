"""Steps about work that waits, and about targets that refuse it."""

from dataclasses import replace

from behave import given, then, when

from daisygw.cell import (
    Cell,
    apply,
    on_advice,
    snapshot,
)
from daisygw.cell._state import GANG_INDEX
from daisygw.contracts import (
    AdviceResponse,
    RunEnd,
    RunFinished,
    Size,
    StepKey,
)
from tests import cell_history, cell_world
from tests.cell_history import spans
from tests.cell_jobs import small_job, wait_for_call
from tests.cell_world import World, run_for, submit


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
    submit(
        context.world, small_job(1, count, size=size, gang=True, estimate=30)
    )


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
        gang = small_job(0x100 + number, 9, size=size, gang=True, estimate=30)
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
        small_job(0x1000 + number, size=size, estimate=40, payload='steady')
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
    return next(seq for seq, one in calls if one.step.job == job.id)


@when('the leader changes while the advisor is asked about a step')
def change_leader_during_advice(context):
    """Cancel the first of two jobs, so that the next leader asks once less."""
    world = context.world
    first, context.denied_job = small_job(1), small_job(2)
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
    submit(world, small_job(4))
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
    gang = small_job(1, 6, size=size, gang=True, payload='steady', estimate=4)
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
    submit(context.world, small_job(1, count, payload='steady', estimate=0.5))


@when(
    'a job of {count:d} tasks is submitted, and the target tried first has no '
    'room'
)
def submit_to_full_target(context, count):
    """Targets that are alike are tried in the order in which they joined."""
    context.world.refusing_starts['w0'] = 'room'
    submit(context.world, small_job(1, count, payload='steady'))


@when('a gang is submitted, and a target that it is placed on has no room')
def submit_gang_to_full_target(context):
    """Let one of four targets refuse; the gang needs three."""
    context.world.refusing_starts['w0'] = 'room'
    size = Size(cell_world.WORKER_CPUS // 2, 100, 0, 0)
    submit(
        context.world, small_job(1, 6, size=size, gang=True, payload='steady')
    )


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
        job = small_job(
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
    gang = small_job(1, 3, gang=True, estimate=30)
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
    submit(world, small_job(1, size=whole, estimate=60, payload='steady'))
    run_for(world, 0.5)
    context.waiting_job = small_job(3, payload='steady')
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


def _submit_behind_filler(context):
    """Submit a job behind one that fills the target; return the latter."""
    world = context.world
    whole = Size(cell_world.WORKER_CPUS, 100, 0, 0)
    filler = small_job(1, size=whole, estimate=60, payload='steady')
    submit(world, filler)
    run_for(world, 0.5)
    context.waiting_job = small_job(3, payload='steady')
    submit(world, context.waiting_job)
    return filler


@when(
    'the advisor is asked about a step that lacks room, and its queue then has '
    'none'
)
def remove_advisor_during_call(context):
    """Change the configuration before the answer, then make room."""
    world = context.world
    filler = _submit_behind_filler(context)
    wait_for_call(world)
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
    filler = _submit_behind_filler(context)
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
    context.waiting_job = small_job(1, 8, size=size, gang=True, estimate=4)
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
