"""Steps that inject faults into a cell under load and check its guarantees."""

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
from tests.history import Span, find_violations
from tests.utils import small_cell, starts, submit, target_counts

_START_TIMEOUT_S = 60
_REPAIR_TIMEOUT_S = 60
_FAULT_DELAY_S = 2.0
_ARRIVALS_PER_SECOND = 25
_LEAVE_LIMIT_S = 3.0
_NO_DISK = MappingProxyType({'disk': False})


@fixture
def relayed(context, domains, targets):
    """Run a cell whose links pass through a relay; yield it once ready."""
    with tempfile.TemporaryDirectory() as name:
        plan = plan_cell('norte', domains)
        with relayed_cell(plan, Path(name)) as (cell, network):
            for domain in domains:
                start_targets(cell, domain, targets - 1)
            start_targets(cell, domains[0], 1, name='lone')
            total = (targets - 1) * len(domains) + 1
            wait_until_serving(cell, total, _START_TIMEOUT_S)
            yield Trial(cell, network)


@fixture
def plain(context, domains, targets, more):
    """Run a cell without a relay; yield it once ready."""
    with small_cell(domains, targets, **more) as cell:
        yield Trial(cell)


@given('a relayed cell of {one} and {other} with {targets:d} targets each')
def start_relayed(context, one, other, targets):
    """Start two failure domains whose links can be cut."""
    context.trial = use_fixture(relayed, context, (one, other), targets)


@given('a cell of santander with {targets:d} targets')
def start_one_domain(context, targets):
    """Start one failure domain."""
    domains = ('santander',)
    context.trial = use_fixture(plain, context, domains, targets, {})


@given('a cell of santander and oviedo with {targets:d} targets')
def start_two_domains(context, targets):
    """Start two failure domains."""
    domains = ('santander', 'oviedo')
    context.trial = use_fixture(plain, context, domains, targets, {})


@given('a cell of santander and oviedo without disks, with 2 targets')
def start_without_disks(context):
    """Start two failure domains whose schedulers keep state in memory only."""
    domains = ('santander', 'oviedo')
    context.trial = use_fixture(plain, context, domains, 2, _NO_DISK)


def mixed_work(seed: int, seconds: float, rate: float) -> list[Arrival]:
    """Return arrivals of mixed sizes and durations, determined by the seed."""
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


async def _run_load_with_fault(arrivals, cell, inject_fault):
    load = asyncio.ensure_future(run_load(_entries(cell), arrivals))
    await asyncio.sleep(_FAULT_DELAY_S)
    await inject_fault()
    return await load


@when('mixed work is submitted for {seconds:d} s, seed {seed:d}, while {what}')
def run_mixed(context, seconds, seed, what):
    """Run the load, and inject the fault 2 s after its start."""
    trial = context.trial
    arrivals = mixed_work(seed, seconds, _ARRIVALS_PER_SECOND)

    async def inject_fault():
        await FAULTS[what](trial)

    context.records = asyncio.run(
        _run_load_with_fault(arrivals, trial.cell, inject_fault)
    )


def spans_of(cell) -> list[Span]:
    """Return every attempt that the reachable targets ran."""
    return [
        Span(task, attempt, seen['name'], began, ended)
        for seen in target_counts(cell)
        for task, attempt, began, ended in seen['spans']
    ]


@then('the history of callers and targets violates no guarantee')
def check_history(context):
    """Check the history, and the overlaps and overloads targets counted."""
    cell = context.trial.cell
    seen = target_counts(cell)
    assert len(seen) == len(cell.targets)
    violations = find_violations(context.records, spans_of(cell))
    for one in seen:
        violations += one['overlaps'] + one['over_capacity']
    assert not violations, violations


@then('at least {percent:d} percent of the submissions were answered')
def check_answered(context, percent):
    """Count the submissions with code ``ANSWERED``."""
    codes = [record.code for record in context.records]
    answered = sum(code == ResultCode.ANSWERED for code in codes)
    others = {code: codes.count(code) for code in set(codes)}
    assert answered * 100 >= percent * len(codes), others


@when(
    '{count:d} answers of up to {most:d} bytes are requested while '
    'connections break',
)
def request_large_answers(context, count, most):
    """Submit jobs with answers of many sizes; the targets cut off some."""
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


