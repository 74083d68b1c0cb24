"""Steps that send odd messages to the decoders, the leader and the links."""

import asyncio
import json
import time
from dataclasses import replace
from functools import partial
from types import SimpleNamespace
from unittest import mock

import msgspec
from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as hypothesis_given

from daisygw.cell import (
    _placement,
    on_config_request,
    on_job_request,
    place_waiting,
)
from daisygw.contracts import (
    ConfigRequest,
    ContractError,
    EndsAcknowledged,
    JobRequest,
    JobSpec,
    JobVerb,
    Limits,
    LinkError,
    ResultCode,
    SchedulerList,
    Size,
    Step,
    Submit,
    check_contract,
    critical_path,
    is_not_run,
)
from daisygw.entries import _announce_http
from daisygw.entries._http import parse_json
from daisygw.links import _codec as link_codec
from daisygw.links import _stream, codec
from daisygw.links.processes import Link, accepting_links, keep_connected, post
from daisygw.machines import Announcement, ForwardedAnnouncement, TargetSpec
from daisygw.nodes import NodeSettings, Peers, SchedulerNode, call_leader
from daisygw.nodes import _scheduler as scheduler_module
from daisygw.platform import _codec
from standins import odd_messages
from standins.cell import free_ports
from tests import odd_input
from tests.cell_world import World, run_for, submit

_WIDE = odd_messages.WIDE_INTEGER
_LINK_TIMEOUT_S = 5
_UNKNOWN_TAG = 9999
_CONTRACT_CFG = SimpleNamespace(limits=Limits(), teams={'patio': None})


def _decode_job(raw):
    job = _codec.decode_job(raw, odd_messages.JOB_ID)
    return JobRequest(1, JobVerb.SUBMIT, 'host', f'/a/{job.id}', job)


def _decode_config(raw):
    return ConfigRequest(1, _codec.decode_config(raw))


def _decode_heartbeat(raw):
    return _codec.decode_report(raw, 'i-1')


def _decode_contract(raw):
    return Submit(1, check_contract(parse_json(raw), _CONTRACT_CFG, 'id-1'))


def _decode_announcement(raw):
    return ForwardedAnnouncement(_announce_http._parse_announcement(raw, 't-1'))


def _announcement():
    spec = TargetSpec('t-1', 'x1', '127.0.0.1:80', Size(8, 8, 0, 1))
    return json.loads(msgspec.json.encode(Announcement(spec, 1, 0)))


_REQUESTS = {
    'jobs': (_decode_job, odd_messages.ODD_JOBS, odd_messages.job()),
    'configs': (
        _decode_config,
        odd_messages.ODD_CONFIGS,
        odd_messages.config(),
    ),
    'heartbeats': (
        _decode_heartbeat,
        odd_messages.ODD_HEARTBEATS,
        odd_messages.heartbeat(),
    ),
    'contracts': (
        _decode_contract,
        {},
        {
            'team': 'patio',
            'kind': 'gang',
            'count': 2,
            'size': {'cpus': 10, 'memory': 10, 'accelerators': 0},
            'deadline': 5.5,
            'run': 1,
            'work': 'route',
            'repeatable': False,
        },
    ),
    'announcements': (_decode_announcement, {}, _announcement()),
}
_REPLIES = {
    'replies': (_codec.decode_renewal_reply, odd_messages.renewal_reply()),
    'advice': (_codec.decode_approvals, odd_messages.advice()),
}


def _code_of(decode, raw):
    """Return the code with which a message is refused, or what it became."""
    try:
        return decode(raw)
    except ContractError as exc:
        return exc.code


@then(
    'each odd {kind} is refused with code {code:d} or another one of bad input'
)
def check_odd_requests(context, kind, code):
    """Expect codes of the class "bad input", which mean "not run"."""
    decode, odd, _ = _REQUESTS[kind]
    codes = set()
    for what, document in odd.items():
        refusal = _code_of(decode, odd_messages.encode(document))
        assert isinstance(refusal, ResultCode), (what, refusal)
        assert is_not_run(refusal), (what, refusal)
        codes.add(refusal)
    assert code in codes, codes


@then('each odd configuration is refused with code {code:d}')
def check_odd_configs(context, code):
    """Expect the same code for all."""
    for what, document in odd_messages.ODD_CONFIGS.items():
        try:
            cfg = _decode_config(odd_messages.encode(document))
        except ContractError as exc:
            assert exc.code == code, (what, exc)
            assert odd_messages.KEY_MARK not in exc.reason, (what, exc)
        else:
            raise AssertionError(what, cfg)


def _check_failed_call(decode, what, raw, code=ResultCode.MALFORMED):
    try:
        decoded = decode(raw)
    except LinkError as exc:
        assert exc.code == code, (what, exc)
        return
    raise AssertionError(what, decoded)


