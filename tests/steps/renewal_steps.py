"""Steps that execute a leader's effects on a target, on a virtual clock."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when

from daisygw.cell import (
    LOCAL_PROCESS,
    OrderOutcome,
    advance_clock,
    collect_output,
    place_waiting,
)
from daisygw.cell._targets import end_instance
from daisygw.contracts import JobSpec, LinkError, ResultCode, Size, Step
from daisygw.nodes import _clock, _effects, executing_effects
from daisygw.nodes._meters import Meters
from daisygw.platform._codec import decode_renewal_reply
from daisygw.zones import Members, Role
from standins import odd_messages
from standins import worker_model as workers
from tests import cell_world
from tests.cell_world import World
from tests.utils import run_virtually

_TURN_S = 0.05
_ROUND_TRIP_S = 0.005
_TARGET = 'w1'
_WORK_S = 0.5


class _Leader:
    """A leader, its only target, and what happens to them.

    ``acts`` are called at the start, each a second after the one before.
    """

    def __init__(self):
        self.world = World(1, targets=0)
        queue = replace(cell_world.queue('/a/', 0), advisor=None)
        cell_world.configure(self.world, 2, queues=(queue,))
        cell_world.add_worker(self.world, _TARGET)
        self.worker = self.world.workers[_TARGET]
        self.crashes = 0
        self.stops = 0
        self.acts = []

    def node(self):
        """Return a scheduler that leads alone."""
        replica = SimpleNamespace(
            role=Role.LEADER, members=Members(('me',)), name='me', term=1
        )
        calls = SimpleNamespace(
            start=self.start, stop=self.stop, renew=self.renew
        )
        return SimpleNamespace(
            cfg=SimpleNamespace(host='10.0.0.1'),
            calls=calls,
            group=SimpleNamespace(replica=replica),
            state=SimpleNamespace(lead=self.world.lead),
            sessions={},
            wake=asyncio.Event(),
            background_tasks=set(),
            execute_effect=None,
            meters=Meters(),
        )

    async def start(self, instance, order, deadline, fence):
        """Start a run on the worker."""
        task = (order.run.step, order.run.index)
        status, reason = workers.start(
            self.worker,
            self.world.now,
            (task, order.run.number, deadline, fence),
            workers.TaskLoad(1000, 100, _WORK_S),
        )
        assert status == 200, reason
        return OrderOutcome.TAKEN, ''

    async def stop(self, instance, run, fence):
        """Stop a run on the worker."""
        self.stops += 1
        task = (run.step, run.index)
        workers.stop(self.worker, self.world.now, task, run.number, fence)
        return OrderOutcome.TAKEN

    async def renew(self, instance, fence, renewal):
        """Wait for an end, and return the worker's lists."""
        if self.crashes:
            self.crashes -= 1
            raise ValueError('a fault of the program')
        await asyncio.sleep(_ROUND_TRIP_S)
        until = self.world.now + renewal.wait
        while self.world.now < until and not self.worker.ends:
            await asyncio.sleep(_TURN_S)
        reply = cell_world.renewal_reply(
            self.world, self.worker, fence, renewal
        )
        if reply is None:
            raise LinkError(ResultCode.OUTCOME_UNKNOWN, 'fence')
        return reply


async def _turns(leader, node):
    """Take the leader's turns, and execute its effects."""
    loop = asyncio.get_running_loop()
    lead = leader.world.lead
    while True:
        leader.world.now = loop.time()
        workers.advance_clock(leader.worker, loop.time())
        advance_clock(lead, loop.time(), loop.time())
        place_waiting(lead)
        for outgoing in collect_output(lead)[1]:
            if outgoing.entry == LOCAL_PROCESS:
                node.execute_effect(outgoing.message)
        await asyncio.sleep(_TURN_S)


async def _run(leader, seconds):
    node = leader.node()
    clock = asyncio.get_running_loop().time
    with patch.object(_clock, 'now', clock):
        async with executing_effects(node):
            turns = asyncio.ensure_future(_turns(leader, node))
            for act in leader.acts:
                await asyncio.sleep(1)
                act()
            await asyncio.sleep(seconds)
            turns.cancel()


@given('a leader that renews the lease of a target')
def renewing_leader(context):
    """Prepare the leader; it runs in the last step."""
    context.leader = _Leader()


@when('the target is removed and listed again between two checks')
def list_again(context):
    """Remove the target as lost, and let its next report arrive."""
    world = context.leader.world

    def act():
        (target,) = world.cell.targets.values()
        end_instance(world.lead, target, 'unreachable for too long')
        cell_world.report(world, _TARGET)

    context.leader.acts.append(act)


@when('a renewal crashes')
def crash_renewal(context):
    """Let the next call raise an error that nothing handles."""

    def act():
        context.leader.crashes = 1

    context.leader.acts.append(act)


@when('a job of 1 tasks is submitted')
def submit_job(context):
    """Submit a job of one task."""
    step = Step(1, Size(1000, 100, 0, 0), _WORK_S)
    job = JobSpec(f'{1:016x}', 'work', (step,))
    context.leader.acts.append(
        lambda: cell_world.submit(context.leader.world, job)
    )


@then('the job ends within {seconds:g} s, and none of its runs was stopped')
def check_job(context, seconds):
    """Run the leader; expect one run, which was not stopped."""
    run_virtually(_run(context.leader, seconds))
    (job,) = context.leader.world.cell.jobs.values()
    assert context.leader.stops == 0, context.leader.stops
    assert job.over, job.steps[0, 0].runs


@when("a worker's reply with {rows:d} ended runs is read")
def read_page(context, rows):
    """Decode a reply of the platform's form."""
    finished = [
        [number, f'{odd_messages.JOB_ID}.0.0.{number}', 1, 'done', '']
        for number in range(1, rows + 1)
    ]
    document = odd_messages.renewal_reply(finished=finished)
    context.reply = decode_renewal_reply(odd_messages.encode(document))


@then('more ended runs may follow: {more}')
def check_more_ended(context, more):
    """Only a page that is not full is known to be the last one."""
    assert context.reply.more_ended is (more == 'yes'), context.reply


@when('the target has left {count:d} calls without an answer')
def fail_calls(context, count):
    """Count the failures in the leader's state."""
    (context.target,) = context.leader.world.cell.targets.values()
    lead = context.leader.world.lead
    lead.lease_states[context.target.key].failures = count


@then('it is asked again after {seconds:g} s')
def check_retry_delay(context, seconds):
    """Compute the delay before the next call (s)."""
    exc = LinkError(ResultCode.OUTCOME_UNKNOWN, 'silent')
    lead = context.leader.world.lead
    delay = _effects._retry_delay(lead, context.target, exc)
    assert delay == seconds, delay