@then('every answer is complete and belongs to its request')
def check_large_answers(context):
    """Compare each answer byte by byte, and check the history."""
    for record in context.records:
        length = json.loads(record.arrival.body)['answer_bytes']
        mark = f'{record.arrival.contract["id"]}/0:'.encode()
        expected = (mark * (length // len(mark) + 1))[:length]
        assert record.code == ResultCode.ANSWERED, record.replies
        assert record.answer == expected, record.arrival.contract
    assert not find_violations(context.records, spans_of(context.trial.cell))


def _steady(seconds: float, rate: float = 30) -> list[Arrival]:
    return [
        Arrival(
            number / rate,
            {'id': f's{number}', 'team': 'patio', 'repeatable': False},
            b'{"ms": 100}',
        )
        for number in range(int(seconds * rate))
    ]


def _run_steady(context, seconds, inject_fault):
    cell = context.trial.cell

    async def timed_fault():
        context.fault_time = time.monotonic()
        await asyncio.to_thread(inject_fault)

    context.records = asyncio.run(
        _run_load_with_fault(_steady(seconds), cell, timed_fault)
    )


def _busiest(cell):
    return max(target_counts(cell), key=lambda seen: len(seen['spans']))['name']


@when('a target starts to leave, under load for {seconds:d} s')
def leave(context, seconds):
    """Make the busiest target announce that it is leaving."""
    cell = context.trial.cell

    def inject_fault():
        context.left = _busiest(cell)
        address = cell.targets[context.left]
        call(address, '/v1/control', 'POST', b'{"leave": true}')

    _run_steady(context, seconds, inject_fault)


@when('a target is drained by an operator, under load for {seconds:d} s')
def drain(context, seconds):
    """Drain the busiest target through an entry."""
    cell = context.trial.cell

    def inject_fault():
        context.left = _busiest(cell)
        entry = cell.plan.hosts[-1].entry
        call(entry, f'/v1/targets/{context.left}/drain', 'PUT')

    _run_steady(context, seconds, inject_fault)


@then('it starts no task after 3 s, and every request is answered')
def check_left(context):
    """Check when the target started its attempts, and all result codes."""
    late = [
        span
        for span in spans_of(context.trial.cell)
        if span.target == context.left
        and span.began > context.fault_time + _LEAVE_LIMIT_S
    ]
    assert not late, late
    before = [
        span
        for span in spans_of(context.trial.cell)
        if span.target == context.left
    ]
    assert before, 'the target ran no task at all'
    codes = {record.code for record in context.records}
    assert codes == {ResultCode.ANSWERED}, codes


@when('{kind} is stopped gracefully, under load for {seconds:d} s')
def stop_kind(context, kind, seconds):
    """Send SIGTERM in the middle of the load."""
    cell = context.trial.cell
    name = f'entry-{cell.plan.hosts[0].name}'
    if kind != 'an entry':
        name = f'scheduler-{leader_host(cell, "santander")}'

    def inject_fault():
        context.status = stop_process(cell, name)

    _run_steady(context, seconds, inject_fault)


@then('no request was interrupted, and it ended with status 0')
def check_stopped(context):
    """Allow failed connects but no broken connection; expect all answers."""
    assert context.status == 0
    interrupted = [
        reply
        for record in context.records
        for reply in record.replies
        if reply.code == ResultCode.ENTRY_UNREACHABLE
        and b'Connect call failed' not in reply.answer
    ]
    assert not interrupted, interrupted
    codes = {record.code for record in context.records}
    assert codes == {ResultCode.ANSWERED}, codes
    assert not find_violations(context.records, spans_of(context.trial.cell))


@when('{count:d} requests that are not repeatable are answered')
def submit_answered_requests(context, count):
    """Submit requests whose ids name santander as their home domain."""
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
        if not all(map(_is_complete, dump['scheduler']['groups'])):
            return False
    return True


def _is_complete(group) -> bool:
    """Return whether a group has three voting hosts and lists this replica.

    A replica whose host has a voter seat must hold the seat itself; any other
    must be a learner.
    """
    voters = [one.partition('#')[0] for one in group['voters']]
    replica = group['replica']
    has_voter_seat = replica.partition('#')[0] in voters
    members = group['voters'] if has_voter_seat else group['learners']
    return replica in members and len(voters) == 3 and len(set(voters)) == 3


def _wipe(context, number):
    cell = context.trial.cell
    wipe_host(cell, hosts_in(cell.plan, 'santander')[number].name)
    wait_until(lambda: _is_repaired(cell), _REPAIR_TIMEOUT_S, 'the repair')
    total = 2 * len(domains_of(cell.plan))
    wait_until_serving(cell, total, _START_TIMEOUT_S)


@when('a host of santander loses all state, and is repaired')
def wipe_first(context):
    """Wipe the first host and wait for the repair."""
    _wipe(context, 0)


@when('the other host of santander loses all state, and is repaired')
def wipe_second(context):
    """Wipe the second host and wait for the repair."""
    _wipe(context, 1)


@then('a resend of each gets the same answer, and nothing ran twice')
def check_resends(context):
    """Resend each request through another entry, and count the starts."""
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


@then('each bad history is rejected, and each good one is accepted')
def check_checker(context):
    """Run the checker on handwritten histories."""
    one = Span('x/0', 1, 't0', 1, 2)
    second = Span('x/0', 2, 't1', 3, 4)
    overlapping = Span('x/0', 2, 't1', 1.5, 4)
    good = _record(100)
    once = _record(100, repeatable=False)
    good_histories = (
        (good, [one]),
        (good, [one, second]),
        (_record(303), []),
    )
    bad_histories = (
        (once, [one, second]),
        (good, [one, overlapping]),
        (_record(303), [one]),
        (_record(100, b'y/0:'), [one]),
        (_record(100, b'{}\n', count=2), [one]),
    )
    for record, spans in good_histories:
        assert not find_violations([record], spans), (record, spans)
    for record, spans in bad_histories:
        assert find_violations([record], spans), (record, spans)
