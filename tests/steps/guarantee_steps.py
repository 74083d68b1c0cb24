"""Steps that break a running cell under load, and judge what happened."""

import asyncio
import json
import tempfile
import time
from pathlib import Path
from random import Random
from types import MappingProxyType

from behave import fixture, given, then, use_fixture, when

from daisygw.contracts import ResultCode
from standins.cell import (
    call,
    domains_of,
    fetch_json,
    hosts_in,
    plan_cell,
    start_targets,
    stop_process,
    wait_until,
    wait_until_serving,
)
from standins.load import Arrival, Reply, SubmissionRecord, run_load
from standins.partition import relayed_cell
from tests.faults import FAULTS, Trial, leader_host, wipe_host
from tests.history import Span, faults
from tests.utils import judged, small_cell, starts, submit

_UP_WAIT = 60
_REPAIR_WAIT = 60
_FAULT_AT = 2.0
_RATE = 25
_LEAVE_BOUND = 3.0
_NO_DISK = MappingProxyType({'disk': False})


@fixture
def relayed(context, domains, targets):
    """Run a relayed cell until it serves."""
    with tempfile.TemporaryDirectory() as name:
        plan = plan_cell('norte', domains)
        with relayed_cell(plan, Path(name)) as (cell, network):
            for domain in domains:
                start_targets(cell, domain, targets - 1)
            start_targets(cell, domains[0], 1, name='lone')
            total = (targets - 1) * len(domains) + 1
            wait_until_serving(cell, total, _UP_WAIT)
            yield Trial(cell, network)


@fixture
def plain(context, domains, targets, more):
    """Run a cell until it serves."""
    with small_cell(domains, targets, **more) as cell:
        yield Trial(cell)


@given('a relayed cell of {one} and {other} with {targets:d} targets each')
def begin_relayed(context, one, other, targets):
    """Start it."""
    context.trial = use_fixture(relayed, context, (one, other), targets)


@given('a cell of santander with {targets:d} targets')
def begin_plain(context, targets):
    """Start it."""
    domains = ('santander',)
    context.trial = use_fixture(plain, context, domains, targets, {})


@given('a cell of santander and oviedo with {targets:d} targets')
def begin_two(context, targets):
    """Start it."""
    domains = ('santander', 'oviedo')
    context.trial = use_fixture(plain, context, domains, targets, {})


@given('a cell of santander and oviedo without disks, with 2 targets')
def begin_without_disks(context):
    """Start it."""
    domains = ('santander', 'oviedo')
    context.trial = use_fixture(plain, context, domains, 2, _NO_DISK)


def mixed_work(seed: int, seconds: float, rate: float) -> list[Arrival]:
    """Return arrivals of unlike work, the same for the same seed."""
    random = Random(seed)
    arrivals = []
    for number in range(int(seconds * rate)):
        contract = {
            'id': f'w{seed}-{number}',
            'team': random.choice(('patio', 'criba')),
            'repeatable': random.getrandbits(1) == 1,
            'count': random.choice((1, 1, 1, 1, 1, 1, 1, 1, 5)),
            'size': {'cpus': random.choice((500, 2000, 8000))},
        }
        body = json.dumps({'ms': random.choice((5, 50, 400))}).encode()
        arrivals.append(Arrival(number / rate, contract, body))
    return arrivals


def _entries(cell):
    return [host.entry for host in cell.plan.hosts]


async def _under(arrivals, cell, disturb):
    load = asyncio.ensure_future(run_load(_entries(cell), arrivals))
    await asyncio.sleep(_FAULT_AT)
    await disturb()
    return await load


@when('mixed work is submitted for {seconds:d} s, seed {seed:d}, while {what}')
def run_mixed(context, seconds, seed, what):
    """Run the load, and the fault in the middle of it."""
    trial = context.trial
    arrivals = mixed_work(seed, seconds, _RATE)

    async def disturb():
        await FAULTS[what](trial)

    context.records = asyncio.run(_under(arrivals, trial.cell, disturb))


def spans_of(cell) -> list[Span]:
    """Return every span that the targets saw."""
    return [
        Span(task, attempt, seen['name'], began, ended)
        for seen in judged(cell)
        for task, attempt, began, ended in seen['spans']
    ]


