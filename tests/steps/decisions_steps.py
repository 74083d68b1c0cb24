"""Steps that play recorded arrivals on the decision core."""

from functools import cache

from behave import then, when

from bench import waits
from bench.core import (
    ENTRY,
    Core,
    Scale,
    place_tasks,
    random_contract,
    run_turn,
    submit,
)
from daisygw.contracts import (
    Kind,
    OrderRejected,
    Priority,
    ResultCode,
    Size,
    StopOrder,
    TaskReport,
    TaskStartOrder,
)
from daisygw.zones import (
    collect_output,
    finish_turn,
    on_order_rejected,
    on_report,
)


@cache
def played(name):
    """Play a list once for all scenarios that ask for it."""
    return getattr(waits, name)(waits.CURRENT_POLICY)


@when('the arrivals "{name}" are played')
def play(context, name):
    """Play them under the present policy."""
    context.figures = played(name)


@when('the arrivals "{name}" are played with seed {seed:d}')
def play_seeded(context, name, seed):
    """Play them under the present policy, with other luck."""
    context.figures = getattr(waits, name)(waits.CURRENT_POLICY, seed)


@then('{figure} is at most {times:g} times {other}')
def check_times(context, figure, times, other):
    """Compare two figures."""
    figures = context.figures
    assert figures[figure] <= times * figures[other], figures


@then('{figure} is at least {bound:g}')
def check_least(context, figure, bound):
    """Compare a figure with its bound."""
    assert context.figures[figure] >= bound, context.figures


@then('{figure} is at most {bound:g}')
def check_most(context, figure, bound):
    """Compare a figure with its bound."""
    assert context.figures[figure] <= bound, context.figures


@when('{count:d} tasks are placed on 24, 290 and 2900 workers')
def place_many(context, count):
    """Place them, in cells that hold them."""
    context.looked = {}
    for workers in (24, 290, 2900):
        core = Core(Scale(workers, 0, 20, 100), waits.CURRENT_POLICY)
        place_tasks(core, count)
        lead = core.lead
        context.looked[workers] = lead.index.looked_at / lead.decisions


@then(
    'as many candidates are looked at in a decision, whatever the workers',
)
def check_looked(context):
    """Compare the sizes: 120 times the workers, the same work."""
    looked = context.looked
    assert looked[2900] <= looked[24] * 1.1, looked


def _messages(core):
    finish_turn(core.lead)
    return [tell.message for tell in collect_output(core.lead)[1]]


@when('a full cell of checkpointing work gets an urgent request')
def fill_and_press(context):
    """Fill all slots, then submit."""
    core = Core(Scale(4, 0, 1), waits.CURRENT_POLICY)
    batch = random_contract(
        core, count=32, kind=Kind.BATCH, checkpoint=True, size=Size()
    )
    submit(core, batch)
    run_turn(core, 0.01)
    context.core = core
    context.urgent = random_contract(
        core, priority=Priority.URGENT, size=Size()
    )
    submit(core, context.urgent)
    context.told = _messages(core)


@then('one task is told to stop, and the urgent one is placed when it has')
def check_preempted(context):
    """Report the stop, and look for the order."""
    stops = [one for one in context.told if isinstance(one, StopOrder)]
    assert len(stops) == 1, context.told
    stop = stops[0]
    assert stop.code == ResultCode.PREEMPTED
    report = TaskReport(stop.key, stop.attempt, stop.code)
    on_report(context.core.lead, report, ENTRY)
    orders = [getattr(one, 'key', None) for one in _messages(context.core)]
    assert context.urgent.id in [key.job for key in orders if key], orders


@when('an order is given, and its entry has let the job go')
def abandoned(context):
    """Submit, take the order, and let go."""
    context.core = Core(Scale(2, 0, 1), waits.CURRENT_POLICY)
    submit(context.core, random_contract(context.core))
    orders = [
        one
        for one in _messages(context.core)
        if isinstance(one, TaskStartOrder)
    ]
    assert len(orders) == 1
    order = orders[0]
    on_order_rejected(
        context.core.lead, OrderRejected(order.key, order.attempt), ENTRY
    )


@then('the capacity is free again, and no further order is given')
def check_let_go(context):
    """Look at the replicated state and the next turn."""
    told = _messages(context.core)
    assert not any(isinstance(one, TaskStartOrder) for one in told), told
    assert context.core.lead.replicated.held.slots == 0


@then('the job ends as not run once it was parked long enough')
def check_parked(context):
    """Let the time pass."""
    core = context.core
    run_turn(core, core.lead.policy.park + 1)
    ended = core.lead.replicated.job_registry.ended
    assert ended == {ResultCode.CALLER_GONE: 1}, ended
