"""Steps that stop, reload and configure a cell while callers use it."""

import asyncio
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

from behave import then, when

from standins import odd_messages
from standins import platform_cell as cells
from standins.cell import is_listening
from standins.platform_callers import Caller, CallLog, call_repeatedly
from standins.platform_cell import ENTRIES, SCHEDULERS

_CALLERS = (
    Caller('keeps its connection'),
    Caller('keeps its connection, two at once', at_once=2),
    Caller('opens a connection a request', keeps_open=False),
)
# Callers of each kind at each entry.
_CALLERS_PER_KIND = 2
# Delay of the links from entries, one way (s): a request is then in progress
# for longer than the bound that the scenario sets.
_LINK_DELAY_S = 0.15
# Requests of each kind of caller without which the run shows nothing.
_MIN_REQUESTS = 10
_FIRST_VERSION = 3
_MS_PER_S = 1000


def _delay_links(cell):
    states = {
        name: (True, True, _LINK_DELAY_S)
        for entry in ENTRIES
        for name in cells.link_names(entry)
    }
    cells.call(cells.relay_control_address(cell), 'PUT', '/links', states)


def _is_serving(cell, entry):
    return cells.call_entry(cell, entry, 'GET', '')[0] == cells.HTTP_OK


def _configuration(version, **more):
    """Return a configuration in which one customer has the same key always.

    Callers send that key, which is the first one; the other one changes.
    """
    tenants = [
        odd_messages.tenant('acme'),
        odd_messages.tenant('beta', apiKeys=[f'key {version}']),
    ]
    return cells.configuration(version, tenants=tenants, **more)


def _change_configuration(cell, version):
    routes = cells.configuration(version)['routes']
    routes.append({**routes[0], 'name': 'r-2', 'pathPrefix': f'/{version}/'})
    return cells.put_config(cell, _configuration(version, routes=routes))


def _listens(cell, entry):
    return is_listening(f'{entry}:{cell.ports.callers}')


def _do_planned_work(cell, random, until):
    """Stop entries, reload settings and change the configuration.

    One entry after the other stops, and starts again once it has ended; one
    that still starts is left alone.  Returns how often each was done.
    """
    done = Counter()
    stopping = []
    while time.monotonic() < until:
        entry = ENTRIES[done['stops'] % len(ENTRIES)]
        if not stopping and _listens(cell, entry):
            stopping.append(entry)
            cell.running[entry].send_signal(signal.SIGTERM)
            done['stops'] += 1
        elif stopping and cell.running[stopping[0]].poll() is not None:
            done['failed stops'] += cell.running[stopping[0]].returncode != 0
            cells.start(cell, stopping.pop())
        listening = [one for one in ENTRIES if _listens(cell, one)]
        reloading = random.choice((*listening, *stopping, *SCHEDULERS))
        cell.running[reloading].send_signal(signal.SIGHUP)
        done['reloads'] += 1
        version = _FIRST_VERSION + 1 + done['changes']
        if _change_configuration(cell, version) == cells.HTTP_OK:
            done['changes'] += 1
        time.sleep(random.uniform(0.05, 0.3))
    return done


async def _call_during_planned_work(cell, seconds, seed):
    random = Random(seed)
    calls = CallLog()
    until = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        for entry in ENTRIES:
            for caller in _CALLERS * _CALLERS_PER_KIND:
                calling = call_repeatedly(
                    cell,
                    entry,
                    caller,
                    lambda: time.monotonic() > until,
                    Random(random.random()),
                    calls,
                )
                group.create_task(calling)
        work = group.create_task(
            asyncio.to_thread(_do_planned_work, cell, random, until)
        )
    return calls, work.result()


@when(
    'callers use both entries for {seconds:d} seconds of planned work, '
    'seed {seed:d}'
)
def call_during_planned_work(context, seconds, seed):
    """Run a cell with slow links, its callers and the planned work."""
    with (
        tempfile.TemporaryDirectory() as folder,
        cells.running_cell(Path(folder), relayed=True) as cell,
    ):
        cfg = _configuration(_FIRST_VERSION)
        cells.wait_until(
            lambda: cells.put_config(cell, cfg) == cells.HTTP_OK,
            'the cell to accept a configuration',
        )
        _delay_links(cell)
        for entry in ENTRIES:
            cells.wait_until(
                lambda entry=entry: _is_serving(cell, entry), 'the entry'
            )
        context.calls, context.work = asyncio.run(
            _call_during_planned_work(cell, seconds, seed)
        )
        context.events = Counter(
            line['event']
            for host in (*ENTRIES, *SCHEDULERS)
            for line in cells.log_lines(cell, host)
        )


@then('no request lacks a complete answer after {slack_ms:d} ms')
def check_answers(context, slack_ms):
    """Check all requests, and that each kind of caller sent some."""
    calls = context.calls
    late = [
        one for one in calls.unanswered if one.waited * _MS_PER_S > slack_ms
    ]
    assert not late, (len(late), late[:3], calls.sent, calls.statuses)
    sent = min(calls.sent[one.name] for one in _CALLERS)
    assert sent >= _MIN_REQUESTS, calls.sent


@then('none is answered 500, and each stopped entry exits with status 0')
def check_work(context):
    """Check the statuses and exits, and that there was work of each kind."""
    work = context.work
    assert not context.calls.statuses[500], context.calls.statuses
    # The key of the callers is in every configuration.
    assert not context.calls.statuses[401], context.calls.statuses
    assert not work['failed stops'], work
    assert min(work[one] for one in ('stops', 'reloads', 'changes')), work


@then('no process logs that it has cut off a request')
def check_log(context):
    """Check the logs, which have the lines of stops and reloads."""
    events = context.events
    assert not events['requests cut off'], events
    assert min(events['entry stopping'], events['settings reloaded']), events
