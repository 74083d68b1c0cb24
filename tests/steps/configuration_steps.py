"""Steps that change the configuration during races and failures."""

import asyncio
import json
import time

import aiohttp
import msgspec
from behave import then, when

from daisygw.contracts import ConfigChanged
from daisygw.schedulers import ConfigState, config_state_machine
from daisygw.settings import Settings
from standins.cell import call, fetch_json, hosts_in, kill, wait_until
from standins.partition import cut, heal_network
from tests.utils import daisygw

_IN_FORCE_TIMEOUT_S = 5.0
_START_TIMEOUT_S = 60
_MANY_CHANGES_TIMEOUT_S = 120
_MAX_TRIES = 8
_REPLY_AFTER_KILL_TIMEOUT_S = 5
# Time for the hosts to notice the cut.
_DETECTION_SECONDS = 4
_PATH = '/v1/configuration'


def _document(context, expected, change, **overlays):
    base = context.trial.cell.base.read_text()
    text = f'{base}\n[limits]\nbody_bytes = {10_000 + expected}\n'
    return {
        'expected': expected,
        'change': change,
        'operator': 'ana',
        'base': text,
        'overlays': overlays,
    }


def _apply(context, entry, document):
    body = json.dumps(document).encode()
    return json.loads(call(entry, _PATH, 'POST', body)[1])


def _entries(context):
    return [host.entry for host in context.trial.cell.plan.hosts]


def _record_versions(context):
    if 'versions' not in context:
        context.versions = {}
    versions = []
    for entry in _entries(context):
        shown = fetch_json(entry, _PATH)
        if shown is not None and 'version' in shown:
            versions.append(shown['version'])
            context.versions.setdefault(entry, []).append(shown['version'])
    return versions


async def _race(context, count):
    async with aiohttp.ClientSession() as http:

        async def submit_change(number):
            entry = _entries(context)[number % len(_entries(context))]
            document = _document(context, 0, f'race-{number}')
            url = f'http://{entry}{_PATH}'
            async with http.post(url, json=document) as reply:
                return await reply.json()

        return await asyncio.gather(*map(submit_change, range(count)))


@when('{count:d} operators race to change version 0 through all entries')
def race(context, count):
    """Submit all changes concurrently."""
    context.replies = asyncio.run(_race(context, count))


@then('one change is accepted, and the others are refused with code {code:d}')
def check_race(context, code):
    """Expect one accepted change, and this code for all others."""
    codes = [reply['code'] for reply in context.replies]
    assert codes.count(103) == 1, context.replies
    assert codes.count(code) == len(codes) - 1, context.replies


@then('a resend of the winning change is accepted as the same version')
def check_resend(context):
    """Send the accepted change again, as after a lost answer."""
    winner = next(one for one in context.replies if one['code'] == 103)
    document = _document(context, 0, winner['change'])
    again = _apply(context, _entries(context)[-1], document)
    assert again['code'] == 103, again
    assert again['view']['version'] == winner['view']['version'] == 1


@then('version {version:d} is in force at every entry within 5 s')
def check_version(context, version):
    """Wait until every entry shows this version and no other."""
    wait_until(
        lambda: set(_record_versions(context)) == {version},
        _IN_FORCE_TIMEOUT_S,
        'the version',
    )


def _apply_with_retries(context, expected, change):
    """Submit a change to each entry in turn until accepted, at most 8 times."""
    for attempt in range(_MAX_TRIES):
        entries = _entries(context)
        try:
            reply = _apply(
                context,
                entries[attempt % len(entries)],
                _document(context, expected, change),
            )
        except (OSError, ValueError):
            time.sleep(0.3)
            continue
        if reply['code'] in {101, 103}:
            context.accepted = reply['view']['version']
            return
    raise AssertionError(f'{change} was not accepted')


@when('{count:d} changes are applied one after the other')
def apply_many(context, count):
    """Apply the changes through all entries in turn."""
    began = time.monotonic()
    for number in range(count):
        document = _document(context, number, f'c{number}')
        entry = _entries(context)[number % len(_entries(context))]
        reply = _apply(context, entry, document)
        assert reply['code'] in {101, 103}, reply
        if number % 50 == 0:
            _record_versions(context)
    assert time.monotonic() - began < _MANY_CHANGES_TIMEOUT_S
    context.accepted = count


def _config_leader(context):
    for entry in _entries(context):
        dump = fetch_json(entry, '/v1/dump')
        if dump and 'configuration' in dump['entry']['leaders']:
            return dump['entry']['leaders']['configuration']
    raise AssertionError('no entry knows a leader of the configuration')


@when('the leader of the configuration is killed during the next change')
def kill_in_change(context):
    """Kill the leader while a change is in flight, and resend the change."""
    cell = context.trial.cell
    leader = _config_leader(context)
    expected = context.accepted

    async def submit_and_kill():
        async with aiohttp.ClientSession() as http:
            document = _document(context, expected, 'mid')
            url = f'http://{_entries(context)[0]}{_PATH}'
            request = asyncio.ensure_future(http.post(url, json=document))
            await asyncio.sleep(0)
            kill(cell, f'scheduler-{leader}')
            await asyncio.wait([request], timeout=_REPLY_AFTER_KILL_TIMEOUT_S)
            request.cancel()

    asyncio.run(submit_and_kill())
    _apply_with_retries(context, expected, 'mid')
    cell.processes[f'scheduler-{leader}'].restart()
    assert context.accepted == expected + 1


