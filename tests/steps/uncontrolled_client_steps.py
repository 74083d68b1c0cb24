"""Steps of clients that respect no limits, against real processes."""

import json
from contextlib import ExitStack
from itertools import count

from behave import then, when

from standins import platform_cell as cells
from standins.hostile_clients import Crowd, excess, sending
from standins.platform_cell import (
    ENTRIES,
    QUEUE_HOST,
    SCHEDULERS,
    call,
    call_entry,
    put_config,
    wait_until,
)

_MIB = 2**20
_HTTP_OK = 200
_ids = count(0xC0)
# Part of a JSON document that only makes it longer.
_FILLER = 'filler'


@when('{clients:d} clients send an entry {amount:d} bytes each of {what}')
def send_to_entry(context, clients, amount, what):
    """Keep the crowd's connections open until the end of the scenario."""
    _configure(context.cell)
    address = f'{ENTRIES[0]}:{context.cell.ports.callers}'
    _send(context, ENTRIES[0], address, clients, what, '/q/1', amount)


@when('{clients:d} clients send a scheduler {amount:d} bytes each of {what}')
def send_to_scheduler(context, clients, amount, what):
    """Send heartbeats that do not end."""
    _configure(context.cell)
    address = f'{SCHEDULERS[0]}:{context.cell.ports.control}'
    path = '/instances/w1'
    _send(context, SCHEDULERS[0], address, clients, what, path, amount)


def _configure(cell):
    cfg = cells.configuration(2)
    wait_until(lambda: put_config(cell, cfg) == _HTTP_OK, 'a configuration')


def _send(context, host, address, clients, what, path, amount):
    context.host = host
    pid = context.cell.running[host].pid
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.watch = stack.enter_context(
        sending(Crowd(address, pid, clients, what, path, amount)),
    )


@then('the {role} held at most {mib:d} MiB and {descriptors:d} descriptors')
def check_peak(context, role, mib, descriptors):
    """Check the most that was held while the crowd sent."""
    watch = context.watch
    watch.sample()
    assert watch.memory, 'no sample'
    found = excess(watch.memory, watch.descriptors, mib, descriptors)
    assert not found, found


@then('an ordinary job is accepted by the entry beside them')
def check_ordinary(context):
    """Submit a job while the crowd's connections are open."""
    name = f'{next(_ids):016x}'

    def accepted():
        return (
            call_entry(context.cell, ENTRIES[0], 'POST', name, cells.job())[0]
            == _HTTP_OK
        )

    wait_until(accepted, 'the job to be accepted')


@then('no process of the cell has ended')
def check_alive(context):
    """Check the processes that the cell was started with."""
    ended = cells.ended_hosts(context.cell)
    assert not ended, ended


@then('a job of {size:d} bytes is accepted')
def check_large_job(context, size):
    """Submit a job whose body has exactly this length."""
    body = cells.job()
    missing = size - len(json.dumps(body)) - len(', "": ""') - len(_FILLER)
    body[_FILLER] = 'a' * missing
    raw = json.dumps(body).encode()
    assert len(raw) == size, len(raw)
    name = f'{next(_ids):016x}'

    def accepted():
        return (
            call_entry(context.cell, ENTRIES[0], 'POST', name, raw)[0]
            == _HTTP_OK
        )

    wait_until(accepted, 'the job to be accepted')


@then('a request with a header section of {size:d} bytes is answered')
def check_large_head(context, size):
    """Read an unknown job with a long header section."""
    address = f'{ENTRIES[0]}:{context.cell.ports.callers}'
    headers = {'Host': QUEUE_HOST, 'X-Filler': 'a' * (size - 512)}
    status, _ = call(address, 'GET', '/q/00000000000000aa', None, headers)
    assert status == 410, status


@then('a heartbeat of 4 MiB and a configuration of 8 MiB are read')
def check_control(context):
    """Send documents of the largest size that the control port accepts.

    The heartbeat lacks its fields, so it is answered 400 once it is read.
    """
    control = f'{SCHEDULERS[0]}:{context.cell.ports.control}'
    beat = json.dumps({_FILLER: 'a' * (4 * _MIB - 64)}).encode()
    status, answer = call(control, 'PUT', '/instances/w9', beat)
    assert status == 400, (status, answer)
    cfg = cells.configuration(4)
    cfg[_FILLER] = 'a' * (8 * _MIB - len(json.dumps(cfg)) - 64)
    wait_until(
        lambda: put_config(context.cell, cfg) == _HTTP_OK,
        'the configuration of 8 MiB',
    )
