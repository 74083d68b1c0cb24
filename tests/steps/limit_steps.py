"""Steps about customers' limits on what they have running."""

from dataclasses import replace

from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from daisygw.cell._capacity import FreeCapacity, fitting_tasks
from daisygw.cell._fairness import fair_key
from daisygw.cell._limits import overdue_at_limits
from daisygw.cell._placement import order_key
from daisygw.contracts import (
    ZERO_SIZE,
    ResultCode,
    RunsPlaced,
    Size,
    fits,
    limit_without_zeros,
    minus,
    plus,
    times,
)
from daisygw.nodes._customer_meters import add_customer_gauges
from daisygw.nodes._meters import Meters, show
from daisygw.nodes._state_machine import CellState
from tests import cell_history, cell_world
from tests.cell_jobs import small_job
from tests.cell_world import World, customer, run_for, submit

_TASK = Size(1000, 500, 0, 0)
_OWNERS = ('one', 'two')
_EXAMPLES = settings(
    deadline=None,
    database=None,
    phases=(Phase.generate, Phase.shrink),
    suppress_health_check=tuple(HealthCheck),
)
# Tasks of a job, and whether they are a gang.
_JOBS = st.tuples(
    st.sampled_from(_OWNERS),
    st.integers(1, 5),
    st.booleans(),
)
_EVENTS = st.one_of(
    st.tuples(st.just('job'), _JOBS),
    st.tuples(st.just('job'), _JOBS),
    st.tuples(st.just('limits'), st.integers(1, 8)),
    st.tuples(
        st.sampled_from((
            'leader',
            'cancel',
            'crash',
            'cut',
            'lossy',
            'late',
            'stops',
        )),
        st.integers(0, 5),
    ),
)


def _limits(count, weight=1000):
    """Return customers with limits of a number of tasks, and high rates."""
    limit = times(_TASK, count)
    return tuple(customer(name, limit, weight=weight) for name in _OWNERS)


def _set_limits(world, customers, queues=None):
    """Store the next version of the configuration."""
    queues = queues or world.cell.cfg.queues
    version = world.cell.cfg.version + 1
    cell_world.configure(world, version, customers=customers, queues=queues)


def _running(cell, owner):
    """Add up the runs that a cell's jobs hold for a customer."""
    size = ZERO_SIZE
    for job in cell.jobs.values():
        if job.enqueued.customer == owner:
            for state in job.steps.values():
                size = plus(size, times(state.step.size, len(state.runs)))
    return size


def _watch_starts(world, broken):
    """Add to ``broken`` each start that exceeds the limit in force.

    It reads a replica that knows the log only, before the start is applied.
    """

    def watch(record):
        if not isinstance(record, RunsPlaced):
            return
        cell = world.follower
        job = cell.jobs[record.step.job]
        state = job.steps[record.step.occurrence, record.step.step]
        new = [row for row in record.rows if row[0] not in state.runs]
        owner = cell.customers.get(job.enqueued.customer)
        if not new or owner is None:
            return
        after = plus(_running(cell, owner.name), times(_TASK, len(new)))
        if not fits(after, limit_without_zeros(owner.limit)):
            broken.append((owner, after))
        if state.step.gang and len(new) != state.step.count:
            broken.append(('a part of a gang', record))

    world.callers.watch_record = watch


def _check_counted(world):
    """Compare the count with the replica's runs, and with what really runs."""
    for owner in _OWNERS:
        counted = world.cell.customer_usage.get(owner, ZERO_SIZE)
        assert counted == _running(world.cell, owner), (owner, counted)
        real = sum(
            world.callers.owners[key.job] == owner
            for worker in world.workers.values()
            for key, _ in worker.running
        )
        assert fits(times(_TASK, real), counted), (owner, real, counted)


def _apply_event(world, kind, value):
    if kind == 'job':
        owner, count, gang = value
        number = len(world.jobs) + 1
        job = small_job(number, count, gang=gang, size=_TASK)
        submit(world, job, owner=owner)
    elif kind == 'limits':
        _set_limits(world, _limits(value))
    elif kind == 'leader':
        cell_world.fail_over(world)
    elif kind == 'cancel' and world.jobs:
        cell_world.cancel(world, list(world.jobs)[value % len(world.jobs)])
    elif kind == 'crash':
        cell_world.crash(world, f'w{value}', restarts=True)
    elif kind == 'cut':
        world.cut ^= {f'w{value}'}
    elif kind == 'lossy':
        world.loss_probability = value / 10
    elif kind == 'stops':
        world.held.stop_delay = value / 2
    elif kind == 'late':
        world.late_probability = value / 40


