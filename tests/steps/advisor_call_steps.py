"""Steps about advisor calls that an entry makes, on a virtual clock."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from daisygw.cell import collect_output, place_waiting
from daisygw.contracts import AdviceRequest, AdviceResponse, JobSpec, Size, Step
from daisygw.links.processes import Link
from daisygw.nodes import executing_effects
from daisygw.nodes._scheduler import _on_message
from tests.cell_world import World, run_for, submit
from tests.utils import run_virtually

_HOST = '10.0.0.1'
_ENTRY = 'entry/10.0.0.5'
_OTHER_ENTRY = 'entry/10.0.0.6'
_HEARTBEAT_S = 0.1
_OBSERVED_S = 5.0


async def _call_forever(step, targets, patience):
    await asyncio.sleep(10 * _OBSERVED_S)


def _link(name):
    link = Link(name)
    link.up = True
    link.heard = asyncio.get_running_loop().time()
    return link


def _node(lead, names):
    return SimpleNamespace(
        cfg=SimpleNamespace(host=_HOST),
        calls=SimpleNamespace(advise=_call_forever),
        state=SimpleNamespace(lead=lead),
        sessions={name: _link(name) for name in names},
        wake=asyncio.Event(),
        background_tasks=set(),
        execute_effect=None,
        meters=None,
    )


def _open_request(world):
    """Return the request for advice that a waiting step sends."""
    step = Step(1, Size(1000, 100, 0, 0), 1)
    submit(world, JobSpec(f'{1:016x}', 'work', (step,)))
    world.lead.changed = True
    place_waiting(world.lead)
    _, outbox = collect_output(world.lead)
    (request,) = [
        row.message for row in outbox if isinstance(row.message, AdviceRequest)
    ]
    return request


class _Observation:
    """A node whose entry calls the advisor, and when each answer was applied.

    ``answered`` holds the time since the request (s) and the event logged.
    """

    def __init__(self, work, names=(_ENTRY,)):
        world = World(1)
        run_for(world, 1)
        self.lead = world.lead
        self.request = replace(_open_request(world), work=work)
        self.node = _node(self.lead, names)
        self.link = self.node.sessions[_ENTRY]
        self.answered = []
        self.silent = False

    def answer(self):
        """Let the entry answer with an approval of the first target."""
        tickets = ((self.request.targets[0], 'ticket'),)
        answer = AdviceResponse(self.request.seq, True, tickets)
        _on_message(self.node, self.link, answer)

    def fall_silent(self):
        """Let nothing be heard of the entry from now on."""
        self.silent = True

    def lose_link(self):
        """Close the link to the entry."""
        self.link.up = False
        self.node.sessions.pop(_ENTRY)

    def connect_again(self):
        """Replace the link; what was sent on the first one may be lost."""
        self.node.sessions[_ENTRY] = _link(_ENTRY)


async def _heartbeats(observed):
    loop = asyncio.get_running_loop()
    started = loop.time()
    while True:
        for link in observed.node.sessions.values():
            if link is not observed.link or not observed.silent:
                link.heard = loop.time()
        for row in collect_output(observed.lead)[1]:
            event = row.message.event
            observed.answered.append((loop.time() - started, event))
        await asyncio.sleep(_HEARTBEAT_S)


async def _observe(observed, act):
    """Delegate the request to the entry, then act, and observe the leader.

    The leader's own process is busy with another call.
    """
    async with executing_effects(observed.node):
        seq = observed.request.seq + 1000
        busy = replace(observed.request, seq=seq, work=10 * _OBSERVED_S)
        observed.node.execute_effect(busy)
        observed.node.execute_effect(observed.request)
        assert observed.request in observed.link.waiting
        heartbeats = asyncio.ensure_future(_heartbeats(observed))
        await act(observed)
        await asyncio.sleep(_OBSERVED_S)
        heartbeats.cancel()


@given('a leader that lets an entry call the advisor for {work:g} s')
def delegated_call(context, work):
    """Keep the duration of the call, which runs in the next step."""
    context.work = work


def _run(context, act, names=(_ENTRY,)):
    async def run():
        context.observed = _Observation(context.work, names)
        await _observe(context.observed, act)

    run_virtually(run())


def _run_and_call(context, delay, method):
    async def act(observed):
        await asyncio.sleep(delay)
        method(observed)

    _run(context, act)


@when('the entry answers after {delay:g} seconds')
def answer_late(context, delay):
    """Answer when the entry would still wait for the advisor."""
    _run_and_call(context, delay, _Observation.answer)


@when('the entry is not heard after {delay:g} seconds')
def fall_silent(context, delay):
    """Let the entry's heartbeats end."""
    _run_and_call(context, delay, _Observation.fall_silent)


@when('the link to the entry is lost after {delay:g} seconds')
def lose_link(context, delay):
    """Close the link."""
    _run_and_call(context, delay, _Observation.lose_link)


@when('the entry connects again after {delay:g} seconds')
def connect_again(context, delay):
    """Replace the link."""
    _run_and_call(context, delay, _Observation.connect_again)


@when('the entry never answers')
def never_answer(context):
    """Keep the link up."""

    async def act(observed):
        await asyncio.sleep(0)

    _run(context, act)


@when("the leader's process pauses for {pause:g} seconds")
def pause(context, pause):
    """Let the clock jump: timers are late, and nothing was heard meanwhile."""

    async def act(observed):
        await asyncio.sleep(0.5)
        asyncio.get_running_loop().jump(pause)
        await asyncio.sleep(0.5)
        observed.answer()

    _run(context, act)


@when('the answer of the entry is overdue, and the leader needs more advice')
def ask_again(context):
    """Ask once more when the first call should have ended."""

    async def act(observed):
        await asyncio.sleep(context.work + 0.3)
        observed.node.sessions[_OTHER_ENTRY] = _link(_OTHER_ENTRY)
        observed.next_request = replace(
            observed.request, seq=observed.request.seq + 1
        )
        observed.node.execute_effect(observed.next_request)

    _run(context, act)


@then('the leader has the answer of the entry, and took no call for failed')
def check_answered(context):
    """Expect a ticket and no line about a failed call."""
    observed = context.observed
    events = [event for _, event in observed.answered]
    assert events == ['advice'], observed.answered
    (approval,) = observed.lead.approvals.values()
    assert approval.tickets, approval.denied


@then('the call has failed within {seconds:g} seconds')
def check_failed(context, seconds):
    """Expect one line about a failed call, in time."""
    ((after, event),) = context.observed.answered
    assert event == 'advice failed', event
    assert after <= seconds + _HEARTBEAT_S, after


@then('the call goes to the other entry')
def check_other_entry(context):
    """Read what was sent to the two entries."""
    observed = context.observed
    other = observed.node.sessions[_OTHER_ENTRY]
    assert other.waiting == [observed.next_request], other.waiting
    assert observed.next_request not in observed.link.waiting
