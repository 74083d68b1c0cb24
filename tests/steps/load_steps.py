"""Steps that replay a load through a cell's decisions."""

from dataclasses import replace

from behave import given, then, when

from daisygw.cell import on_job_ask
from daisygw.contracts import (
    Advisor,
    JobRequest,
    JobSpec,
    JobVerb,
    RunsPlaced,
    Size,
    Step,
    StepKey,
)
from standins import cell_load
from standins.cell_figures import figures
from standins.cell_load import World, replay_load, run_leader_turn
from standins.cell_loads import LOADS
from standins.load_types import JobKind, Load

_THIRD = Size(20_000, 60_000, 0, 0)
_ADVISOR = Advisor(0.7, 0.01, 2.0)
_QUICK = Advisor(0.02, 0.0002, 2.0)
_CALL = _ADVISOR.decision + 30 * _ADVISOR.per_target
_GANG = 'f' * 16
_FILLER = 'e' * 16


def _kind(name, **more):
    usual = JobKind(
        name, 0, 1, 4, 1, 4000, 4000, 0, 4, 3, 1, 1, 0.2, _ADVISOR, 0.3, 3, 0
    )
    return replace(usual, **more)


def _hand_in(world, name, kind, step, work):
    job = JobSpec(name, 'work', (step,))
    world.jobs[name] = (kind, job, world.now)
    world.work_by_step[name] = [work]
    ask = JobRequest(1, JobVerb.SUBMIT, 'host', f'/{kind.name}/{name}', job)
    on_job_ask(world.lead, ask, 'entry')


def _run_for(world, seconds):
    until = world.now + seconds
    while world.now < until:
        run_leader_turn(world)


def _step(world, name):
    return world.cell.jobs[name].steps[0, 0]


@given('a cell of 60 targets whose advisor approves 3 of 10')
def approved_cell(context):
    """Make a free cell without arrivals."""
    context.kind = _kind('gang')
    load = Load((context.kind,), targets=60, rack=8, callers=9)
    context.world = World(load, 1)
    _run_for(context.world, 1)


@given('{part:d} thirds of every target are taken')
def fill(context, part):
    """Let tasks that nothing else may use hold room on each target."""
    world = context.world
    count = len(world.targets)
    job = JobSpec(_FILLER, 'work', (Step(part * count, _THIRD, 30),))
    world.jobs[_FILLER] = (context.kind, job, world.now)
    rows = tuple(
        (index, 1, instance)
        for index, instance in enumerate(list(world.cell.targets) * part)
    )
    world.lead.record(cell_load.enqueued_record(job, context.kind, world.now))
    world.lead.record(RunsPlaced(StepKey(_FILLER, 0, 0), rows))
    for run in _step(world, _FILLER).runs.values():
        world.targets[run.instance].running[run.step, run.index] = run


@when('a gang of 20 tasks that fill a third of a target is handed in')
def hand_gang_in(context):
    """Hand the gang in."""
    step = Step(20, _THIRD, 5, gang=True)
    _hand_in(context.world, _GANG, context.kind, step, 5)
    context.since = context.world.now


@when('the room comes free 6 seconds later')
def free_room(context):
    """End what fills the targets."""
    world = context.world
    _run_for(world, 6)
    assert not _step(world, _GANG).numbers
    for run in list(_step(world, _FILLER).runs.values()):
        cell_load.finish(world, run)
    context.since = world.now


@then('it has started within 1.5 times one call about 30 targets')
def check_started(context):
    """Let that time pass."""
    _run_for(context.world, context.since + 1.5 * _CALL - context.world.now)
    assert _step(context.world, _GANG).numbers


@then('after one call it knows of twice the room that it needs')
def check_known(context):
    """Let one call of the longest kind pass."""
    world = context.world
    _run_for(world, _ADVISOR.decision + 40 * _ADVISOR.per_target + 0.1)
    approval = world.lead.approvals[StepKey(_GANG, 0, 0)]
    assert 3 * len(approval.tickets) >= 40, approval.tickets


@given('a cell of 60 targets of which every fourth is slow')
def uneven_cell(context):
    """Make a cell with a flow of small jobs."""
    kind = _kind(
        'task',
        rate=24,
        off=0.9,
        approved=0.9,
        tasks_per_step=6,
        cpus=12_000,
        advisor=_QUICK,
    )
    context.world = World(Load((kind,), targets=60, rack=8, callers=40), 1)
    for number, target in enumerate(context.world.targets.values()):
        target.speed = 0.55 if number % 4 == 0 else 1.2


@when('jobs whose estimates are far off run for 20 seconds')
def run_jobs(context):
    """Let time pass."""
    _run_for(context.world, 20)


@then('the slow targets are told from the fast ones')
def check_paces(context):
    """Compare learned paces with speeds: the slow half of all is slow."""
    world = context.world
    relative_speeds = {
        key: relative_speed.slowness
        for key, relative_speed in world.lead.relative_speed.items()
    }
    slow = [
        relative_speeds[key]
        for key in relative_speeds
        if world.targets[key].speed < 1
    ]
    fast = [
        relative_speeds[key]
        for key in relative_speeds
        if world.targets[key].speed > 1
    ]
    assert len(slow) >= 12 and len(fast) >= 40, (len(slow), len(fast))
    middle = sorted(fast)[len(fast) // 2]
    told = sum(relative_speed > 1.4 * middle for relative_speed in slow)
    assert told >= 0.8 * len(slow), (sorted(slow), sorted(fast))
    wronged = sum(relative_speed > 1.4 * middle for relative_speed in fast)
    assert wronged <= 0.2 * len(fast), (sorted(slow), sorted(fast))


@when('the load "{name}" is replayed for {seconds:d} s from seed {seed:d}')
def replay(context, name, seconds, seed):
    """Replay the first seconds of a load."""
    load = replace(LOADS[name], seconds=seconds)
    context.world = World(load, seed)
    replay_load(context.world, after=40)
    context.figures = figures(context.world)


@then('"{kind}" jobs are in time in at least {share:d} of 100 cases')
def check_in_time(context, kind, share):
    """Compare with the bound."""
    found = context.figures[kind]
    assert found.in_time >= share / 100, found


@then('the worth earned is at least {share:g} of the worth owed')
def check_worth(context, share):
    """Compare with the users' target."""
    assert context.figures[''].earned >= share, context.figures
