"""Steps about questions to a leader that is lost, on a virtual clock."""

import asyncio

from behave import given, then, when

from daisygw.contracts import (
    CellResponse,
    ConfigRequest,
    ResultCode,
    SchedulerList,
)
from daisygw.links.processes import Link
from daisygw.nodes import Peers, call_leader
from daisygw.nodes._peers import apply_scheduler_list, on_answer
from tests.utils import run_virtually

_OLD = '10.0.0.1'
_NEXT = '10.0.0.2'
_PATIENCE = 2.7
# Questions look for a leader this often, s.
_LOOK = 0.1


def _link(host, heard):
    link = Link(host)
    link.up = True
    link.heard = heard
    return link


def _peers(age):
    now = asyncio.get_running_loop().time()
    peers = Peers('entry/me', '10.0.0.9', 1)
    peers.links = {_OLD: _link(_OLD, now - age), _NEXT: _link(_NEXT, now)}
    peers.leader = _OLD
    peers.term = 1
    return peers


@given('a process that heard its leader {age:g} seconds ago')
def lost_leader(context, age):
    """Let the leader be silent since."""
    context.make = lambda: _peers(age)


@given('a process whose leader has just handed over')
def handed_over(context):
    """Let the leader say that it leads no more."""

    def make():
        peers = _peers(0)
        apply_scheduler_list(peers, SchedulerList((_OLD, _NEXT), '', 2), _OLD)
        return peers

    context.make = make


async def _ask(context, next_after):
    loop = asyncio.get_running_loop()
    peers = context.make()
    context.passed_on = []
    if next_after is not None:
        loop.call_later(next_after, _lead, peers, context)
    began = loop.time()
    context.answer = await call_leader(peers, ConfigRequest, _PATIENCE)
    context.took = loop.time() - began
    context.passed_on += peers.links[_OLD].waiting


def _lead(peers, context):
    link = peers.links[_NEXT]
    link.heard = asyncio.get_running_loop().time()
    apply_scheduler_list(peers, SchedulerList((_OLD, _NEXT), _NEXT, 2), _NEXT)
    context.passed_on += link.waiting
    for ask in link.waiting:
        on_answer(peers, CellResponse(ask.seq, ResultCode.ANSWERED))


@when('it asks the leader')
def ask(context):
    """Ask, and wait for the answer."""
    run_virtually(_ask(context, None))


@when('it asks the leader and another one leads {after:g} seconds later')
def ask_next(context, after):
    """Ask while the leader changes."""
    run_virtually(_ask(context, after))


@then('the answer is {code} after {took:g} seconds, to come back in {back:g}')
def check_answer(context, code, took, back):
    """Compare the answer and its time, to a look or two."""
    assert context.answer.code == ResultCode[code], context.answer
    assert abs(context.took - took) <= 2 * _LOOK, context.took
    assert context.answer.retry_after == back, context.answer


@then('the answer comes from the next leader')
def check_next(context):
    """Look at the code that only the next leader gives."""
    assert context.answer.code == ResultCode.ANSWERED, context.answer


@then('it was passed on twice')
def check_passed_on(context):
    """Count the copies."""
    assert len(context.passed_on) == 2, context.passed_on
