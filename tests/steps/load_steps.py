"""Steps that replay a user's load through a cell's decisions."""

from collections import Counter
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from daisygw.cell import _admission, on_job_request
from daisygw.cell._speeds import slowness_of
from daisygw.cell._target_statistics import RelativeSpeed
from daisygw.contracts import (
    Advisor,
    CellResponse,
    JobRequest,
    JobSpec,
    JobVerb,
    ResultCode,
    RunsPlaced,
    Size,
    Step,
    StepKey,
)
from standins import cell_load
from standins.cell_figures import figures
from standins.cell_load import World, replay_load, run_leader_turn
from standins.cell_loads import LOADS
from standins.cell_standstill import StandstillMonitor, observe
from standins.load_types import JobKind, Load

_THIRD_OF_TARGET = Size(20_000, 60_000, 0, 0)
_ADVISOR = Advisor(0.7, 0.01, 2.0)
_FAST_ADVISOR = Advisor(0.02, 0.0002, 2.0)
# A call takes longer than the part of a ticket's validity that is used.
_SLOW_ADVISOR = Advisor(1.12, 0.01, 1.5)
# Duration of an advisor call about 30 targets.
_CALL_S = _ADVISOR.decision + 30 * _ADVISOR.per_target
_SLOW_CALL_S = _SLOW_ADVISOR.decision + 30 * _SLOW_ADVISOR.per_target
_GANG_JOB = 'f' * 16
_ACCEPTED = 101
_FILLER_JOB = 'e' * 16
_PATIENT_JOB = 'd' * 16


def _job_kind(name, **more):
    usual = JobKind(
        name, 0, 1, 4, 1, 4000, 4000, 0, 4, 3, 1, 1, 0.2, _ADVISOR, 0.3, 3, 0
    )
    return replace(usual, **more)


def _submit(world, name, kind, step, work, owner=''):
    job = JobSpec(name, 'work', (step,))
    world.jobs[name] = (kind, job, world.now)
    world.work_by_step[name] = [work]
    request = JobRequest(
        1,
        JobVerb.SUBMIT,
        'host',
        f'/{kind.name}/{name}',
        job,
        cell_load.key_of(owner),
    )
    on_job_request(world.lead, request, 'entry')


def _run_for(world, seconds):
    until = world.now + seconds
    while world.now < until:
        run_leader_turn(world)


def _step_state(world, name):
    return world.cell.jobs[name].steps[0, 0]


@given('a cell of 60 targets whose advisor approves 3 of 10')
def approved_cell(context):
    """Start an idle cell without arrivals."""
    _start_cell(context, _job_kind('gang'))


@given('a cell of 60 targets whose advisor approves 3 of 10 and is slow')
def slowly_approved_cell(context):
    """Start an idle cell whose tickets expire before the next answer."""
    _start_cell(context, _job_kind('gang', advisor=_SLOW_ADVISOR))


@given(
    'a cell of 60 targets whose advisor is slow, and a customer that may run '
    'one gang at a time'
)
def limited_cell(context):
    """Give the first customer a limit of one target's processors."""
    context.kind = _job_kind('gang', advisor=_SLOW_ADVISOR)
    weights = {'weights': (1, 59), 'limit_factor': 1}
    load = Load((context.kind,), targets=60, rack=8, callers=9, **weights)
    context.world = World(replace(load, seconds=0), 1)
    _run_for(context.world, 1)


@when(
    'the customer submits {count:d} gangs one by one, and another customer one'
)
def submit_limited(context, count):
    """Two turns lie between the gangs, which need nearly the whole limit."""
    world = context.world
    step = Step(3, _THIRD_OF_TARGET, 60, gang=True)
    context.gangs = [f'{number:016x}' for number in range(count + 1)]
    for name in context.gangs:
        owner = 'customer-1' if name == context.gangs[-1] else 'customer-0'
        _submit(world, name, context.kind, step, 60, owner)
        _run_for(world, 0.03)
    _run_for(world, 3)


