"""Steps about the orders that a leader sends, on a virtual clock."""

import asyncio
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from daisygw.cell import Probe, Run, StartOrder, StopOrder
from daisygw.cell import _renewals as renewals
from daisygw.contracts import StepKey
from daisygw.nodes import _clock, executing_effects
from standins.order_targets import OrderTargets, scheduler_node
from tests.cell_world import SERVICE, World, run_for
from tests.utils import run_virtually

_OBSERVED_S = 12.0
_JOB = f'{1:016x}'


def _runs(lead, count, first=0):
    """Return runs of one step, ``count`` on each target."""
    step = StepKey(_JOB, 0, 0)
    keys = list(lead.cell.targets)
    return [
        Run(step, first + number, 1, keys[number % len(keys)])
        for number in range(count * len(keys))
    ]


@given('a leader of {count:d} targets that take {stop_s:g} s for each start')
@given('a leader of {count:d} targets that take {stop_s:g} s for each stop')
def lead_targets(context, count, stop_s):
    """Let all targets have answered the leader."""
    world = World(1, targets=count)
    run_for(world, 1)
    context.targets = OrderTargets(world.lead, stop_s)
    context.lead = world.lead


@given('a configuration with {count:d} connections for each target')
def configure_connections(context, count):
    """Replace the configuration of the cell."""
    cell = context.lead.cell
    cell.cfg = replace(cell.cfg, connections=((SERVICE, count),))


def _observe(context, effects):
    """Execute effects at once, then wait; keep when they began (s)."""

    async def run():
        node = scheduler_node(context.targets)
        async with executing_effects(node):
            context.began_at = asyncio.get_running_loop().time()
            for effect in effects:
                node.execute_effect(effect)
            await asyncio.sleep(_OBSERVED_S)

    with (
        mock.patch('daisygw.nodes._executor.holds_leader_lease', _always),
        mock.patch('daisygw.nodes._orders.start_deadline', _deadline),
        mock.patch.object(_clock, 'now', lambda: context.lead.now),
    ):
        run_virtually(run())


def _always(replica, now):
    return True


def _deadline(lead, run):
    return renewals.START_VALIDITY_S


def _stop(context, runs, others=()):
    context.runs = runs
    stops = [StopOrder(run) for run in runs]
    _observe(context, [*stops, *others])


@when('{count:d} tasks on each of the targets are stopped at once')
def stop_many(context, count):
    """Order all stops in one turn."""
    _stop(context, _runs(context.lead, count))


@when(
    '{count:d} tasks on each of the targets are stopped at once, and '
    '{starts:d} others started'
)
def stop_and_start(context, count, starts):
    """Order the starts, and a probe, behind the stops."""
    context.started = _runs(context.lead, starts, first=count)
    orders = [StartOrder(run, '', '', '') for run in context.started]
    probes = [Probe(key) for key in context.lead.cell.targets]
    _stop(context, _runs(context.lead, count), [*orders, *probes])


@when(
    '{count:d} tasks on each of the targets are stopped at once, and '
    '{silent:d} targets answer nothing'
)
def stop_at_silent(context, count, silent):
    """Let the first targets leave all stops unanswered, unknown so far."""
    context.targets.silent.update(list(context.lead.cell.targets)[:silent])
    _stop(context, _runs(context.lead, count))


@when(
    '{count:d} tasks on each of the targets are stopped at once, and {more:d} '
    'more on one of them'
)
def stop_more(context, count, more):
    """Order the others first."""
    runs = _runs(context.lead, count)
    numbers = range(len(runs), len(runs) + more)
    runs += [replace(runs[0], index=number) for number in numbers]
    _stop(context, runs)


@when(
    '{count:d} tasks on each of the targets are started at once, and '
    '{silent:d} targets answer nothing'
)
def start_at_silent(context, count, silent):
    """Let the first targets leave all starts unanswered, unknown so far."""
    context.targets.silent.update(list(context.lead.cell.targets)[:silent])
    context.runs = _runs(context.lead, count)
    _observe(context, [StartOrder(run, '', '', '') for run in context.runs])


@then('each stop was confirmed within {seconds:g} s, and sent once')
def check_stopped(context, seconds):
    """Expect all stops in time, and no copies."""
    targets = context.targets
    assert set(context.runs) <= set(targets.confirmed_at)
    took = max(targets.confirmed_at.values()) - context.began_at
    assert took <= seconds, took
    assert set(targets.sent.values()) == {1}, targets.sent


@then('each start of the others was confirmed within {seconds:g} s')
@then('each stop of the others was confirmed within {seconds:g} s')
def check_others(context, seconds):
    """Look at the targets that answer."""
    targets = context.targets
    others = [run for run in context.runs if run.instance not in targets.silent]
    late = [
        run
        for run in others
        if targets.confirmed_at.get(run, float('inf'))
        > context.began_at + seconds
    ]
    assert not late, (len(late), len(others))


@then('no target had more than {count:d} open orders')
def check_open(context, count):
    """Look at starts and stops together."""
    most = max(
        most
        for (kind, _), most in context.targets.most_open.items()
        if kind == 'orders'
    )
    assert most <= count, most


@then(
    'each start was sent within {seconds:g} s, and the target was probed '
    'within {probe_s:g} s'
)
def check_not_held_up(context, seconds, probe_s):
    """Expect no wait for the stops; 8 starts may be open."""
    targets = context.targets
    first = sorted(targets.sent_at.values())[:8]
    assert len(targets.sent_at) == len(context.started)
    assert max(first) - context.began_at <= seconds, first
    assert min(targets.probes) - context.began_at <= probe_s, targets.probes


@when('it is to be probed {count:d} times at once')
def probe_often(context, count):
    """Order all probes in one turn."""
    (key,) = context.lead.cell.targets
    _observe(context, [Probe(key) for _ in range(count)])


@then(
    'it had {count:d} open renewals at most, and was probed after the last '
    'request'
)
def check_probes(context, count):
    """Expect few calls for many requests."""
    targets = context.targets
    ((_, most),) = targets.most_open.items()
    assert most <= count, targets.most_open
    assert max(targets.probes) > context.began_at, targets.probes
