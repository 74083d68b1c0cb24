"""Steps about calls to a leader that is lost, on a virtual clock."""

import asyncio

from behave import given, then, when
from falcon import testing

from daisygw.contracts import (
    CellResponse,
    ConfigRequest,
    ResultCode,
    SchedulerList,
)
from daisygw.links.processes import Link
from daisygw.nodes import NodeSettings, Peers, SchedulerNode, call_leader
from daisygw.nodes._peers import apply_scheduler_list, on_response
from daisygw.platform._http import control_app
from tests.utils import run_virtually

_OLD_LEADER_HOST = '10.0.0.1'
_NEXT_LEADER_HOST = '10.0.0.2'
_CALL_TIMEOUT_S = 2.7
# Interval at which a waiting call checks for a leader.
_POLL_INTERVAL_S = 0.1


def _link(host, heard):
    link = Link(host)
    link.up = True
    link.heard = heard
    return link


def _peers(age):
    now = asyncio.get_running_loop().time()
    peers = Peers('entry/me', '10.0.0.9', 1)
    peers.links = {
        _OLD_LEADER_HOST: _link(_OLD_LEADER_HOST, now - age),
        _NEXT_LEADER_HOST: _link(_NEXT_LEADER_HOST, now),
    }
    peers.leader = _OLD_LEADER_HOST
    peers.term = 1
    return peers


@given('a process that heard from its leader {age:g} seconds ago')
def silent_leader(context, age):
    """Start with a leader that has been silent for a time."""
    context.make_peers = lambda: _peers(age)


@given('a process whose leader has just handed over')
def handed_over(context):
    """Start with a leader that has announced that it no longer leads."""

    def make_peers():
        peers = _peers(0)
        apply_scheduler_list(
            peers,
            SchedulerList((_OLD_LEADER_HOST, _NEXT_LEADER_HOST), '', 2),
            _OLD_LEADER_HOST,
        )
        return peers

    context.make_peers = make_peers


async def _call(context, next_after):
    loop = asyncio.get_running_loop()
    peers = context.make_peers()
    context.sent_copies = []
    if next_after is not None:
        loop.call_later(next_after, _elect_next, peers, context)
    started = loop.time()
    context.answer = await call_leader(peers, ConfigRequest, _CALL_TIMEOUT_S)
    context.took = loop.time() - started
    context.sent_copies += peers.links[_OLD_LEADER_HOST].waiting


def _elect_next(peers, context):
    link = peers.links[_NEXT_LEADER_HOST]
    link.heard = asyncio.get_running_loop().time()
    apply_scheduler_list(
        peers,
        SchedulerList(
            (_OLD_LEADER_HOST, _NEXT_LEADER_HOST), _NEXT_LEADER_HOST, 2
        ),
        _NEXT_LEADER_HOST,
    )
    context.sent_copies += link.waiting
    for call in link.waiting:
        on_response(peers, CellResponse(call.seq, ResultCode.ANSWERED))


@when('it calls the leader, which answers a call of the process before it')
def answer_earlier_process(context):
    """Answer with the number of the first call of an earlier process."""
    earlier = next(Peers('entry/me', '10.0.0.9', 1).seq_numbers)
    make_peers = context.make_peers

    def make_answered_peers():
        peers = make_peers()
        response = CellResponse(earlier, ResultCode.ACCEPTED)
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, on_response, peers, response)
        return peers

    context.make_peers = make_answered_peers
    call(context)


@when('it calls the leader')
def call(context):
    """Call the leader and wait for the answer."""
    run_virtually(_call(context, None))


@when('it calls the leader and another one leads {after:g} seconds later')
def call_during_change(context, after):
    """Call the leader and let another one follow it meanwhile."""
    run_virtually(_call(context, after))


@when("it is restarted, calls the leader, and its predecessor's answer arrives")
def call_after_restart(context):
    """Answer the first call of the process before the restart."""

    async def call_twice():
        earlier = context.make_peers()
        calling = asyncio.ensure_future(
            call_leader(earlier, ConfigRequest, _CALL_TIMEOUT_S)
        )
        await asyncio.sleep(0)
        (request,) = earlier.links[_OLD_LEADER_HOST].waiting
        calling.cancel()
        peers = context.make_peers()
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, _keep_heard, peers)
        loop.call_later(
            0.1,
            on_response,
            peers,
            CellResponse(request.seq, ResultCode.ANSWERED),
        )
        started = loop.time()
        context.answer = await call_leader(
            peers, ConfigRequest, _CALL_TIMEOUT_S
        )
        context.took = loop.time() - started

    run_virtually(call_twice())


def _keep_heard(peers):
    """Let the leader be heard every 0.1 s."""
    loop = asyncio.get_running_loop()
    peers.links[_OLD_LEADER_HOST].heard = loop.time()
    loop.call_later(0.1, _keep_heard, peers)


@then(
    'the answer is {code} after {took:g} seconds, with a retry after {back:g} s'
)
def check_answer(context, code, took, back):
    """Compare the answer, and its time within two poll intervals."""
    assert context.answer.code == ResultCode[code], context.answer
    assert abs(context.took - took) <= 2 * _POLL_INTERVAL_S, context.took
    assert context.answer.retry_after == back, context.answer


@then('the answer comes from the next leader')
def check_next(context):
    """Expect the code that only the next leader gives."""
    assert context.answer.code == ResultCode.ANSWERED, context.answer


@then('it was sent twice')
def check_sent_twice(context):
    """Expect two copies of the request."""
    assert len(context.sent_copies) == 2, context.sent_copies


@given('a scheduler that leads and can commit nothing')
def isolated_leader(context):
    """It has applied what it decides, but runs no turn."""
    context.cfg = NodeSettings(
        'n', '10.9.0.1', 'd', 1, ('10.9.0.9',), False, None, 4, 8
    )


@when('a worker reports twice that it is ready, and twice that it drains')
def report_twice(context):
    """Record the status of each report; each first one waits for a commit."""
    report = {
        'service': 'svc',
        'address': '10.0.1.1:80',
        'zone': 'z',
        'version': 'v1',
        'slots': 8,
        'coldRemainingMs': 0,
        'capacity': {'cpu': 8000, 'memMb': 8000, 'gpu': 0},
        'labels': ['a', 'r1'],
        'clockMs': 1000,
        'born': 1_700_000_000_000,
    }
    context.statuses = []

    async def act():
        node = SchedulerNode(context.cfg, None)
        node.group.machine.elected(1)
        node.peers.leader = node.peers.host
        async with testing.ASGIConductor(control_app(node)) as worker:
            for number, state in enumerate((
                'ready',
                'ready',
                'draining',
                'draining',
            )):
                result = await worker.simulate_put(
                    '/instances/i-1',
                    json={**report, 'state': state, 'sequence': number},
                )
                context.statuses.append(result.status_code)

    asyncio.run(act())


@then('none of its reports is acknowledged')
def check_no_acknowledgement(context):
    """Expect no success."""
    assert 200 not in context.statuses, context.statuses