@when(
    '{examples:d} random sequences of jobs, faults, new leaders and limits '
    'are run from seed {number:d}'
)
def run_random_faults(context, examples, number):
    """Look at each start, and at what runs after each event."""
    context.broken, context.worlds = [], []

    @seed(number)
    @settings(_EXAMPLES, max_examples=examples)
    @hypothesis_given(st.lists(_EVENTS, min_size=10, max_size=25))
    def run(events):
        world = World(number)
        _watch_starts(world, context.broken)
        _set_limits(world, _limits(4))
        for kind, value in events:
            _apply_event(world, kind, value)
            run_for(world, 0.3)
            _check_counted(world)
        world.cut.clear()
        world.loss_probability = 0
        world.late_probability = 0
        run_for(world, 4)
        _set_limits(world, _limits(0))
        run_for(world, 30)
        _check_counted(world)
        cell_history.check_history(world)
        context.worlds.append(world)

    run()


@then(
    "in each of them no start exceeded its customer's limit, and gangs "
    'started whole'
)
def check_no_excess(context):
    """Expect that some customer was at its limit."""
    assert not context.broken, context.broken[:3]
    held = [
        event
        for world in context.worlds
        for event in world.log
        if event.event == 'held'
    ]
    assert len(held) > len(context.worlds), len(held)


@then('what ran was always counted')
def check_counted(context):
    """Compare once more at the end; the runs compared after each event."""
    for world in context.worlds:
        _check_counted(world)


@then('all jobs ended once there were no limits')
@then('all jobs ended')
def check_all_ended(context):
    """Expect no accepted job that has not ended."""
    for world in context.worlds:
        assert not cell_history.unfinished_jobs(world)


@when(
    '{examples:d} random sequences of jobs are run without faults from seed '
    '{number:d}'
)
def run_without_faults(context, examples, number):
    """Let all jobs be within the rates."""
    _run_jobs(context, examples, number, _limits(5))


@when(
    "{examples:d} random sequences of jobs beyond their customers' rates are "
    'run from seed {number:d}'
)
def run_beyond_rates(context, examples, number):
    """Let one job a second be within the rates."""
    _run_jobs(context, examples, number, _limits(5, weight=1))


def _run_jobs(context, examples, number, customers):
    """Look at the first step of each customer after each turn."""
    context.worlds, context.startable = [], []
    patient = replace(cell_world.queue('/a/', 0), advisor=None, latency=1000)

    @seed(number)
    @settings(_EXAMPLES, max_examples=examples)
    @hypothesis_given(st.lists(_JOBS, min_size=5, max_size=15))
    def run(jobs):
        world = World(number)
        _set_limits(world, customers, (patient,))
        run_for(world, 0.2)
        for row in jobs:
            _apply_event(world, 'job', row)
            for _ in range(5):
                run_for(world, cell_world.TICK_S)
                context.startable.extend(_startable_first_steps(world))
        run_for(world, 3 * len(jobs) + 5)
        context.worlds.append(world)

    run()


@then('some of the jobs were surplus')
def check_some_surplus(context):
    """Guards against sequences that test nothing."""
    jobs = [job for one in context.worlds for job in one.cell.jobs.values()]
    assert any(job.enqueued.surplus for job in jobs)


def _startable_first_steps(world):
    """Yield the first step of each customer if it could start now."""
    lead = world.lead
    free_capacity = FreeCapacity(lead)
    for owner in _OWNERS:
        waiting = [
            step
            for step in lead.waiting.values()
            if step.job.enqueued.customer == owner
        ]
        if not waiting:
            continue
        overdue = overdue_at_limits(lead).get(owner)
        first = (
            overdue[0]
            if overdue
            else min(
                waiting,
                key=lambda step: fair_key(step, order_key(lead, step), 0),
            )
        )
        least = first.state.step.count if first.state.step.gang else 1
        limit = limit_without_zeros(world.cell.customers[owner].limit)
        left = minus(limit, _running(world.cell, owner))
        targets = free_capacity.targets.values()
        room = sum(fitting_tasks(free_capacity, first, targets).values())
        if fits(times(_TASK, least), left) and room >= least:
            yield first.state.key, left, room


@then(
    'no customer had a first step that its limit and free capacity allowed '
    'to start'
)
def check_work_conserving(context):
    """Expect that steps waited, but none in vain."""
    assert not context.startable, context.startable[:3]