@then('all of them were accepted')
def check_accepted(context):
    """Expect none to be refused for the advisor's time."""
    refused = [
        one for one in context.gangs if one not in context.world.cell.jobs
    ]
    assert not refused, refused


@then('the advisor was asked about {count:d} of them')
def check_asked(context, count):
    """Expect the first gang of each customer."""
    asked = [key.job for key in context.world.lead.approvals]
    called = [
        key for key, one in context.world.lead.approvals.items() if one.tickets
    ]
    assert len(called) == count, (len(asked), called)


def _start_cell(context, kind):
    context.kind = kind
    context.patient = _job_kind(
        'patient', slack=100, approved=1, advisor=_FAST_ADVISOR
    )
    kinds = (context.kind, context.patient)
    load = Load(kinds, targets=60, rack=8, callers=9)
    context.world = World(load, 1)
    _run_for(context.world, 1)


@given('only {count:d} targets have answered')
def silence_targets(context, count):
    """Count a failed renewal of the others, until their next answer."""
    lease_states = list(context.world.lead.lease_states.values())
    for lease_state in lease_states[count:]:
        lease_state.failures = 1


@given(
    'only {count:d} targets have answered the leader, which was elected just '
    'now'
)
def elect_leader(context, count):
    """Let the leader know the others from its log only."""
    lead = context.world.lead
    lead.elected = context.world.now
    for lease_state in list(lead.lease_states.values())[count:]:
        lease_state.has_answered = False


@when('all targets have answered 0.1 seconds later')
def answer_renewals(context):
    """Clear the failed renewals; the first answers arrive."""
    _run_for(context.world, 0.1)
    for lease_state in context.world.lead.lease_states.values():
        lease_state.failures = 0
        lease_state.has_answered = True


@given('{part:d} thirds of every target are in use')
def fill(context, part):
    """Occupy thirds of every target with the tasks of a filler job."""
    world = context.world
    count = len(world.targets)
    job = JobSpec(
        _FILLER_JOB, 'work', (Step(part * count, _THIRD_OF_TARGET, 30),)
    )
    world.jobs[_FILLER_JOB] = (context.kind, job, world.now)
    rows = tuple(
        (index, 1, instance)
        for index, instance in enumerate(list(world.cell.targets) * part)
    )
    world.lead.record(cell_load.enqueued_record(job, context.kind, world.now))
    world.lead.record(RunsPlaced(StepKey(_FILLER_JOB, 0, 0), rows))
    for run in _step_state(world, _FILLER_JOB).runs.values():
        world.targets[run.instance].running[run.step, run.index] = run


@when('a gang of 20 tasks that fill a third of a target is submitted')
def submit_gang(context):
    """Submit the gang and record when."""
    step = Step(20, _THIRD_OF_TARGET, 5, gang=True)
    _submit(context.world, _GANG_JOB, context.kind, step, 5)
    context.since = context.world.now


@given("callers that wait {patience:g} s for a call's turn")
def limit_patience(context, patience):
    """A process gives up a call that has not had its turn by then."""
    context.world.advice_patience = patience


@when('{seconds:d} seconds pass')
def pass_time(context, seconds):
    """Run the leader."""
    _run_for(context.world, seconds)


@then('no call to the advisor was given up')
def check_none_given_up(context):
    """Read the number of calls."""
    world = context.world
    started = sum(
        bool(_step_state(world, one).numbers) for one in context.gangs
    )
    assert not world.failed_advice, (world.failed_advice, started)


@when(
    '{count:d} gangs of {tasks:d} tasks that fill a third of a target are '
    'submitted at once',
)
def submit_gangs(context, count, tasks):
    """Submit gangs that run for 5 s; all do not fit at once."""
    step = Step(tasks, _THIRD_OF_TARGET, 5, gang=True)
    context.gangs = [f'{number:016x}' for number in range(count)]
    for name in context.gangs:
        _submit(context.world, name, context.kind, step, 5)


