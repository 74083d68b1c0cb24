"""Steps about calls and reports of an earlier life of a target or entry."""

import asyncio
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from bench.core import ENTRY, Core, Scale, random_contract, submit
from daisygw.contracts import (
    Configuration,
    Drain,
    OrderRejected,
    Policy,
    ResultCode,
    Submit,
    TaskReport,
    TaskStartOrder,
    TaskState,
    TaskStopOrder,
)
from daisygw.entries import _process
from daisygw.links.processes import Link
from daisygw.machines import (
    Announcement,
    AnnouncementAccepted,
    RunningAttempt,
)
from daisygw.schedulers._domain_machine import DomainState
from daisygw.schedulers._process import _on_inbound_link
from daisygw.zones import (
    DomainLeader,
    advance_clock,
    collect_output,
    entry_connected,
    entry_disconnected,
    finish_turn,
    on_announcement,
    on_drain,
    on_order_rejected,
    on_submit,
    on_task_report,
    start_leading,
)
from standins._runs import (
    ReceivedOrder,
    Target,
    apply_acknowledgement,
    next_announcement,
    rejection_reason,
)

_STEP_S = 0.25
_MS_PER_S = 1000
# Longer than a lease with its margin, and an announcement after it.
_LONG_S = 12


def _announce(context, spec):
    """Announce a target; it lists what was ordered from this life of it."""
    core = context.core
    life = (spec.address, spec.incarnation)
    context.numbers[life] += 1
    context.announced_at[life] = core.now
    running = {
        RunningAttempt(one.key, one.attempt): None
        for one in core.orders
        if (one.address, one.fence.incarnation) == life
    }
    number = context.numbers[life]
    announcement = Announcement(spec, number, number - 1, tuple(running))
    on_announcement(core.lead, announcement, ENTRY)


def _turn(context):
    core = context.core
    advance_clock(core.lead, core.now, int(core.now * _MS_PER_S))
    finish_turn(core.lead)
    _, outbox = collect_output(core.lead)
    context.messages += [(core.now, one.message) for one in outbox]
    core.orders += [
        one.message for one in outbox if isinstance(one.message, TaskStartOrder)
    ]


def _pass_time(context, seconds, *specs):
    """Run turns; each of ``specs`` announces itself once a second."""
    for step in range(int(seconds / _STEP_S)):
        context.core.now += _STEP_S
        if step % int(1 / _STEP_S) == 0:
            for spec in specs:
                _announce(context, spec)
        _turn(context)


def _sent(context, kind):
    return [one for one in context.messages if isinstance(one[1], kind)]


def _change_leader(context):
    """Elect another leader; the entry resubmits what it drives."""
    core = context.core
    lead = core.lead
    core.lead = DomainLeader('bench', 1, lead.replicated, lead.cfg, 2)
    advance_clock(core.lead, core.now, lead.wall)
    entry_connected(core.lead, ENTRY)
    start_leading(core.lead)
    on_submit(core.lead, Submit(0, context.contract), ENTRY)
    _turn(context)


def _listed(context):
    workers = context.core.lead.replicated.workers
    return workers.by_name.get(context.spec.name)


@given('a {kind} task that runs on a restarted target, and another target')
def run_task(context, kind):
    """Restart an idle target, and have it run a task."""
    core = Core(Scale(1, 0, 1), Policy())
    context.core = core
    context.messages = []
    context.announced_at = {}
    context.first = core.specs[0]
    context.spec = replace(context.first, incarnation='j')
    context.other = replace(context.first, name='other', address='10.0.0.2:1')
    context.numbers = Counter([(context.first.address, 'i')])
    _pass_time(context, _LONG_S, context.spec)
    repeatable = kind == 'repeatable'
    context.contract = random_contract(core, repeatable=repeatable)
    submit(core, context.contract)
    _pass_time(context, _STEP_S)
    (context.order,) = core.orders
    assert context.order.fence.incarnation == context.spec.incarnation
    _pass_time(context, 2, context.spec, context.other)
    context.messages = []


@when('an announcement of another incarnation comes, {case}')
def announce_another(context, case):
    """Announce another incarnation while the target runs its task."""
    late = context.first
    if 'never seen' in case:
        late = replace(late, incarnation='h')
    if 'change of the leader' in case:
        _change_leader(context)
    if 'each second' in case:
        late = replace(late, incarnation='k', address='10.0.0.3:1')
        _pass_time(context, _LONG_S, late, context.spec, context.other)
    _announce(context, late)
    _turn(context)
    _pass_time(context, _LONG_S, context.spec, context.other)


@then('the task goes on, and the target keeps its lease')
def check_goes_on(context):
    """Expect no orders but repeats, and an acknowledged announcement."""
    started = _sent(context, TaskStartOrder)
    again = [one for _, one in started if one.attempt != context.order.attempt]
    assert not again, again
    assert not _sent(context, TaskStopOrder)
    key = context.order.key
    job = context.core.lead.replicated.job_registry.jobs[key.job]
    assert job.tasks[key.index].state is TaskState.LEASED
    spec = context.spec
    numbers = [
        one.number
        for _, one in _sent(context, AnnouncementAccepted)
        if (one.name, one.incarnation) == (spec.name, spec.incarnation)
    ]
    assert numbers, 'no announcement was acknowledged'
    assert numbers[-1] == context.numbers[spec.address, spec.incarnation]