@then("each customer's equal steps began in the order of their submission")
def check_order(context):
    """Capacity is never short, so only limits make steps wait."""
    for world in context.worlds:
        for owner in _OWNERS:
            begun = dict.fromkeys(
                dict(event.fields)['id']
                for event in world.log
                if event.event == 'placed'
                and world.callers.owners[dict(event.fields)['id']] == owner
            )
            own = [
                job for job in world.jobs if world.callers.owners[job] == owner
            ]
            shapes = {job: world.jobs[job].steps[0] for job in own}
            for shape in set(shapes.values()):
                alike = [
                    job
                    for job in own
                    if shapes[job] == shape and job in world.cell.jobs
                ]
                started = [job for job in begun if shapes[job] == shape]
                assert started == alike, (started, alike)


@given('a cell of 6 targets with customers')
def start_cell(context):
    """Start a cell whose customers have no limit yet."""
    context.world = World(1)
    run_for(context.world, 1)
    _set_limits(context.world, _limits(0))
    context.number = 0


def _submit(context, count, owner='one', **more):
    """Submit a job of one step; return the sequence number."""
    context.number += 1
    job = small_job(context.number, count, **more)
    return submit(context.world, job, owner=owner)


def _count_running(context, owner='one'):
    return _running(context.world.cell, owner).cpus // _TASK.cpus


@when(
    'a customer has {count:d} tasks running, and its limit is lowered to '
    '{limit:d}'
)
def lower_limit(context, count, limit):
    """Submit other work too, which waits."""
    _submit(context, count, estimate=2)
    run_for(context.world, 0.5)
    assert _count_running(context) == count
    context.waiting = f'{context.number + 1:016x}'
    _submit(context, 2)
    _set_limits(context.world, _limits(limit))


@then(
    'all {count:d} run on to their end, and nothing starts before fewer than '
    '{limit:d} run'
)
def check_lowered(context, count, limit):
    """Look at the count at each start of the work that waited."""
    world = context.world
    counts = []

    def watch(record):
        if isinstance(record, RunsPlaced) and record.step.job != f'{1:016x}':
            counts.append(_running(world.follower, 'one').cpus)

    world.callers.watch_record = watch
    run_for(world, 20)
    cell_history.check_history(world)
    assert counts and max(counts) < limit * _TASK.cpus, counts
    first = world.cell.jobs[f'{1:016x}'].steps[0, 0]
    assert len(first.done) == count and set(first.numbers.values()) == {1}


@when(
    'a customer waits at its limit of {limit:d} tasks, and the limit is '
    'raised to {raised:d}'
)
def raise_limit(context, limit, raised):
    """Let the tasks run for longer than the scenario takes."""
    _wait_at_limit(context, limit)
    _set_limits(context.world, _limits(raised))


@when('a customer waits at its limit of {limit:d} tasks, and is removed')
def remove_customer(context, limit):
    """Store a configuration with the other customer only."""
    _wait_at_limit(context, limit)
    _set_limits(context.world, _limits(limit)[1:])


def _wait_at_limit(context, limit):
    _set_limits(context.world, _limits(limit))
    _submit(context, 8, estimate=6)
    run_for(context.world, 1)
    assert _count_running(context) == limit
    context.limit = limit


@then('{count:d} more tasks run 0.5 s later')
def check_raised(context, count):
    """Calls to the advisor take a part of that time."""
    run_for(context.world, 0.5)
    assert _count_running(context) == context.limit + count


@then('all its tasks run 0.5 s later')
def check_unlimited(context):
    """Expect the whole step."""
    run_for(context.world, 0.5)
    assert _count_running(context) == 8


_REQUESTS = {
    'a gang of 5 tasks': (5, {'gang': True}),
    'a gang of 4 tasks': (4, {'gang': True}),
    '5 tasks': (5, {}),
    'a task as large as 5': (1, {'size': times(_TASK, 5)}),
    'a gang of 5 as nobody': (5, {'gang': True, 'owner': ''}),
}


@when('a customer with a limit of {limit:d} tasks submits {what}')
def submit_within(context, limit, what):
    """Take the request from the table above, or a number of tasks."""
    _set_limits(context.world, _limits(limit))
    count, more = _REQUESTS.get(what) or (int(what.split()[0]), {})
    if not more.pop('owner', 'one'):
        _set_limits(context.world, None)
    context.seq = _submit(context, count, **more)
    context.count = count


@then('the answer has code {code:d}')
def check_code(context, code):
    """Wait for the answer; a refused job is unknown."""
    run_for(context.world, 0.1)
    answer = context.world.responses[context.seq]
    assert answer.code == code, answer
    accepted = code == ResultCode.ACCEPTED
    assert bool(context.world.cell.jobs) == accepted