@when('all of them have ended')
def wait_until_ended(context):
    """Run until every gang is over."""
    world = context.world
    until = world.now + 120
    while any(name not in world.ends for name in context.gangs):
        assert world.now < until, world.ends
        run_leader_turn(world)


@then('it expects the advisor to approve between 2 and 4 of 10 targets')
def check_approval_rate(context):
    """Compare the learned share with the advisor's, 0.3."""
    rate = context.world.lead.approval_rates[context.kind.name]
    assert 0.2 <= rate <= 0.4, rate


@when(
    '{count:d} tasks of the same size that are less urgent are submitted',
)
def submit_patient_tasks(context, count):
    """Submit tasks with a longer objective, which may run on any target."""
    step = Step(count, _THIRD_OF_TARGET, 5)
    _submit(context.world, _PATIENT_JOB, context.patient, step, 5)


@then('at least {count:d} of the other tasks have started before it')
def check_patient_tasks(context, count):
    """Compare the number of runs that the patient job has got."""
    started = len(_step_state(context.world, _PATIENT_JOB).numbers)
    assert started >= count, started


@when('the capacity is freed 6 seconds later')
def free_capacity(context):
    """End the filler job's tasks; the gang must not have started."""
    world = context.world
    _run_for(world, 6)
    assert not _step_state(world, _GANG_JOB).numbers
    for run in list(_step_state(world, _FILLER_JOB).runs.values()):
        cell_load.finish(world, run)
    context.since = world.now


@then(
    'it has started within 1.5 times the duration of one advisor call about '
    '30 targets',
)
def check_started(context):
    """Run for 1.5 calls since the submission or the freeing of capacity."""
    _run_for(context.world, context.since + 1.5 * _CALL_S - context.world.now)
    assert _step_state(context.world, _GANG_JOB).numbers


@when(
    '{count:d} gangs are submitted one by one while the leader expects 5 of 10 '
    'to be approved'
)
def submit_one_by_one(context, count):
    """Record how long each gang waits; the first request is often too small."""
    world = context.world
    step = Step(20, _THIRD_OF_TARGET, 5, gang=True)
    context.waits = []
    for number in range(count):
        world.lead.approval_rates[context.kind.name] = 0.5
        name = f'{number:016x}'
        _submit(world, name, context.kind, step, 5)
        since = world.now
        while not _step_state(world, name).numbers:
            run_leader_turn(world)
        context.waits.append(world.now - since)
        _run_for(world, 15)


@then(
    'each has started within 2.2 times the duration of one call of the slow '
    'advisor',
)
def check_started_in_second_round(context):
    """Two calls and the turns around them; some gangs need two calls."""
    calls = [round(wait / _SLOW_CALL_S, 2) for wait in context.waits]
    assert 1.5 < max(calls) <= 2.2, calls


@then(
    'all have started within 2.2 times the duration of one call of the slow '
    'advisor',
)
def check_all_started(context):
    """Run for two calls and the turns around them."""
    _run_for(context.world, 2.2 * _SLOW_CALL_S)
    for name in context.gangs:
        assert _step_state(context.world, name).numbers, name


@when(
    'the load "{name}" is replayed for {seconds:d} s from seed {seed:d} and '
    'watched',
)
def replay_watched(context, name, seconds, seed):
    """Replay the first seconds of a load, and 12 s without arrivals."""
    world = World(replace(LOADS[name], seconds=seconds), seed)
    context.world = world
    context.monitor = StandstillMonitor()
    until = world.now + seconds + 12
    while world.now < until:
        run_leader_turn(world)
        observe(world, context.monitor)


@then('no step stood still for {limit:d} s in a cell that is mostly free')
def check_standstills(context, limit):
    """Compare the longest time of each step with the limit."""
    found = context.monitor.longest.values()
    assert found
    broken = [one for one in found if one.until - one.since >= limit]
    assert not broken, broken


