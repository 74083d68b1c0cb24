"""Steps about callers' keys at the entries of real processes."""

import hashlib
import itertools
import json
import socket
import time
from functools import partial

from behave import then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from standins import odd_messages
from standins import platform_cell as cells
from standins.platform_cell import ENTRIES, SCHEDULERS

_ids = itertools.count(1)
_MARK = odd_messages.KEY_MARK
_NO_ANSWER_YET = {503, 504}
# Schemes, then bytes of a key, and the mark by which a key is found in logs.
_ODD_HEADERS = st.tuples(
    st.sampled_from((b'', b'Token ', b'token\t', b'Token  ', b'Basic ')),
    st.binary(max_size=40) | st.just(b'x' * 9000),
    st.sampled_from((b'', _MARK.encode())),
).map(b''.join)


def _new_job_id():
    return f'{0xCC:02x}{next(_ids):014x}'


def _key(name):
    return f'{_MARK} {name}'


def _with_key(authorization):
    """Return a header; its last word stands for a key if it is in capitals."""
    words = authorization.split(' ')
    if words[-1].isupper():
        words[-1] = _key(words[-1])
    return ' '.join(words).encode()


def _send(cell, entry, method, name, authorization, body=b''):
    """Send a request; return the status (0: none) and the whole answer.

    ``authorization`` is sent as it is, unless it is empty.
    """
    head = [
        f'{method} {cells.PREFIX}{name} HTTP/1.1'.encode(),
        f'Host: {cells.QUEUE_HOST}'.encode(),
        f'Content-Length: {len(body)}'.encode(),
        b'Connection: close',
        b'X-Deadline-Ms: 2000',
    ]
    if authorization:
        head.append(b'Authorization: %b' % authorization)
    try:
        with socket.create_connection((entry, cell.ports.callers), 9) as conn:
            conn.sendall(b'\r\n'.join((*head, b'', body)))
            answer = b''.join(iter(partial(conn.recv, 1 << 16), b''))
    except OSError:
        return 0, b''
    return int(answer.split()[1]) if answer else 0, answer


def _submit(cell, entry, authorization, name=''):
    body = json.dumps(cells.job()).encode()
    return _send(
        cell, entry, 'POST', name or _new_job_id(), authorization, body
    )


@then('each entry answers these submissions with these statuses')
def check_submissions(context):
    """Submit a new job at each entry."""
    for entry, row in itertools.product(ENTRIES, context.table):
        authorization = _with_key(row['authorization'])
        expected = int(row['status'])
        # An entry may not be up yet, or no leader or worker be known to it.
        passing = {0} if expected == 503 else {0, 503, 504}

        def answered(header=authorization, entry=entry, passing=passing):
            found = _submit(context.cell, entry, header)
            return found if found[0] not in passing else None

        status, answer = cells.wait_until(answered, 'an answer')
        assert status == expected, (row, answer)
        if status == 401:
            assert b'www-authenticate: token\r\n' in answer.lower(), answer
            assert b'retry-after' not in answer.lower(), answer
            assert _MARK.encode() not in answer, answer


@then(
    'an invalid job is answered {first:d} without a key, and {second:d} with '
    'one'
)
def check_invalid_jobs(context, first, second):
    """Send unreadable jobs, and one whose id is none."""
    for entry, name in itertools.product(ENTRIES, (_new_job_id(), 'no-id')):
        found = [
            _send(context.cell, entry, 'POST', name, one, b'{"sp')[0]
            for one in (b'', _with_key('Token ACME-1'))
        ]
        assert found == [first, second], (name, found)


@when('a configuration gives acme {acme:d} keys and beta {beta:d} key')
@when('a configuration gives acme {acme:d} key and beta {beta:d} key')
def send_config(context, acme, beta):
    """Wait for the acknowledgement: from then on it is in force."""
    cell = context.cell
    tenants = [
        odd_messages.tenant(
            name,
            apiKeys=[
                _key(f'{name.upper()}-{number}')
                for number in range(1, count + 1)
            ],
        )
        for name, count in (('acme', acme), ('beta', beta))
    ]
    cfg = cells.configuration(max(cell.keys, default=0) + 1, tenants=tenants)
    cells.wait_until(
        lambda: cells.put_config(cell, cfg) == cells.HTTP_OK,
        'the configuration to be acknowledged',
    )


