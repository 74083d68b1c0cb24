"""Steps that replay recorded arrivals through the placement decisions."""

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
    TaskReport,
    TaskStartOrder,
    TaskStopOrder,
)
from daisygw.zones import (
    collect_output,
    finish_turn,
    on_order_rejected,
    on_task_report,
)


@cache
def replayed(name):
    """Replay a list once for all scenarios that use it."""
    return getattr(waits, name)(waits.CURRENT_POLICY)


@when('the arrivals "{name}" are replayed')
def replay(context, name):
    """Replay them under the current policy."""
    context.figures = replayed(name)


@when('the arrivals "{name}" are replayed with seed {seed:d}')
def replay_seeded(context, name, seed):
    """Replay them under the current policy with another seed."""
    context.figures = getattr(waits, name)(waits.CURRENT_POLICY, seed)


@then('{figure} is at most {times:g} times {other}')
def check_times(context, figure, times, other):
    """Compare a figure with a multiple of another."""
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
    """Place them and record the candidates examined per decision."""
    context.examined = {}
    for workers in (24, 290, 2900):
        core = Core(Scale(workers, 0, 20, 100), waits.CURRENT_POLICY)
        place_tasks(core, count)
        lead = core.lead
        context.examined[workers] = lead.index.looked_at / lead.decisions


@then(
    'a decision examines as many candidates, whatever the number of workers',
)
def check_examined(context):
    """Allow 10 % more candidates for 120 times the workers."""
    examined = context.examined
    assert examined[2900] <= examined[24] * 1.1, examined


def _messages(core):
    finish_turn(core.lead)
    return [outgoing.message for outgoing in collect_output(core.lead)[1]]


@when('a full cell of checkpointing work gets an urgent request')
def preempt(context):
    """Fill all slots, then submit an urgent request."""
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
    context.messages = _messages(core)


@then('one task is ordered to stop, and the urgent one is placed when it has')
def check_preempted(context):
    """Expect one stop, report it, and expect an order for the urgent job."""
    stops = [one for one in context.messages if isinstance(one, TaskStopOrder)]
    assert len(stops) == 1, context.messages
    stop = stops[0]
    assert stop.code == ResultCode.PREEMPTED
    report = TaskReport(stop.key, stop.attempt, stop.code)
    on_task_report(context.core.lead, report, ENTRY)
    orders = [getattr(one, 'key', None) for one in _messages(context.core)]
    assert context.urgent.id in [key.job for key in orders if key], orders


@when(
    'an order is sent, and its entry rejects it because it has dropped the job'
)
def reject_order(context):
    """Submit a job and reject its start order."""
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


@then('the capacity is free again, and no further order is sent')
def check_released(context):
    """Expect no held slot and no start order in the next turn."""
    messages = _messages(context.core)
    assert not any(isinstance(one, TaskStartOrder) for one in messages), (
        messages
    )
    assert context.core.lead.replicated.held.slots == 0


@then('the job ends with CALLER_GONE after the longest time it may be parked')
def check_expired(context):
    """Run a turn after the policy's park time."""
    core = context.core
    run_turn(core, core.lead.policy.park + 1)
    ended = core.lead.replicated.job_registry.ended
    assert ended == {ResultCode.CALLER_GONE: 1}, ended