@then(
    'at least {count:d} "{kind}" jobs were accepted, and the others refused at '
    'once with code {code:d}'
)
def check_some_refused(context, count, kind, code):
    """Every job has its answer; those that were refused never ran."""
    world = context.world
    codes = _codes_of(world, kind)
    accepted = [name for name, own in codes.items() if own == _ACCEPTED]
    refused = [name for name, own in codes.items() if own == code]
    assert len(accepted) >= count, codes
    assert refused and len(accepted) + len(refused) == len(codes), codes
    assert not set(refused) & set(world.cell.jobs)


@then('all "{kind}" jobs were accepted')
def check_all_accepted(context, kind):
    """Look at the answers to the jobs of this kind."""
    codes = _codes_of(context.world, kind)
    assert codes and set(codes.values()) == {_ACCEPTED}, codes


def _codes_of(world, kind):
    return {
        name: world.codes.get(name)
        for name, (own, _, _) in world.jobs.items()
        if own.name == kind
    }


@given('jobs are accepted however late the advisor answers')
def accept_late(context):
    """Take out the bound of the admission until the scenario ends."""
    bound = mock.patch.object(_admission, 'MAX_ANSWER_TIME_S', float('inf'))
    bound.start()
    context.add_cleanup(bound.stop)


@then('at least {count:d} steps stood still for {limit:d} s')
def check_many_standstills(context, count, limit):
    """Count the steps whose longest time reached the limit."""
    found = context.monitor.longest.values()
    broken = [one for one in found if one.until - one.since >= limit]
    assert len(broken) >= count, broken


@then(
    'the times to return of those refused rise to between {low:d} and '
    '{high:d} s'
)
def check_times_to_return(context, low, high):
    """Read the answers in the order of the submissions."""
    answers = [
        row.message
        for row in context.world.lead.outbox
        if isinstance(row.message, CellResponse)
    ]
    refused = [one for one in answers if one.code == ResultCode.OVERLOADED]
    assert len(answers) == len(context.gangs), answers
    context.times = [one.retry_after for one in refused]
    assert context.times == sorted(context.times), context.times
    assert len(set(context.times)) == len(context.times), context.times
    assert low <= context.times[-1] <= high, context.times


@then('of those that return then, at least half are accepted')
def check_accepted_later(context):
    """Submit each refused gang again when it was told to come back."""
    world = context.world
    began = world.now
    step = Step(2, _THIRD_OF_TARGET, 5, gang=True)
    refused = [one for one in context.gangs if one not in world.cell.jobs]
    for name, after in zip(refused, context.times, strict=True):
        _run_for(world, began + after - world.now)
        _submit(world, name, context.kind, step, 5)
    accepted = [one for one in refused if one in world.cell.jobs]
    assert len(accepted) >= len(refused) / 2, (len(accepted), len(refused))


@then(
    'after one advisor call it holds approvals for twice the capacity it needs'
)
def check_approved(context):
    """Wait for one call about 40 targets; an approval covers 3 tasks."""
    world = context.world
    _run_for(world, _ADVISOR.decision + 40 * _ADVISOR.per_target + 0.1)
    approval = world.lead.approvals[StepKey(_GANG_JOB, 0, 0)]
    assert 3 * len(approval.tickets) >= 40, approval.tickets


@given('a cell of 60 targets of which every fourth is slow')
def uneven_cell(context):
    """Start a cell with a steady flow of small jobs."""
    kind = _job_kind(
        'task',
        rate=24,
        off=0.9,
        approved=0.9,
        tasks_per_step=6,
        cpus=12_000,
        advisor=_FAST_ADVISOR,
    )
    context.world = World(Load((kind,), targets=60, rack=8, callers=40), 1)
    for number, target in enumerate(context.world.targets.values()):
        target.speed = 0.55 if number % 4 == 0 else 1.2


@when('jobs whose estimates are far off run for {seconds:d} seconds')
def run_jobs(context, seconds):
    """Run the leader."""
    _run_for(context.world, seconds)