@then('the history breaks no promise, by callers and targets')
def check_history(context):
    """Check the history, and what the targets counted."""
    cell = context.trial.cell
    seen = judged(cell)
    assert len(seen) == len(cell.targets)
    broken = faults(context.records, spans_of(cell))
    for one in seen:
        broken += one['overlaps'] + one['over_capacity']
    assert not broken, broken


@then('at least {percent:d} percent of the submissions were answered')
def check_answered(context, percent):
    """Count whole answers."""
    codes = [record.code for record in context.records]
    answered = sum(code == ResultCode.ANSWERED for code in codes)
    others = {code: codes.count(code) for code in set(codes)}
    assert answered * 100 >= percent * len(codes), others


@when(
    '{count:d} answers of up to {most:d} bytes are asked for while '
    'connections break',
)
def ask_large(context, count, most):
    """Ask for answers of many sizes; targets break some in the middle."""
    cell = context.trial.cell
    for address in cell.targets.values():
        call(address, '/v1/control', 'POST', b'{"cuts": 8}')
    random = Random(count)
    arrivals = []
    for number in range(count):
        body = {'ms': 10, 'answer_bytes': random.randint(1, most)}
        contract = {'id': f'large-{number}', 'team': 'patio'}
        contract['repeatable'] = number % 2 == 0
        arrivals.append(Arrival(0, contract, json.dumps(body).encode()))
    context.records = asyncio.run(run_load(_entries(cell), arrivals))


