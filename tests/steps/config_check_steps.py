"""Steps that check configurations as an operator does, and in this process."""

import io
import json
import tempfile
import threading
import time
from dataclasses import replace
from functools import partial
from http.server import BaseHTTPRequestHandler, HTTPServer
from itertools import chain, product, repeat
from pathlib import Path

from behave import fixture, given, then, use_fixture, when
from hypothesis import HealthCheck, seed, settings
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from daisygw.cell import ChangeKind, check_consistency, compare_configs
from daisygw.context import Context
from daisygw.contracts import CellConfig, ContractError, Queue, queue_for
from daisygw.platform._check_config import check_config
from daisygw.platform._codec import decode_config
from daisygw.status import CheckStatus
from standins import odd_messages
from tests.odd_input import odd_messages as odd_documents
from tests.utils import daisygw

_LIMIT_BYTES = 8_388_608
_MARK = odd_messages.KEY_MARK
_EXAMPLES = settings(
    deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
_QUEUE = Queue('q', 'a', '/', 's', 3, 1, 0, 1, 1)
_QUEUES = st.builds(
    partial(replace, _QUEUE),
    name=st.sampled_from('qr'),
    host=st.sampled_from('ab'),
    prefix=st.sampled_from(('', '/', '//', '/x', '/x/', '/xy')),
    latency=st.sampled_from((0, 1)),
)
_QUEUE_SETS = st.lists(
    _QUEUES, max_size=6, unique_by=lambda queue: (queue.host, queue.prefix)
).map(tuple)


def _sound():
    """Return a configuration of two queues and two customers."""
    cfg = odd_messages.config()
    other = {**cfg['routes'][0], 'name': 'r-2', 'pathPrefix': '/other/'}
    keys = ['key of acme', 'second key']
    customers = [
        odd_messages.tenant('acme', apiKeys=keys, maxCount={'cpu': 2000}),
        odd_messages.tenant('beta', apiKeys=['key of beta']),
    ]
    customers[1]['maxCount']['cpu'] = 500
    limits = {'headerTimeoutMs': 9000, 'idleTimeoutMs': 9000}
    cfg |= {'tenants': customers, 'limits': limits}
    return {**cfg, 'routes': [*cfg['routes'], other]}


@fixture
def _folder(context):
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


@given('a configuration')
def define_config(context):
    """Prepare a folder and a sound configuration."""
    context.document = _sound()
    context.folder = use_fixture(_folder, context)


@given('a configuration with {value} at {path}')
def define_odd_config(context, value, path):
    """Prepare a configuration with one other value."""
    define_config(context)
    replace_value(context, value, path)


@given('it has {value} at {path}')
def replace_value(context, value, path):
    """Replace a value; members of an object are added to a row's."""
    keys = [int(key) if key.isdecimal() else key for key in path.split('/')]
    *parents, last = keys
    place = context.document
    for key in parents:
        place = place[key]
    new = json.loads(value)
    if isinstance(place, list) and last == len(place):
        place.append(new)
    else:
        place[last] = {**place[last], **new} if isinstance(new, dict) else new


@given('a scheduler that answers "GET /config" with {what}')
def start_scheduler(context, what):
    """Serve an answer from a thread, and note the requests."""
    raw = json.dumps(context.document).encode()
    statuses = {'status 503': 503, 'a redirect': 307}
    bodies = {
        'half of it': raw[: len(raw) // 2],
        'more than 8 MiB': b' ' * _LIMIT_BYTES + raw,
    }
    answer = statuses.get(what, 200), bodies.get(what, raw)
    context.server = use_fixture(_serving, context, answer)


class _Scheduler(BaseHTTPRequestHandler):
    """Gives the answer of its server, and notes the request there."""

    def do_GET(self):
        """Answer any path."""
        self.server.requests.append(self.requestline.rpartition(' ')[0])
        status, body = self.server.answer
        self.send_response(status)
        self.send_header('Location', '/config')
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        """Write nothing beside the output of the tests."""


@fixture
def _serving(context, answer):
    with HTTPServer(('127.0.0.1', 0), _Scheduler) as server:
        server.answer, server.requests = answer, []
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        yield server
        server.shutdown()
        thread.join()


@when('the configuration is checked')
def run_check(context):
    """Run the command on the configuration."""
    call_check(context, 'FILE')


@when('it is compared with the version in force')
def run_comparison(context):
    """Run the command with the address of the scheduler."""
    address = f'127.0.0.1:{context.server.server_port}'
    call_check(context, f'FILE --against={address}')


@when('the check is called with {options}')
def call_check(context, options):
    """Run the command; FILE stands for the file of the configuration."""
    path = context.folder / 'new.json'
    path.write_text(json.dumps(context.document))
    words = options.replace('FILE', str(path)).split()
    context.call = ['platform', 'check-config', *words]
    context.done = daisygw(*context.call)
    context.output = context.done.stdout.decode()


def _check_status(context, status):
    assert context.done.returncode == status, context.done
    assert b'Traceback' not in context.done.stderr, context.done


@then('the check ends with status {status:d} and prints "{text}"')
def check_printed(context, status, text):
    """Look for a line that begins with a text."""
    _check_status(context, status)
    lines = context.output.splitlines()
    assert any(line.startswith(text) for line in lines), context.output


@then('the check ends with status {status:d} and prints these lines')
def check_lines(context, status):
    """Look for lines that begin with each text."""
    for row in context.table:
        check_printed(context, status, row['line'])


@then(
    'the check ends with status {status:d} and has errors 601 at just these '
    'places'
)
def check_places(context, status):
    """Compare the places of all errors in the JSON output."""
    _check_status(context, status)
    found = json.loads(daisygw(*context.call, '--format=json').stdout)
    places = [one['place'] for one in found['findings'] if one['code'] == 601]
    assert sorted(places) == sorted(row['place'] for row in context.table)
    assert len(found['findings']) == found['errors'] == len(places), found


@then('the check ends with status {status:d} and one line on standard error')
def check_refused(context, status):
    """Check that nothing else is printed."""
    _check_status(context, status)
    assert not context.output
    assert len(context.done.stderr.decode().strip().splitlines()) == 1


@then('the scheduler got just one request, "{line}"')
def check_requests(context, line):
    """A check changes nothing, and does not repeat its question."""
    assert context.server.requests == [line]


@then('neither the text nor the JSON has a key')
def check_no_key(context):
    """Operators paste the output where others read it."""
    output = context.output + str(daisygw(*context.call, '--format=json'))
    for key in ('key of', 'second key', 'new key'):
        assert key not in output, output


def _check(raw, output='text'):
    """Check a document in this process; return status and output."""
    stream = io.StringIO()
    ctx = Context(stdout=stream, stderr=stream, env={})
    with tempfile.NamedTemporaryFile() as document:
        document.write(raw)
        document.flush()
        status = check_config(document.name, '', output, ctx)
    return status, stream.getvalue()


@then('{queues:d} queues and {keys:d} keys are checked within {limit:d} second')
def check_time(context, queues, keys, limit):
    """Guards against comparisons of each queue with all others."""
    cfg = _sound()
    rows = [
        {**cfg['routes'][0], 'pathPrefix': f'/{one}/'} for one in range(queues)
    ]
    owner = {**cfg['tenants'][0], 'apiKeys': list(map(str, range(keys)))}
    for timeout, status in ((3000, CheckStatus.SOUND), (0, CheckStatus.ERRORS)):
        routes = [{**row, 'timeoutMs': timeout} for row in rows]
        cfg |= {'routes': routes, 'tenants': [owner]}
        started = time.monotonic()
        assert _check(json.dumps(cfg).encode())[0] is status
        assert time.monotonic() - started < limit


@then('a document of 8 MiB and a byte is refused with code {code:d}')
def check_size(context, code):
    """Guards against reading documents without a bound."""
    raw = json.dumps(_sound()).encode()
    assert _check(raw.ljust(_LIMIT_BYTES))[0] is CheckStatus.SOUND
    status, output = _check(raw.ljust(_LIMIT_BYTES + 1))
    assert status is CheckStatus.ERRORS and f'[{code} ' in output


@then('of a document of {count:d} broken rows, {limit:d} errors are printed')
def check_error_limit(context, count, limit):
    """Guards against memory and time without a bound."""
    raw = b'{"version": 1, "services": [], "routes": [%b]}'
    status, output = _check(raw % b','.join(repeat(b'{}', count)))
    assert status is CheckStatus.ERRORS
    assert f'errors: {limit}, ' in output.splitlines()[-1]


def _is_refused(raw):
    try:
        decode_config(raw)
    except ContractError:
        return True
    return False


@then(
    '{count:d} odd documents from seed {number:d} have errors just if the '
    'server refuses them'
)
def check_odd_documents(context, count, number):
    """Guards against tracebacks, and a check that differs from the server."""

    @seed(number)
    @settings(_EXAMPLES, max_examples=count)
    @hypothesis_given(
        odd_documents(_sound()), st.sampled_from(('text', 'json'))
    )
    def run(raw, output):
        status, printed = _check(raw, output)
        assert (status is CheckStatus.ERRORS) == _is_refused(raw), printed

    run()


@then('each odd configuration has an error, and no output has a key')
def check_odd_configs(context):
    """Guards against errors that quote a key."""
    for what, document in odd_messages.ODD_CONFIGS.items():
        status, printed = _check(odd_messages.encode(document))
        assert status is CheckStatus.ERRORS, what
        assert _MARK not in printed, what


@then(
    '{count:d} documents with random broken rows from seed {number:d} have '
    'errors at these rows'
)
def check_broken_rows(context, count, number):
    """Guards against an error that hides others."""
    rows = [('routes', 0), ('routes', 1), ('tenants', 0), ('tenants', 1)]

    @seed(number)
    @settings(_EXAMPLES, max_examples=count)
    @hypothesis_given(
        st.dictionaries(
            st.sampled_from(rows),
            st.sampled_from((
                {'priority': 10**9},
                {'priority': ''},
                {'name': 1},
            )),
            min_size=1,
        )
    )
    def run(broken):
        document = _sound()
        for (key, index), odd in broken.items():
            document[key][index] |= odd
        found = json.loads(_check(json.dumps(document).encode(), 'json')[1])
        places = {one['place'].partition('.')[0] for one in found['findings']}
        assert places == {f'{key}[{index}]' for key, index in broken}, found

    run()


@then(
    '{count:d} random sets of queues from seed {number:d} agree with the '
    'choice of queues'
)
def check_shadowed(context, count, number):
    """Compare with ``queue_for`` on all short paths."""
    tails = (product('/xy', repeat=length) for length in range(5))
    paths = [''.join(('/', *tail)) for tail in chain(*tails)]

    @seed(number)
    @settings(_EXAMPLES, max_examples=count)
    @hypothesis_given(_QUEUE_SETS)
    def run(queues):
        cfg = CellConfig(1, queues, ('s',), 0, b'')
        reached = {
            id(queue_for(cfg, host, path))
            for host, path in product('ab', paths)
        }
        found = {one.place.position for one in check_consistency(cfg, 0)}
        for position, queue in enumerate(queues):
            assert (position in found) == (id(queue) not in reached)

    run()


@then(
    '{count:d} random pairs of configurations from seed {number:d} are told '
    'apart'
)
def check_differences(context, count, number):
    """Guards against a change that is not shown, or shown in one direction."""
    swapped = {ChangeKind.NEW: ChangeKind.GONE, ChangeKind.GONE: ChangeKind.NEW}

    @seed(number)
    @settings(_EXAMPLES, max_examples=count)
    @hypothesis_given(_QUEUE_SETS, _QUEUE_SETS)
    def run(before, after):
        plain = CellConfig(1, (), ('s',), 0, b'')
        old, new = replace(plain, queues=before), replace(plain, queues=after)
        forth, back = compare_configs(old, new), compare_configs(new, old)
        assert not compare_configs(old, old)
        assert bool(forth) != (set(before) == set(after))
        kinds = [swapped.get(one.kind, one.kind) for one in back]
        assert sorted(kinds) == sorted(one.kind for one in forth)

    run()