@when('a job is submitted with the header "{authorization}"')
def submit(context, authorization):
    """Submit it at the first entry."""
    context.job = _new_job_id()
    header = _with_key(authorization)
    status, answer = _submit(context.cell, ENTRIES[0], header, context.job)
    assert status == 200, answer


@then('these requests about it are answered with these statuses')
def check_requests(context):
    """Send them to the other entry, a submission with the same job."""
    body = json.dumps(cells.job()).encode()
    for row in context.table:
        status, answer = _send(
            context.cell,
            ENTRIES[1],
            row['method'],
            context.job,
            _with_key(row['authorization']),
            body if row['method'] == 'POST' else b'',
        )
        assert status == int(row['status']), (row, answer)


@when(
    '{examples:d} submissions with random Authorization headers are sent from '
    'seed {number:d}'
)
def send_odd_headers(context, examples, number):
    """Send any bytes but line ends, which would end the header."""
    found = []
    context.found = found

    @seed(number)
    @settings(
        max_examples=examples,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @hypothesis_given(header=_ODD_HEADERS)
    def send(header):
        header = header.replace(b'\n', b' ').replace(b'\r', b' ')
        found.append((_submit(context.cell, ENTRIES[0], header)[0], header))

    send()
    assert len(found) >= examples // 2, len(found)


@then('each was answered {first:d} or {second:d}')
def check_odd_headers(context, first, second):
    """Expect both statuses: some headers are no HTTP, others no key."""
    wrong = [row for row in context.found if row[0] not in {first, second}]
    assert not wrong, wrong[:3]
    assert {row[0] for row in context.found} == {first, second}


@when('all schedulers are killed, and restarted {seconds:d} seconds later')
def restart_schedulers(context, seconds):
    """Read the queue with each key until it is answered as in the end."""
    cell = context.cell
    in_the_end = {
        'Token ACME-1': 200,
        'Token ACME-2': 401,
        'Token UNKNOWN': 401,
    }
    context.statuses = {one: [] for one in in_the_end}
    cells.kill_schedulers(cell)
    restart_at = time.monotonic() + seconds
    until = restart_at + cells.WAIT_TIMEOUT_S
    pending = set(itertools.product(ENTRIES, in_the_end))
    while pending and time.monotonic() < until:
        if restart_at and time.monotonic() > restart_at:
            for host in SCHEDULERS:
                cells.start(cell, host)
            restart_at = 0
        for entry, one in sorted(pending):
            status, _ = _send(cell, entry, 'GET', '', _with_key(one))
            context.statuses[one].append(status)
            if status == in_the_end[one]:
                pending.discard((entry, one))
    assert not pending, (pending, context.statuses)


def _check_statuses(statuses, last):
    assert set(statuses) == _NO_ANSWER_YET | {last} or set(statuses) == {
        503,
        last,
    }, statuses


@then('known keys were answered 503 or 504 until they were answered {last:d}')
def check_known_keys(context, last):
    """Expect no other status."""
    _check_statuses(context.statuses['Token ACME-1'], last)


@then('other keys were answered 503 or 504 until they were answered {last:d}')
def check_other_keys(context, last):
    """Expect the same for a removed key as for one that never was."""
    for one in ('Token ACME-2', 'Token UNKNOWN'):
        _check_statuses(context.statuses[one], last)


@then('neither a key nor its digest is in a log line or metric of a process')
def check_secrecy(context):
    """Search what the processes of the scenarios before have written."""
    cell = context.cell
    names = ('ACME-1', 'ACME-2', 'BETA-1', 'UNKNOWN')
    digests = [hashlib.sha256(_key(name).encode()) for name in names]
    secrets = [_MARK, *(digest.hexdigest() for digest in digests)]
    secrets += [repr(digest.digest())[2:-1] for digest in digests]
    for host in (*SCHEDULERS, *ENTRIES):
        text = (cell.folder / f'{host}.log').read_text()
        address = f'{host}:{cell.ports.metrics}'
        # A scheduler that was just restarted may not serve them yet.
        metrics = cells.wait_until(
            lambda address=address: cells.call(address, 'GET', '/metrics')[1],
            'the metrics',
        ).decode()
        assert '"event"' in text and 'daisygw_' in metrics, host
        found = [one for one in secrets if one in text or one in metrics]
        assert not found, (host, found)
