"""Steps about losses of power and disks in a group of five hosts."""

import tempfile
from pathlib import Path
from types import MappingProxyType

from behave import fixture, given, then, use_fixture, when

from daisygw.zones import host_of
from tests.power_world import (
    HOSTS,
    MAX_LOST,
    TICK_S,
    PowerLossError,
    World,
    check_nothing_lost,
    cut_off,
    has_on_disk,
    heal,
    kill,
    live_leader,
    lose_power,
    lost_hosts,
    pass_time,
    simulated_syncs,
    wipe,
)

_FORM_S = 5
_RECOVERY_S = 12
_REPAIR_S = 20
# Records that a leader decides in a second.
_RATE = 60
_MAX_ROUNDS = 12


@fixture
def _temporary_folder(context):
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def _may_lose(world, name):
    lost = lost_hosts(world)
    return name not in world.cut and (name in lost or len(lost) < MAX_LOST)


def _wipe_one(world, name):
    if _may_lose(world, name):
        wipe(world, name, world.random.uniform(0.3, 2))


def _kill(world, name):
    if _may_lose(world, name) and world.hosts[name].group:
        kill(world, name, world.random.uniform(0.1, 1))


def _cut(world, name):
    if _may_lose(world, name):
        cut_off(world, name)


def _heal(world, name):
    heal(world)


def _set_unreliable(world, name):
    world.unreliable = not world.unreliable


def _lose_all_power(world, name):
    lose_power(world, world.random.uniform(0.2, 1))


def _wait(world, name):
    pass_time(world, world.random.uniform(1, 4), _RATE)


_EVENTS = MappingProxyType({
    'wipe': _wipe_one,
    'kill': _kill,
    'cut': _cut,
    'heal': _heal,
    'unreliable': _set_unreliable,
    'power': _lose_all_power,
    'wait': _wait,
})


def _run_until_fault(world):
    """Go through random faults; stop right after an acknowledgement."""
    pass_time(world, _FORM_S)
    for _ in range(world.random.randint(0, _MAX_ROUNDS)):
        event = world.random.choice(tuple(_EVENTS))
        _EVENTS[event](world, world.random.choice(HOSTS))
        pass_time(world, world.random.uniform(0.1, 1.5), _RATE)
    world.unreliable = False
    heal(world)
    extra = world.random.randint(1, 40)
    world.fault_after = len(world.acknowledged) + extra
    try:
        pass_time(world, _RECOVERY_S, _RATE)
    except PowerLossError:
        return
    raise AssertionError('nothing was acknowledged')


def _final_fault(world):
    """Lose power, and the disks of hosts that hold the newest record."""
    lose_power(world, world.random.uniform(0.2, 2))
    newest = world.acknowledged[-1]
    lost = lost_hosts(world)
    left = [host for host in world.hosts.values() if host.name not in lost]
    holders = [host.name for host in left if has_on_disk(host, newest)]
    assert len(holders) + len(lost) > MAX_LOST, (newest, holders)
    world.random.shuffle(holders)
    for name in (*lost, *holders)[:MAX_LOST]:
        wipe(world, name, world.random.uniform(0.2, 2))


@when(
    '{count:d} groups of five hosts go through wipes, kills, cuts and losses '
    'of power from seed {seed:d}, and lose two disks and all power right '
    'after an acknowledgement',
)
def run_to_final_fault(context, count, seed):
    """Run each group in a folder of its own."""
    root = use_fixture(_temporary_folder, context)
    context.worlds = []
    for number in range(count):
        world = World(seed * 1000 + number, root / str(number))
        with simulated_syncs(world):
            _run_until_fault(world)
            _final_fault(world)
        context.worlds.append(world)


@then(
    'each has a leader with all that was acknowledged within {seconds:d} '
    'seconds',
)
def check_recovered(context, seconds):
    """Run each group for that long after the return of its hosts."""
    for number, world in enumerate(context.worlds):
        until = max(host.back_at for host in world.hosts.values()) + seconds
        with simulated_syncs(world):
            pass_time(world, until - world.now)
        try:
            check_nothing_lost(world)
        except AssertionError as exc:
            raise AssertionError(f'group {number}: {exc}') from exc


@then('each of the five hosts votes again and has the same state')
def check_repaired(context):
    """Compare the voters and the states after some more seconds."""
    for world in context.worlds:
        with simulated_syncs(world):
            pass_time(world, _REPAIR_S - _RECOVERY_S)
        leader = live_leader(world)
        voters = leader.group.replica.members.voters
        assert sorted(map(host_of, voters)) == list(HOSTS), voters
        for host in world.hosts.values():
            assert host.state.positions == leader.state.positions, host.name


@given(
    '{count:d} groups of five hosts whose processes load for {load:g} seconds'
)
def start_groups(context, count, load):
    """Run each group until it has a leader."""
    root = use_fixture(_temporary_folder, context)
    context.worlds = []
    for number in range(count):
        world = World(number, root / str(number))
        world.load_time = load
        with simulated_syncs(world):
            pass_time(world, _RECOVERY_S, _RATE)
        context.worlds.append(world)


@when('all hosts of each lose power, and are back {delay:d} seconds later')
def lose_all_power(context, delay):
    """Measure the time from the return of the hosts to the next leader."""
    context.election_times = []
    for world in context.worlds:
        with simulated_syncs(world):
            lose_power(world, delay)
            pass_time(world, delay)
            back_at = world.now
            while not any(host.state.leading for host in world.hosts.values()):
                pass_time(world, TICK_S)
        context.election_times.append(world.now - back_at)


@then(
    'at least {count:d} have a leader within {usual:g} seconds, and all within '
    '{longest:g}'
)
def check_election_times(context, count, usual, longest):
    """An election time, two of the five parts of its range, four messages."""
    times = sorted(context.election_times)
    assert times[count - 1] <= usual, times
    assert times[-1] <= longest, times
