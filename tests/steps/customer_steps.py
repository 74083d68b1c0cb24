"""Steps about customers, their keys and the jobs that belong to them."""

import hashlib
from collections import UserDict
from dataclasses import replace

import msgspec
from behave import given, then, when

from daisygw.cell import Cell, apply, snapshot
from daisygw.contracts import ZERO_SIZE, Customer, JobState, JobVerb, Size
from daisygw.links import codec
from tests import cell_world
from tests.cell_jobs import small_job
from tests.cell_records import restored
from tests.cell_world import TICK_S, World, run_for


class _CountingIndex(UserDict):
    """An index of keys that counts its lookups and allows nothing else."""

    def __init__(self, owners):
        """Hold the same keys as ``owners``."""
        super().__init__(owners)
        self.lookups = 0

    def get(self, key, default=None):
        """Count a lookup."""
        self.lookups += 1
        return self.data.get(key, default)

    def __iter__(self):
        """Fail: a search through all keys takes longer the more there are."""
        raise AssertionError('the keys were searched one by one')


def _digest(key):
    return hashlib.sha256(key.encode()).digest() if key else b''


def _queues(public='/p/'):
    queues = (cell_world.queue(prefix, 0) for prefix in ('/a/', '/b/', '/p/'))
    return tuple(
        replace(one, advisor=None, public=one.prefix == public)
        for one in queues
    )


def _customers(text):
    """Read customers and their keys, as in "acme: k1 k2, beta: k3"."""
    rows = [row.split(':') for row in text.split(',')]
    return tuple(
        Customer(name.strip(), tuple(map(_digest, keys.split())), 1, ZERO_SIZE)
        for name, keys in rows
    )


def _configure(context, customers, public='/p/'):
    context.customers = customers
    cell_world.configure(
        context.world,
        context.world.cell.cfg.version + 1,
        queues=_queues(public),
        customers=customers,
    )


def _start(context, customers):
    context.world = World(1)
    run_for(context.world, 1)
    context.records = list(snapshot(context.world.cell))
    context.world.lead.check_record = context.records.append
    _configure(context, customers)


@given('a cell with the customers {text}')
def start_with_customers(context, text):
    """Configure the queues /a/, /b/ and, public, /p/."""
    _start(context, _customers(text))


@given('a cell with no customer in its list')
def start_with_empty_list(context):
    """Configure an empty list, which differs from none."""
    _start(context, ())


@given('a cell without customers')
def start_without_customers(context):
    """Configure the same queues."""
    _start(context, None)


@when('the customers become {text}')
def change_customers(context, text):
    """Configure other customers in the next version."""
    _configure(context, _customers(text))


@when('the queue {prefix} becomes the only public one')
def change_public(context, prefix):
    """Configure the same customers in the next version."""
    _configure(context, context.customers, prefix)


def _code(context, verb, path, key='', job=None):
    seq = cell_world.request(context.world, verb, path, job, _digest(key))
    run_for(context.world, TICK_S)
    return context.world.responses[seq]


@then('these requests are answered with these codes')
def check_codes(context):
    """Send each request once the one before it was answered."""
    for row in context.table:
        verb = JobVerb(row['verb'])
        job = None
        if verb is JobVerb.SUBMIT:
            size = Size(100, 50, 0, 0)
            number = int(row['path'][3:])
            job = small_job(number, size=size, estimate=60)
            context.world.jobs[job.id] = job
        path = row['path']
        path = path[:3] + (path[3:] and f'{int(path[3:]):016x}')
        answer = _code(context, verb, path, row['key'], job)
        assert answer.code == int(row['code']), (row, answer)
        assert answer.code != 214 or not answer.retry_after, answer


@then('no job is known, and no refusal has a retry time')
def check_nothing_accepted(context):
    """Read the state; the answers were checked as they came."""
    assert not context.world.cell.jobs


@then(
    'an invalid job is answered {first:d} without a key, and {second:d} with '
    'the key {key}'
)
def check_invalid_job(context, first, second, key):
    """Send what an entry sends for a job that it cannot read."""
    path = f'/a/{1:016x}'
    codes = [
        _code(context, JobVerb.SUBMIT, path, one).code for one in ('', key)
    ]
    assert codes == [first, second], codes


@then('job {number:d} belongs to {customer} and is running in the end')
def check_owner(context, number, customer):
    """Read the job's owner, and expect no change of keys to stop it."""
    run_for(context.world, 1)
    job = context.world.cell.jobs[f'{number:016x}']
    owner = '' if customer == 'nobody' else customer
    assert job.enqueued.customer == owner, job.enqueued
    assert job.state is JobState.RUNNING, job.state


@when('there is {event}')
def replace_leader(context, event):
    """Start the next leader from what replicas and disks hold."""
    world = context.world
    run_for(world, TICK_S)
    if event == 'a change of the leader':
        cell_world.fail_over(world)
    elif event == 'a restart from the snapshot':
        cell_world.start_leader(world, restored(world.cell))
    else:
        encoded = codec.encode_batch(context.records)
        if event == 'a restart from a log of the version before':
            encoded = _without_later_fields(encoded)
        cell = Cell()
        for record in codec.decode_batch(encoded):
            apply(cell, record)
        cell_world.start_leader(world, cell)


def _without_later_fields(encoded):
    """Return the records as the version before customers encoded them."""
    rows = []
    for tag, row in msgspec.msgpack.decode(encoded):
        if isinstance(row[0], dict) and 'customers' in row[0]:
            row[0].pop('customers')
            for queue in row[0]['queues']:
                queue.pop('public')
        elif isinstance(row[0], dict) and 'payload' in row[0]:
            # The owner of a job, and whether it exceeds its customer's rate.
            row = row[:-2]
        rows.append((tag, row))
    return msgspec.msgpack.encode(rows)


@given('a cell with {count:d} customers who have {keys:d} keys each')
def start_with_many_keys(context, count, keys):
    """Count the lookups in the index of all keys."""
    _start(
        context,
        tuple(
            Customer(
                f'customer-{number}',
                tuple(_digest(f'{number} {key}') for key in range(keys)),
                1,
                ZERO_SIZE,
            )
            for number in range(count)
        ),
    )
    context.key = f'{count - 1} {keys - 1}'
    cell = context.world.cell
    assert len(cell.key_index) == count * keys
    context.index = _CountingIndex(cell.key_index)
    cell.key_index = context.index


@when('a request with the last key is handled')
def send_last_key(context):
    """Read an unknown job."""
    path = f'/a/{1:016x}'
    context.answer = _code(context, JobVerb.SHOW, path, context.key)


@then('it was answered {code:d} after one lookup of a key')
def check_lookups(context, code):
    """Expect the same index as before, which is built per configuration."""
    assert context.answer.code == code, context.answer
    assert context.world.cell.key_index is context.index
    assert context.index.lookups == 1, context.index.lookups