@then('the slow targets are distinguished from the fast ones')
def check_speeds(context):
    """Expect 80 % right when over 1.4 times the fast median means slow."""
    world = context.world
    slowness = {
        key: one.slowness for key, one in world.lead.relative_speed.items()
    }
    slow = [slowness[key] for key in slowness if world.targets[key].speed < 1]
    fast = [slowness[key] for key in slowness if world.targets[key].speed > 1]
    assert len(slow) >= 12 and len(fast) >= 40, (len(slow), len(fast))
    median_fast = sorted(fast)[len(fast) // 2]
    detected = sum(one > 1.4 * median_fast for one in slow)
    assert detected >= 0.8 * len(slow), (sorted(slow), sorted(fast))
    misjudged = sum(one > 1.4 * median_fast for one in fast)
    assert misjudged <= 0.2 * len(fast), (sorted(slow), sorted(fast))


@then(
    'after {seconds:d} seconds without runs all are expected to be equally fast'
)
def check_decayed(context, seconds):
    """Compare with the mean; the measured speeds differ by a factor of 2."""
    lead = context.world.lead
    lead.now += seconds
    found = [slowness_of(lead, one) for one in lead.cell.targets.values()]
    assert max(found) < 1.1 * min(found), sorted(found)


@given('a cell of 60 targets of which every fourth is known to be slow')
def known_uneven_cell(context):
    """Start an idle cell whose leader has learned the speeds."""
    _start_cell(context, _job_kind('gang'))
    for number, (key, target) in enumerate(context.world.targets.items()):
        target.speed = 0.55 if number % 4 == 0 else 1.2
        speed = RelativeSpeed(1 / target.speed, 8, context.world.now)
        context.world.lead.relative_speed[key] = speed


@given(
    '{part:d} thirds of every target are in use, but the slow ones have become '
    'free'
)
def fill_fast(context, part):
    """End the filler job's tasks on the slow targets."""
    fill(context, part)
    for run in list(_step_state(context.world, _FILLER_JOB).runs.values()):
        if context.world.targets[run.instance].speed < 1:
            cell_load.finish(context.world, run)


@then(
    'after {seconds:d} seconds {slow:d} of its tasks run on slow targets, and '
    '{fast:d} on fast ones'
)
def check_speeds_used(context, seconds, slow, fast):
    """Look at the runs of the one job; a target has room for three tasks."""
    world = context.world
    _run_for(world, seconds)
    job = _GANG_JOB if _GANG_JOB in world.jobs else _PATIENT_JOB
    runs = _step_state(world, job).runs.values()
    found = Counter(world.targets[run.instance].speed < 1 for run in runs)
    assert (found[True], found[False]) == (slow, fast), found


@when('{count:d} targets answer again after a silence of 5 s')
def end_silence(context, count):
    """Let the last answers of some targets be 5 s old until their next ones."""
    world = context.world
    for lease_state in list(world.lead.lease_states.values())[:count]:
        lease_state.last_answer_at = world.now - 5
    _run_for(world, 1.1)


@then(
    'after {seconds:d} seconds the target runs {first:d} tasks, and {then:d} '
    'after one of them has ended'
)
def check_trust(context, seconds, first, then):
    """Count the runs of the first target, which has room for three."""
    world = context.world
    runs = next(iter(world.cell.targets.values())).runs
    for expected in (first, then):
        _run_for(world, seconds)
        assert len(runs) == expected, runs
        cell_load.finish(world, next(iter(runs.values())))


@when('the load "{name}" is replayed for {seconds:d} s from seed {seed:d}')
def replay(context, name, seconds, seed):
    """Replay the first seconds of a load."""
    load = replace(LOADS[name], seconds=seconds)
    context.world = World(load, seed)
    replay_load(context.world, after=40)
    context.figures = figures(context.world)


@then('"{kind}" jobs are in time in at least {share:d} of 100 cases')
def check_in_time(context, kind, share):
    """Compare the share of jobs in time with the bound."""
    found = context.figures[kind]
    assert found.in_time >= share / 100, found


@then('the worth earned is at least {share:g} of the worth owed')
def check_worth(context, share):
    """Compare the share of worth earned with the users' target."""
    assert context.figures[''].earned >= share, context.figures