@then('each odd reply to a renewal is a failed call with code {code:d}')
def check_odd_replies(context, code):
    """Expect the error that counts as a renewal without an answer."""
    for what, document in odd_messages.ODD_REPLIES.items():
        raw = odd_messages.encode(document)
        _check_failed_call(_codec.decode_renewal_reply, what, raw, code)
    # The reply that the odd ones were made of is read.
    raw = odd_messages.encode(odd_messages.renewal_reply())
    assert len(_codec.decode_renewal_reply(raw).active) == 1


@then(
    'very deeply nested replies to starts and of the advisor are failed calls'
)
def check_nested_replies(context):
    """Nest a known and an unknown field of each."""
    for key in ('reason', 'odd'):
        raw = odd_messages.nested(key)
        _check_failed_call(_codec.decode_reason, key, raw)
    for key in ('approved', 'odd'):
        raw = odd_messages.nested(key)
        _check_failed_call(_codec.decode_approvals, key, raw)


@then(
    'heartbeats and shutdowns of a worker named "{name}" are refused with '
    'code {code:d}'
)
def check_odd_name(context, name, code):
    """A name stands in the path; there its line ends are encoded."""
    name = name.encode().decode('unicode_escape')
    raw = odd_messages.encode(odd_messages.heartbeat())
    decode = partial(_codec.decode_report, name=name)
    assert _code_of(decode, raw) == code
    assert _code_of(_codec.decode_shutdown, name) == code
    assert _codec.decode_shutdown('i-1').left


@when(
    'the critical path of {count:d} steps that all depend on each other is '
    'computed'
)
def compute_critical_path(context, count):
    """Let each step depend on all earlier ones; all take 1 s."""
    size = Size(1, 1, 0, 0)
    steps = tuple(
        Step(1, size, 1.0, tuple(range(number))) for number in range(count)
    )
    started = time.process_time()
    context.length = (critical_path(steps), count)
    context.took = time.process_time() - started


@then('it takes less than {seconds:g} seconds and has the length of all steps')
def check_critical_path(context, seconds):
    """Compare the processor time and the length."""
    assert context.took < seconds, context.took
    length, count = context.length
    assert length == count, context.length