@when('the target is cut off, and another host announces its name, {case}')
def cut_off(context, case):
    """Let another host announce the name of a target that is cut off."""
    usurper = replace(context.spec, incarnation='k', address='10.0.0.3:1')
    _pass_time(context, 1, usurper, context.other)
    if 'leader changes' in case:
        _change_leader(context)
    _pass_time(context, _LONG_S, usurper, context.other)


@then(
    'the task is ordered again, but not before the lease of the first run '
    'has ended'
)
def check_ordered_late(context):
    """Compare the time of the second attempt with the end of the lease."""
    times = [
        at
        for at, one in _sent(context, TaskStartOrder)
        if one.attempt != context.order.attempt
    ]
    assert len(times) == 1, times
    life = (context.spec.address, context.spec.incarnation)
    lease_end = context.announced_at[life] + context.core.lead.policy.lease
    assert times[0] >= lease_end, (times, lease_end)


@when('the target restarts once more')
def restart_target(context):
    """Announce the next incarnation from the target's address."""
    context.next_spec = replace(context.spec, incarnation='l')
    _pass_time(context, _LONG_S, context.next_spec, context.other)


@when('the target is drained, and restarts once more')
def drain_and_restart(context):
    """Drain the target before it restarts."""
    on_drain(context.core.lead, Drain(1, context.spec.name, True), ENTRY)
    restart_target(context)


def _check_listed(context):
    worker = _listed(context)
    assert worker is not None
    assert worker.spec == context.next_spec, worker.spec
    return worker


@then('it refuses the order of before, and is listed again within 12 s')
def check_refused(context):
    """Give a stand-in target of the next incarnation the earlier order."""
    _check_listed(context)
    target = Target(context.next_spec)
    for _ in range(context.order.fence.announced):
        announcement = next_announcement(target)
    acknowledgement = {'lease': 6, 'order_age': 3, 'every': 1}
    apply_acknowledgement(target, announcement, acknowledgement)
    order = context.order
    received = ReceivedOrder(
        order.key,
        order.attempt,
        order.fence.term,
        order.fence.incarnation,
        order.fence.announced,
        order.size,
    )
    now = target.sent[target.number]
    assert rejection_reason(target, received, now) == 'incarnation'
    own = replace(received, incarnation=context.next_spec.incarnation)
    assert not rejection_reason(target, own, now)


@then('the task has {count:d} further order')
def check_orders(context, count):
    """Count the attempts that were ordered after the first one."""
    attempts = {
        one.attempt
        for _, one in _sent(context, TaskStartOrder)
        if one.attempt != context.order.attempt
    }
    assert len(attempts) == count, attempts
    if count == 0:
        ended = context.core.lead.replicated.job_registry.ended
        assert ended == {ResultCode.WORKER_LOST: 1}, ended


@then('it is listed again within 12 s, and is drained')
def check_drained(context):
    """Expect the next incarnation in the list, closed to new work."""
    assert _check_listed(context).drained


@when('an acknowledgement for the incarnation before reaches the entry')
def acknowledge_before(context):
    """Acknowledge the same number of the earlier incarnation."""

    async def acknowledge():
        fut = asyncio.get_running_loop().create_future()
        entry = SimpleNamespace(announced={('w0', 'j', 1): fut})
        late = AnnouncementAccepted('w0', 'i', 1, 6, 3, 1)
        _process._on_announcement_accepted(entry, None, late)
        context.answered_by_late = fut.done()
        own = replace(late, incarnation='j')
        _process._on_announcement_accepted(entry, None, own)
        context.answered_by_own = fut.done()

    asyncio.run(acknowledge())


@then('the announcement of the next incarnation stays unanswered')
def check_unanswered(context):
    """Expect an answer by its own acknowledgement only."""
    assert not context.answered_by_late
    assert context.answered_by_own


@when('the entry reconnects {case}, and reports the order as not sent')
def reconnect_entry(context, case):
    """Restart the entry while the target can not be reached any more."""
    lead = context.core.lead
    order = context.order
    if 'before' not in case:
        entry_disconnected(lead, ENTRY)
    entry_connected(lead, ENTRY)
    if 'without the job' in case:
        rejected = OrderRejected(order.key, order.attempt)
        on_order_rejected(lead, rejected, ENTRY)
    else:
        on_submit(lead, Submit(0, context.contract), ENTRY)
        report = TaskReport(order.key, order.attempt, ResultCode.NOT_STARTED)
        on_task_report(lead, report, ENTRY)
    _pass_time(context, _LONG_S, context.other)


@when('an entry connects anew to a scheduler before its earlier link ends')
def connect_twice(context):
    """Open a second link under an entry's name, then end the first one."""
    state = DomainState('bench', 1, Configuration(1, {}, Policy()))
    context.domain_state = state
    context.scheduler = SimpleNamespace(
        domains={'bench': state},
        sessions={},
        leading={},
        config_known=False,
    )
    earlier, context.link = Link(ENTRY), Link(ENTRY)
    for link, up in ((earlier, True), (context.link, True), (earlier, False)):
        link.up = up
        _on_inbound_link(context.scheduler, link)


@then('it is connected until its new link ends')
def check_connected(context):
    """Expect the entry in the domain's state, and not after the end."""
    entries = context.domain_state.entries
    assert ENTRY in entries
    assert context.scheduler.sessions == {ENTRY: context.link}
    context.link.up = False
    _on_inbound_link(context.scheduler, context.link)
    assert ENTRY not in entries
    assert not context.scheduler.sessions