@then('every answer is whole and its own')
def check_whole(context):
    """Compare each answer, byte by byte."""
    for record in context.records:
        length = json.loads(record.arrival.body)['answer_bytes']
        mark = f'{record.arrival.contract["id"]}/0:'.encode()
        wanted = (mark * (length // len(mark) + 1))[:length]
        assert record.code == ResultCode.ANSWERED, record.replies
        assert record.answer == wanted, record.arrival.contract
    assert not faults(context.records, spans_of(context.trial.cell))


def _steady(seconds: float, rate: float = 30) -> list[Arrival]:
    return [
        Arrival(
            number / rate,
            {'id': f's{number}', 'team': 'patio', 'repeatable': False},
            b'{"ms": 100}',
        )
        for number in range(int(seconds * rate))
    ]


def _run_steady(context, seconds, disturb):
    cell = context.trial.cell

    async def timed():
        context.disturbed = time.monotonic()
        await asyncio.to_thread(disturb)

    context.records = asyncio.run(_under(_steady(seconds), cell, timed))


def _busiest(cell):
    return max(judged(cell), key=lambda seen: len(seen['spans']))['name']


@when('a target says that it leaves, under load for {seconds:d} s')
def leave(context, seconds):
    """Let one target announce that it leaves."""
    cell = context.trial.cell

    def disturb():
        context.left = _busiest(cell)
        address = cell.targets[context.left]
        call(address, '/v1/control', 'POST', b'{"leave": true}')

    _run_steady(context, seconds, disturb)


@when('a target is drained by an operator, under load for {seconds:d} s')
def drain(context, seconds):
    """Drain one target through an entry."""
    cell = context.trial.cell

    def disturb():
        context.left = _busiest(cell)
        entry = cell.plan.hosts[-1].entry
        call(entry, f'/v1/targets/{context.left}/drain', 'PUT')

    _run_steady(context, seconds, disturb)


@then('it started nothing from 3 s on, and all was answered')
def check_left(context):
    """Look at the spans of the target that left."""
    late = [
        span
        for span in spans_of(context.trial.cell)
        if span.target == context.left
        and span.began > context.disturbed + _LEAVE_BOUND
    ]
    assert not late, late
    before = [
        span
        for span in spans_of(context.trial.cell)
        if span.target == context.left
    ]
    assert before, 'it had no work before either'
    codes = {record.code for record in context.records}
    assert codes == {ResultCode.ANSWERED}, codes


@when('{kind} is stopped gracefully, under load for {seconds:d} s')
def stop_kind(context, kind, seconds):
    """Send SIGTERM in the middle of the load."""
    cell = context.trial.cell
    name = f'entry-{cell.plan.hosts[0].name}'
    if kind != 'an entry':
        name = f'scheduler-{leader_host(cell, "santander")}'

    def disturb():
        context.status = stop_process(cell, name)

    _run_steady(context, seconds, disturb)


@then('no request was cut, and it ended with status 0')
def check_stopped(context):
    """Every reply is an answer, or a numbered refusal before acceptance."""
    assert context.status == 0
    cut = [
        reply
        for record in context.records
        for reply in record.replies
        if reply.code == ResultCode.ENTRY_UNREACHABLE
        and b'Connect call failed' not in reply.answer
    ]
    assert not cut, cut
    codes = {record.code for record in context.records}
    assert codes == {ResultCode.ANSWERED}, codes
    assert not faults(context.records, spans_of(context.trial.cell))


@when('{count:d} requests that are not repeatable are answered')
def answer_some(context, count):
    """Submit them to santander, by ids that name it as their home."""
    context.ids = [f'santander~uno-{number}' for number in range(count)]
    entry = context.trial.cell.plan.hosts[0].entry
    context.answers = []
    for name in context.ids:
        contract = {'id': name, 'team': 'patio', 'repeatable': False}
        status, answer = submit(entry, contract)
        assert status == 200, answer
        context.answers.append(answer)


def _is_repaired(cell) -> bool:
    for host in cell.plan.hosts:
        dump = fetch_json(host.entry, '/v1/dump')
        if not dump or not dump['scheduler']:
            return False
        if not all(map(_is_whole, dump['scheduler']['groups'])):
            return False
    return True


def _is_whole(group) -> bool:
    """Tell whether a replica is a voter, where its host is to vote."""
    voters = [one.partition('#')[0] for one in group['voters']]
    replica = group['replica']
    seated = replica.partition('#')[0] in voters
    members = group['voters'] if seated else group['learners']
    return replica in members and len(voters) == 3 and len(set(voters)) == 3


def _wipe(context, number):
    cell = context.trial.cell
    wipe_host(cell, hosts_in(cell.plan, 'santander')[number].name)
    wait_until(lambda: _is_repaired(cell), _REPAIR_WAIT, 'the repair')
    total = 2 * len(domains_of(cell.plan))
    wait_until_serving(cell, total, _UP_WAIT)


@when('a host of santander loses its memory, and is repaired')
def wipe_first(context):
    """Lose the first."""
    _wipe(context, 0)


@when('the other host of santander loses its memory, and is repaired')
def wipe_second(context):
    """Lose the second."""
    _wipe(context, 1)


@then('a resend of each gets the same answer, and nothing ran twice')
def check_resends(context):
    """Resend through another entry."""
    cell = context.trial.cell
    entry = cell.plan.hosts[1].entry
    for name, answer in zip(context.ids, context.answers, strict=True):
        contract = {'id': name, 'team': 'patio', 'repeatable': False}
        assert submit(entry, contract)[1] == answer
    counted = starts(cell)
    assert all(counted[f'{name}/0'] == 1 for name in context.ids), counted


def _record(code, answer=b'x/0:', **contract):
    arrival = Arrival(0, {'id': 'x', 'team': 'patio', **contract})
    return SubmissionRecord(arrival, 0, 1, (Reply(code, answer),))


@then('each bad history is objected to, and a good one is not')
def check_checker(context):
    """Feed the checker histories by hand."""
    one = Span('x/0', 1, 't0', 1, 2)
    again = Span('x/0', 2, 't1', 3, 4)
    beside = Span('x/0', 2, 't1', 1.5, 4)
    good = _record(100)
    once = _record(100, repeatable=False)
    sound = (
        (good, [one]),
        (good, [one, again]),
        (_record(303), []),
    )
    bad = (
        (once, [one, again]),
        (good, [one, beside]),
        (_record(303), [one]),
        (_record(100, b'y/0:'), [one]),
        (_record(100, b'{}\n', count=2), [one]),
    )
    for record, spans in sound:
        assert not faults([record], spans), (record, spans)
    for record, spans in bad:
        assert faults([record], spans), (record, spans)