@when(
    '{examples:d} random messages like {kind} are decoded from seed {number:d}'
)
def decode_random(context, examples, kind, number):
    """Decode odd documents and bytes; use what is accepted."""
    is_request = kind in _REQUESTS
    decode, document = _REQUESTS[kind][::2] if is_request else _REPLIES[kind]
    outcomes = {'refused': 0, 'used': 0}
    context.outcomes = outcomes
    context.examples = examples

    @seed(number)
    @settings(
        max_examples=examples,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @hypothesis_given(raw=odd_input.odd_messages(document))
    def check(raw):
        try:
            message = decode(raw)
        except (ContractError, LinkError) as exc:
            assert exc.code // 100 in {2, 6}, exc
            outcomes['refused'] += 1
            return
        if is_request:
            codec.check_storable(message)
        if isinstance(message, JobRequest):
            _use_job(message)
        if isinstance(message, ConfigRequest):
            on_config_request(World(1, targets=0).lead, message, 'operator')
        outcomes['used'] += 1

    check()


def _use_job(message):
    world = World(1, targets=2)
    world.lead.check_record = codec.check_storable
    on_job_request(world.lead, message, 'entry')
    place_waiting(world.lead)
    failed = [
        row.message
        for row in world.lead.outbox
        if getattr(row.message, 'event', '') == 'placement failed'
    ]
    assert not failed, failed


@then('each is refused with a code of bad input, or can be stored and used')
def check_random(context):
    """Both outcomes must have occurred; the step before checks each."""
    assert context.outcomes['refused'], context.outcomes
    assert context.outcomes['used'], context.outcomes
    assert sum(context.outcomes.values()) >= context.examples // 2


@given('a leader of a cell with one target')
def one_target(context):
    """Use a simulated cell whose leader checks its records."""
    context.world = World(1, targets=1)
    context.world.lead.check_record = codec.check_storable
    run_for(context.world, 0.5)


@when('it decides on a record with a number of 70 bits')
def record_wide(context):
    """Acknowledge ends up to a position that the log cannot hold."""
    lead = context.world.lead
    (target,) = lead.cell.targets.values()
    context.before = (target.position, list(lead.records))
    try:
        lead.record(EndsAcknowledged(target.key, _WIDE))
    except ContractError as exc:
        context.code = exc.code
    context.after = (target.position, list(lead.records))


@then(
    'the record is refused with code {code:d}, and neither state nor log has it'
)
def check_record(context, code):
    """Compare the target's position and the log with those before."""
    assert context.code == code
    assert context.after == context.before, context.after


@when('a process asks the leader with a number of 70 bits')
def ask_wide(context):
    """Call a leader that is this process itself."""

    async def act():
        peers = Peers('10.0.0.1', '10.0.0.1', 1)
        peers.leader = peers.host
        context.handled = []
        peers.handle_locally = context.handled.append
        report = _decode_heartbeat(
            odd_messages.encode(odd_messages.heartbeat())
        )
        try:
            await call_leader(
                peers, lambda seq: replace(report, number=_WIDE), 0.1
            )
        except ContractError as exc:
            context.code = exc.code
        context.open = len(peers.open)

    asyncio.run(act())


@then('the request is refused with code {code:d} and was not sent')
def check_not_sent(context, code):
    """Expect that the leader did not get it, and that nothing waits."""
    assert context.code == code
    assert (context.handled, context.open) == ([], 0)


async def _exchange(send, expected):
    """Return what arrives, and how often the link came up."""
    received = []
    ups = []
    address = f'127.0.0.1:{free_ports(1)[0]}'

    def on_change(link):
        if link.up:
            ups.append(link)
            send(link)

    def on_message(link, message):
        received.append(message)

    link = Link('peer')
    async with (
        accepting_links(address, on_message, lambda _: None),
        _stream.running(
            keep_connected(link, 'caller', address, on_message, on_change)
        ),
    ):
        until = asyncio.get_running_loop().time() + _LINK_TIMEOUT_S
        while (
            len(received) < expected
            and asyncio.get_running_loop().time() < until
        ):
            await asyncio.sleep(0.01)
    return received, len(ups)


def _scheduler_list(term):
    return SchedulerList(('10.0.0.1',), '10.0.0.1', term)


@when('a message with a number of 70 bits is sent between two others')
def send_wide(context):
    """Post the three of them in one batch."""

    def send(link):
        for term in (1, _WIDE, 2):
            post(link, _scheduler_list(term))

    context.exchange = asyncio.run(_exchange(send, 2))


@when('a message of an unknown tag is sent between two others')
def send_unknown(context):
    """Put a row of a later version between the others."""
    encode = link_codec.encode_batch

    def with_unknown(messages):
        rows = msgspec.msgpack.decode(encode(messages))
        if rows:
            rows.insert(1, (_UNKNOWN_TAG, (1,)))
        return msgspec.msgpack.encode(rows)

    def send(link):
        for term in (1, 2):
            post(link, _scheduler_list(term))

    with mock.patch.object(link_codec, 'encode_batch', with_unknown):
        context.exchange = asyncio.run(_exchange(send, 2))


@then('the others arrive on the same link')
def check_arrived(context):
    """Expect both in order, over one connection."""
    received, ups = context.exchange
    assert [one.term for one in received] == [1, 2], received
    assert ups == 1, ups


@when('the placement of the first of two steps raises an error')
def fail_placement(context):
    """Raise an error for one job, and place both."""
    place = _placement._place_tasks
    context.jobs = (f'{1:016x}', f'{2:016x}')

    def fail_first(lead, free_capacity, waiting):
        if waiting.state.key.job == context.jobs[0]:
            raise ZeroDivisionError('odd step')
        place(lead, free_capacity, waiting)

    for name in context.jobs:
        step = Step(1, Size(100, 100, 0, 0), 1)
        submit(context.world, JobSpec(name, 'work', (step,)))
    with mock.patch.object(_placement, '_place_tasks', fail_first):
        run_for(context.world, 3)


@then('the other step is placed, and the log names the first one')
def check_other_placed(context):
    """Look at both jobs and the leader's log events."""
    jobs = context.world.lead.cell.jobs
    assert not jobs[context.jobs[0]].started
    assert jobs[context.jobs[1]].started
    failed = [
        dict(event.fields)
        for event in context.world.log
        if event.event == 'placement failed'
    ]
    assert {row['id'] for row in failed} == {context.jobs[0]}, failed


@when('a turn of its process raises an error')
def fail_turn(context):
    """Raise an error in one turn of a scheduler that leads."""
    context.turns = asyncio.run(_fail_one_turn())


async def _fail_one_turn():
    cfg = NodeSettings('n', '10.9.0.1', 'd', 1, ('10.9.0.1',), True, None, 4, 8)
    node = SchedulerNode(cfg, None)
    events = []
    turns = []
    run_turn = scheduler_module.run_turn

    def fail_once(node):
        turns.append(node.group.replica.role)
        if node.state.lead and len(events) == 0:
            # A record that was decided on and never got into the log.
            node.state.cell.jobs['lost'] = None
            raise ZeroDivisionError('odd turn')
        run_turn(node)

    def note(event, exc, **fields):
        events.append((event, repr(exc)))

    with (
        mock.patch.object(scheduler_module, 'run_turn', fail_once),
        mock.patch.object(scheduler_module, 'log_error', note),
    ):
        task = asyncio.ensure_future(scheduler_module._turn_loop(node))
        ticks = asyncio.ensure_future(scheduler_module._tick_loop(node))
        await asyncio.sleep(4)
        done = task.done()
        task.cancel()
        ticks.cancel()
    return SimpleNamespace(
        events=events,
        done=done,
        jobs=dict(node.state.cell.jobs),
        leads=node.state.lead is not None,
    )


@then('the process goes on, and its state is that of the committed log')
def check_turns(context):
    """Expect one logged error, and a leader again with a state of its own."""
    turns = context.turns
    assert not turns.done
    assert turns.events == [('turn failed', "ZeroDivisionError('odd turn')")], (
        turns.events
    )
    assert not turns.jobs, turns.jobs
    assert turns.leads
