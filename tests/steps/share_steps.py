"""Steps about customers' rates, their surplus, and their shares of a cell."""

from dataclasses import replace
from unittest import mock

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import seed, settings
from hypothesis import strategies as st

from daisygw.cell import _placement
from daisygw.cell._rates import (
    MAX_RETURN_S,
    CustomerRates,
    burst_of,
    is_bucket_empty,
    take_token,
)
from daisygw.contracts import ZERO_SIZE, ResultCode, RunsPlaced, Size
from standins import cell_load
from standins.cell_figures import earned_worth, job_outcomes
from standins.cell_loads import LOADS
from standins.load_types import Surge
from tests import cell_world
from tests.cell_history import spans
from tests.cell_jobs import small_job
from tests.cell_world import World, customer, run_for, submit

# Fills a target, so that six of them fill the cell.
_WHOLE_TARGET = Size(8000, 500, 0, 0)
_OWNERS = ('one', 'two')
# Time in which a customer of weight 1 gets a token (s).
_TOKEN_S = 1.0
# Allows for the rounding of a token, in jobs.
_ROUNDING = 0.01
_SURGE_AT = 7.6
_SURGE_S = 5.4


def _count(times, weight):
    """Return the times of the jobs within the rate, and those of surplus."""
    accepted, surplus = [], []
    rates = CustomerRates()
    for at in times:
        if is_bucket_empty(rates, 'one', weight, at):
            surplus.append(at)
        else:
            take_token(rates, 'one', weight, at)
            accepted.append(at)
    return accepted, surplus


@when(
    '{examples:d} random sequences of submissions are counted from seed '
    '{number:d}'
)
def count_random(context, examples, number):
    """Draw weights, and times of which some are close together."""
    context.counted = []

    @seed(number)
    @settings(deadline=None, database=None, max_examples=examples)
    @hypothesis_given(
        st.sampled_from((0.1, 0.3, 1, 2.5, 14)),
        st.lists(st.floats(0, 20), max_size=60),
    )
    def run(weight, times):
        context.counted.append((weight, *_count(sorted(times), weight)))

    run()


def _most_beyond(times, weight, at):
    """Return how many jobs are beyond the rate, of any span that ends then."""
    spans = [
        number - weight * (at - begin)
        for number, begin in enumerate(sorted(times, reverse=True), 1)
        if begin <= at
    ]
    return max(spans, default=0)


@then('no span of time had more jobs within the rate than rate and burst allow')
def check_rate(context):
    """Look at all spans that begin and end with a job."""
    for weight, accepted, _ in context.counted:
        most = weight * burst_of(weight) + _ROUNDING
        for number, at in enumerate(accepted, 1):
            beyond = _most_beyond(accepted[:number], weight, at)
            assert beyond <= most, (weight, beyond)


@then('a job was surplus only when a span before it had as many')
def check_full(context):
    """A customer that sends too much still gets its rate."""
    assert any(surplus for _, _, surplus in context.counted)
    for weight, accepted, surplus in context.counted:
        for at in surplus:
            earlier = [one for one in accepted if one <= at]
            beyond = _most_beyond(earlier, weight, at)
            assert beyond + 1 > weight * burst_of(weight), (weight, beyond)


@when(
    'a customer of weight {weight:d} submits {times:d} times its rate for 10 s'
)
def submit_too_much(context, weight, times):
    """Count the jobs, which arrive at even intervals."""
    count = 10 * times * weight
    arrivals = [number / (times * weight) for number in range(count)]
    context.counted = [(weight, *_count(arrivals, weight))]


@then('in each second its rate was within the rate')
def check_each_second(context):
    """Look at the seconds after the first burst, too."""
    ((weight, accepted, _),) = context.counted
    for second in range(10):
        served = sum(int(at) == second for at in accepted)
        assert served >= weight - 1, (second, served)


@when(
    'customers of weights {weights} submit evenly just below their '
    'rates for {seconds:d} s'
)
def submit_evenly(context, weights, seconds):
    """Count the jobs of each customer."""
    numbers = map(float, weights.replace('and', ',').split(','))
    context.counted = [
        _count(
            [1.001 * one / weight for one in range(int(seconds * weight))],
            weight,
        )
        for weight in numbers
    ]


@then('none of their jobs is surplus')
def check_no_surplus(context):
    """Read the counts of each weight."""
    for accepted, surplus in context.counted:
        assert accepted and not surplus, (len(accepted), surplus)