@then('{count:d} of them run at a time, and all end')
def check_waves(context, count):
    """Count what runs in each turn; only the last wave may be smaller."""
    counts = set()
    for _ in range(1000):
        run_for(context.world, cell_world.TICK_S)
        counts.add(_count_running(context))
    assert max(counts) == count, counts
    assert not cell_history.unfinished_jobs(context.world)


@when('a customer at its limit has {count:d} urgent gangs waiting')
def hold_gangs(context, count):
    """Fill the limit with one job that runs for longer than the scenario."""
    _set_limits(context.world, _limits(4))
    _submit(context, 4, estimate=20)
    run_for(context.world, 0.5)
    assert _count_running(context) == 4
    for _ in range(count):
        _submit(context, 2, gang=True, estimate=0.1)
    run_for(context.world, 0.2)


@when('another customer submits a task')
def submit_other(context):
    """Its estimate makes it less urgent than the gangs."""
    _submit(context, 1, owner='two', estimate=3)


@then('that task starts within {seconds:g} s')
def check_other(context, seconds):
    """A call to the advisor takes 0.03 s."""
    run_for(context.world, seconds)
    assert _count_running(context, 'two') == 1


@then('no call to the advisor was made for the gangs')
def check_no_calls(context):
    """Read the answers of the advisor to the customer's steps."""
    world = context.world
    asked = {
        dict(event.fields)['id']
        for event in world.log
        if event.event == 'advice'
    }
    assert len(asked) == 2, asked
    assert len(world.lead.waiting) == 100


@then('a line "held" names the limit of the gangs\' customer')
def check_held_line(context):
    """Expect one line a gang."""
    lines = [
        dict(event.fields)
        for event in context.world.log
        if event.event == 'held'
    ]
    assert len({line['id'] for line in lines}) == 100 == len(lines), lines[:2]
    assert lines[0]['customer'] == 'one', lines[0]
    assert lines[0]['limit'] == (4000, 2000, 0), lines[0]
    assert lines[0]['running'] == (4000, 2000, 0), lines[0]


@when(
    'a customer with a limit of {limit:d} tasks has a gang of {count:d} '
    'waiting behind small tasks, and submits small tasks all the time'
)
def submit_gang_among_small(context, limit, count):
    """Submit more small tasks than the limit lets through."""
    world = context.world
    _set_limits(world, _limits(limit))
    _submit(context, 2 * limit)
    run_for(world, 0.3)
    _submit(context, count, gang=True)
    context.gang = f'{context.number:016x}'
    for _ in range(20):
        _submit(context, 4)
        run_for(world, 0.3)


@then('the gang starts within 6 s')
def check_gang_started(context):
    """The small tasks were submitted for 6 s."""
    assert context.world.cell.jobs[context.gang].started


@when(
    'a customer with a limit of {limit:d} tasks has a long-running one, and '
    'a gang of {count:d} waits'
)
def block_gang(context, limit, count):
    """The gang never fits beside the long-running task."""
    _set_limits(context.world, _limits(limit))
    _submit(context, 1, lasting=True, estimate=60)
    run_for(context.world, 0.5)
    _submit(context, count, gang=True)
    run_for(context.world, 1)
    assert _count_running(context) == 1
    _submit(context, 2, estimate=3)


@then('later tasks of that customer start within {seconds:g} s')
def check_not_blocked(context, seconds):
    """Expect the long-running task and the two later ones."""
    run_for(context.world, seconds)
    assert _count_running(context) == 3


@then(
    '{seconds:d} s later the lines "step waits" of the gangs have the cause '
    '"{cause}"'
)
def check_cause(context, seconds, cause):
    """Expect a line of each gang, and of no other step."""
    run_for(context.world, seconds)
    lines = [
        dict(event.fields)
        for event in context.world.log
        if event.event == 'step waits'
    ]
    assert len(lines) == 100, len(lines)
    assert {line['cause'] for line in lines} == {cause}, lines[0]


@then(
    'the metrics have {cores:d} cores of {limit:d} in use and {steps:d} steps '
    'held by customer "{name}", until it is removed'
)
def check_metrics(context, cores, limit, steps, name):
    """Read what a scrape shows, before and after a new configuration."""
    state = CellState()
    state.cell, state.lead = context.world.cell, context.world.lead
    meters = Meters()
    add_customer_gauges(meters, state)
    label = f'customer="{name}"'
    shown = show(meters).decode()
    for line in (
        f'daisygw_customer_running{{{label},resource="cores"}} {cores}.0',
        f'daisygw_customer_limit{{{label},resource="cores"}} {limit}.0',
        f'daisygw_customer_steps_held{{{label}}} {steps}.0',
    ):
        assert line in shown, shown
    _set_limits(context.world, _limits(limit)[1:])
    assert label not in show(meters).decode()