@when('all processes are killed and restarted')
def restart_all(context):
    """Kill and restart all entries and schedulers; the targets run on."""
    _record_versions(context)
    cell = context.trial.cell
    names = [one for one in cell.processes if not one.startswith('targets')]
    for name in names:
        kill(cell, name)
    for name in names:
        cell.processes[name].restart()
    wait_until(
        lambda: len(_healthy_entries(context)) == len(_entries(context)),
        _START_TIMEOUT_S,
        'the entries',
    )


def _healthy_entries(context):
    return [one for one in _entries(context) if fetch_json(one, '/v1/health')]


@then('every accepted change is in force at every entry within 5 s')
def check_accepted(context):
    """Wait until every entry shows the newest accepted version."""
    wait_until(
        lambda: set(_record_versions(context)) == {context.accepted},
        _IN_FORCE_TIMEOUT_S,
        f'version {context.accepted}',
    )
    limit = fetch_json(_entries(context)[0], _PATH)['limits']['body_bytes']
    assert limit == 10_000 + context.accepted - 1, limit


@then('no entry ever showed an older version after a newer one')
def check_never_back(context):
    """Check each entry's versions, also across restarts.

    A restarted entry shows no version until a leader has sent it one.
    """
    for entry, versions in context.versions.items():
        assert versions == sorted(versions), (entry, versions)


@then('a restart reads a snapshot instead of the whole log')
def check_snapshot(context):
    """Check the configuration replicas' snapshots and logs after a restart."""
    for entry in _entries(context):
        groups = fetch_json(entry, '/v1/dump')['scheduler']['groups']
        config = next(one for one in groups if one['group'] == 'configuration')
        assert config['snapshot_index'] > 0, config
        assert config['log_entries'] <= 200, config


@when('oviedo is cut off')
def cut_oviedo(context):
    """Cut both hosts of oviedo off from all others."""
    trial = context.trial
    names = {host.name for host in hosts_in(trial.cell.plan, 'oviedo')}
    cut(trial.network, names)
    time.sleep(_DETECTION_SECONDS)


@when('a change is accepted that still waits for oviedo')
def change_without_oviedo(context):
    """Check that the answer names the site that it still waits for."""
    entry = hosts_in(context.trial.cell.plan, 'santander')[0].entry
    document = _document(context, 0, 'during-the-cut')
    reply = _apply(context, entry, document)
    assert reply['code'] == 101, reply
    assert reply['view']['waiting'] == ['oviedo'], reply
    assert reply['view']['in_force'] == ['santander'], reply
    context.accepted = 1
    _record_versions(context)


@when('the network is restored')
def restore_network(context):
    """Open all links again."""
    heal_network(context.trial.network)


@when('a change with an invalid overlay of a site is submitted')
def submit_invalid_change(context):
    """Submit an overlay with an unknown key."""
    overlay = '[limits]\nbody_byte = 1\n'
    document = _document(context, 0, 'faulty', oviedo=overlay)
    context.reply = _apply(context, _entries(context)[0], document)


@then('it is refused with code {code:d} and names the site and the key')
def check_invalid_change(context, code):
    """Check the code, and the site and key in the reason."""
    assert context.reply['code'] == code, context.reply
    assert 'oviedo: limits.body_byte' in context.reply['reason']


def _history(context):
    entry = _entries(context)[-1]
    done = daisygw('config', 'history', f'--entry={entry}')
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)['view']


@then('an operator is shown the winning change, by whom and when')
def check_history(context):
    """Read the change history with the command line."""
    winner = next(one for one in context.replies if one['code'] == 103)
    shown = _history(context)
    assert [one['change'] for one in shown] == [winner['change']], shown
    assert shown[0]['version'] == 1 and shown[0]['at'] > 0, shown
    assert shown[0]['operator'] == 'ana', shown


@then('an operator is shown the newest {count:d} changes')
def check_newest(context, count):
    """Check the listed versions, newest first."""
    newest = context.accepted
    shown = [one['version'] for one in _history(context)]
    assert shown == list(range(newest, newest - count, -1)), shown


@when('a configuration snapshot without a change list is read')
def read_old_snapshot(context):
    """Restore the two snapshot formats that older versions wrote."""
    context.state = ConfigState(Settings())
    machine = config_state_machine(
        context.state, lambda change: None, lambda term, leads: None
    )
    change = ConfigChanged(3, 'c3', 'ana', 1, '', ())
    saved = ((change, {'c1': 1, 'c2': 2, 'c3': 3}), (change, {}, ()))
    context.restored_versions = []
    for one in saved:
        machine.restore(msgspec.msgpack.encode(one))
        context.restored_versions.append(context.state.history.version)


@then('its version is restored, and its change list is empty')
def check_old_snapshot(context):
    """Check the version that each format gave."""
    assert context.restored_versions == [3, 3], context.restored_versions
    assert not context.state.history.noted