@given('a cell of 6 targets with customers of weight {weight:d}')
def start_cell(context, weight):
    """Start a cell without an advisor, whose jobs can wait."""
    context.world = World(1)
    run_for(context.world, 1)
    queue = replace(cell_world.queue('/a/', 0), advisor=None, latency=100)
    customers = tuple(customer(one, weight=weight) for one in _OWNERS)
    cell_world.configure(context.world, 2, queues=(queue,), customers=customers)
    context.number = 0


def _submit(context, jobs, owner='one', **more):
    """Submit jobs of one task each; return their sequence numbers."""
    sequence = []
    for _ in range(jobs):
        context.number += 1
        job = small_job(context.number, **more)
        sequence.append(submit(context.world, job, owner=owner))
    return sequence


def _jobs(world, owner='one'):
    return [
        job
        for job in world.cell.jobs.values()
        if job.enqueued.customer == owner
    ]


def _surplus_of(cell):
    return [job.enqueued.surplus for job in cell.jobs.values()]


@when(
    'a customer submits {count:d} jobs, the leader changes, and it submits '
    '{more:d} more'
)
def submit_to_both(context, count, more):
    """All start at once, so none is refused."""
    _submit(context, count)
    run_for(context.world, 0.5)
    cell_world.fail_over(context.world)
    run_for(context.world, 0.5)
    _submit(context, more)
    run_for(context.world, 0.1)


@then('its jobs {numbers} are surplus, on each replica')
def check_surplus(context, numbers):
    """A second has passed meanwhile, which allows one more job."""
    expected = set(map(int, numbers.replace('and', ',').split(',')))
    for cell in (context.world.cell, context.world.follower):
        marks = enumerate(_surplus_of(cell), 1)
        assert {number for number, mark in marks if mark} == expected


@then('6 s later it may submit {count:d} jobs within its rate')
def check_rate_again(context, count):
    """Submit one more, which is surplus."""
    run_for(context.world, 6)
    _submit(context, count + 1)
    *within, last = _surplus_of(context.world.cell)[-count - 1 :]
    assert last and not any(within), within


@when('a customer submits {count:d} jobs at once')
def submit_many(context, count):
    """Submit more than the rate allows."""
    context.sequence = _submit(context, count)


@then('all of them run 0.5 s later')
def check_all_run(context):
    """Expect a run of each job, surplus or not."""
    run_for(context.world, 0.5)
    assert any(_surplus_of(context.world.cell))
    begun = {key.job for key, _ in spans(context.world)}
    assert begun.issuperset(job.spec.id for job in _jobs(context.world))


def _fill(context, owner):
    """Occupy all targets with tasks of one job."""
    _submit(context, 1, owner, count=6, size=_WHOLE_TARGET, estimate=4)
    run_for(context.world, 0.3)
    usage = context.world.cell.customer_usage[owner]
    assert usage.cpus == 6 * _WHOLE_TARGET.cpus, usage


@when('the cell is full, and surplus was accepted before other jobs')
def submit_surplus_first(context):
    """No work within the rates waits when the surplus is submitted."""
    _submit(context, 5, estimate=0.1)
    run_for(context.world, 0.5)
    _fill(context, 'two')
    _submit(context, 2, size=_WHOLE_TARGET)
    run_for(context.world, 0.3)
    assert _surplus_of(context.world.cell)[-2:] == [True, True]
    _submit(context, 3, 'two', size=_WHOLE_TARGET, estimate=2)


@then('the surplus starts after them when the cell is free again')
def check_surplus_last(context):
    """Read the order of the placements of the last five jobs."""
    run_for(context.world, 20)
    begun = [
        int(dict(event.fields)['id'], 16)
        for event in context.world.log
        if event.event == 'placed'
    ]
    assert begun[-5:] == [9, 10, 11, 7, 8], begun


@when('the cell is full, and a job within the rate waits for capacity')
def wait_for_capacity(context):
    """The other customer's job waits."""
    _fill(context, 'two')
    _submit(context, 1, 'two', size=_WHOLE_TARGET)
    run_for(context.world, 0.3)


@then('{count:d} are accepted, and the others refused with code {code:d}')
def check_refused(context, count, code):
    """Read the answers in the order of the submissions."""
    run_for(context.world, 0.1)
    responses = context.world.responses
    context.answers = [responses[seq] for seq in context.sequence]
    codes = [answer.code for answer in context.answers]
    assert set(codes[:count]) == {ResultCode.ACCEPTED}, codes
    assert set(codes[count:]) == {code}, codes


@then('the refused ones are told to return one after the other, within 10 s')
def check_return_times(context):
    """The first returns when its customer's bucket has a token."""
    times = [one.retry_after for one in context.answers if one.retry_after]
    assert times == sorted(times), times
    assert times[0] >= _TOKEN_S / 2 and times[-1] <= MAX_RETURN_S, times
    assert len(set(times[:5])) == 5, times


@then("a resubmitted job is accepted, and so are the other customer's jobs")
def check_resubmitted(context):
    """The first of the customer's jobs is known already."""
    world = context.world
    accepted = _jobs(world)[0].spec
    seqs = [submit(world, accepted, owner='one'), *_submit(context, 2, 'two')]
    run_for(world, 0.1)
    codes = {world.responses[seq].code for seq in seqs}
    assert codes == {ResultCode.ACCEPTED}, codes


@when('a customer fills the cell, and both customers wait with equal jobs')
def wait_with_both(context):
    """The first customer's jobs are submitted first."""
    _fill(context, 'one')
    for owner in ('one', 'two'):
        _submit(context, 4, owner, size=_WHOLE_TARGET, estimate=9)
    world = context.world
    context.starts = []

    def watch(record):
        if isinstance(record, RunsPlaced):
            usage = world.follower.customer_usage
            held = [usage.get(owner, ZERO_SIZE).cpus for owner in _OWNERS]
            owner = world.callers.owners[record.step.job]
            context.starts.append((owner, held))

    world.callers.watch_record = watch


@then('each start is one of the customer that has less running')
def check_smaller_share(context):
    """Look at the starts while jobs of both customers wait."""
    run_for(context.world, 15)
    assert len(context.starts) == 8, context.starts
    for owner, held in context.starts[:5]:
        assert held[_OWNERS.index(owner)] == min(held), context.starts
    assert context.starts[0][0] == 'two', context.starts


@given('the configuration has no customers, and steps are placed {order}')
def remove_customers(context, order):
    """Replace the order until the scenario ends."""
    context.names_customers = False
    patch = mock.patch.object(_placement, 'order_key', _ORDERS[order])
    patch.start()
    context.add_cleanup(patch.stop)


def _by_acceptance(lead, waiting):
    return (waiting.job.enqueued.at, 0)


_ORDERS = {
    'by cost': _placement.order_key,
    'first come first served': _by_acceptance,
}


@when(
    'the load "{name}" is replayed from seeds 1 to {seeds:d}, with and without '
    'a surge of customer {number:d}, {factor:g} times its rate'
)
def replay_surge(context, name, seeds, number, factor):
    """Add up over the seeds what the others earn, until after the surge."""
    names = getattr(context, 'names_customers', True)
    surge = Surge(number, _SURGE_AT, _SURGE_S, factor)
    context.earned = []
    for one in (None, surge):
        load = replace(LOADS[name], surge=one, seconds=14)
        earned = 0
        for number in range(1, seeds + 1):
            world = cell_load.World(load, number, names_customers=names)
            cell_load.replay_load(world, after=8)
            earned += _earned_by_others(world, surge)
        context.earned.append(earned)


def _earned_by_others(world, surge):
    """Return the share of their worth that the other customers earned.

    Only jobs count that were submitted during the surge.
    """
    kinds = {kind.name: kind for kind in world.load.kinds}
    surging = cell_load.customer_name(surge.customer)
    began = 100 + surge.at
    earned, possible = 0.0, 0.0
    for job, outcome in zip(world.jobs, job_outcomes(world), strict=True):
        during = 0 <= world.jobs[job][2] - began < surge.seconds
        if during and world.customers[job] != surging:
            kind = kinds[outcome.kind]
            earned += earned_worth(outcome, kind)
            possible += kind.worth * outcome.worth_factor
    return earned / possible


@then(
    'during the surge the others earn at least {share:g} of what they earn '
    'without it'
)
def check_unfelt(context, share):
    """Compare the two shares of worth."""
    without, with_surge = context.earned
    assert with_surge >= share * without, context.earned


@then(
    'during the surge the others earn less than {share:g} of what they earn '
    'without it'
)
def check_felt(context, share):
    """Guards against a load whose surge nobody would feel in any case."""
    without, with_surge = context.earned
    assert with_surge < share * without, context.earned
