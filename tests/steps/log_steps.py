"""Steps that drive replicas of the log through failures."""

from types import MappingProxyType

from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as drawn
from hypothesis import strategies as st

from daisygw.zones import Role, holds_leader_lease, host_of
from tests.log_world import (
    HOSTS,
    World,
    check_healed,
    compact_at,
    crash,
    deliver,
    heal,
    is_whole,
    leader_of,
    pass_time,
    propose_at,
    restart,
    wipe,
)

_SETTLE = 60
_hosts = st.sampled_from(HOSTS)
_links = st.sampled_from([frozenset('ab'), frozenset('at'), frozenset('bt')])

_EVENTS = st.one_of(
    st.tuples(st.just('time'), st.integers(10, 60)),
    st.tuples(st.just('time'), st.integers(1, 10)),
    st.tuples(st.just('time'), st.integers(1, 4)),
    st.tuples(st.just('storm'), st.booleans()),
    st.tuples(st.just('deliver'), st.integers(0, 20)),
    st.tuples(st.just('double'), st.integers(0, 20)),
    st.tuples(st.just('lose'), st.integers(0, 20)),
    st.tuples(st.just('propose'), _hosts),
    st.tuples(st.just('propose'), _hosts),
    st.tuples(st.just('propose'), _hosts),
    st.tuples(st.just('restart'), _hosts),
    st.tuples(st.just('mend'), _links),
    st.tuples(st.just('compact'), _hosts),
    st.tuples(st.just('crash'), _hosts),
    st.tuples(st.just('restart'), _hosts),
    st.tuples(st.just('wipe'), _hosts),
    st.tuples(st.just('pause'), _hosts),
    st.tuples(st.just('cut'), _links),
    st.tuples(st.just('mend'), _links),
)


def _lose(world, number):
    if world.wire:
        world.wire.pop(number % len(world.wire))


def _storm(world, on):
    world.storm = on


def _restart_all(world, _):
    for host, node in world.nodes.items():
        if node.replica is None:
            restart(world, host)


def _propose_all(world, _):
    for host in HOSTS:
        propose_at(world, host)


def _pause(world, host):
    world.nodes[host].paused = 100


_DRIVE = MappingProxyType({
    'time': pass_time,
    'deliver': deliver,
    'double': lambda world, number: deliver(world, number, twice=True),
    'lose': _lose,
    'storm': _storm,
    'propose': _propose_all,
    'compact': compact_at,
    'crash': crash,
    'restart': _restart_all,
    'wipe': wipe,
    'pause': _pause,
    'cut': lambda world, link: world.cut.add(link),
    'mend': lambda world, link: world.cut.clear(),
})


@given('a group of three replicas')
def begin(context):
    """Start three new replicas and let them form their group."""
    _begin(context, syncs_later=False)


@given('a group of three replicas whose leaders sync later where they may')
def begin_later(context):
    """Start them so."""
    _begin(context, syncs_later=True)


def _begin(context, *, syncs_later):
    context.syncs_later = syncs_later
    context.world = World(1, syncs_later=syncs_later)
    pass_time(context.world, 4 * _SETTLE)
    assert is_whole(context.world)


@when(
    'it is driven through {examples:d} runs of losses, crashes, pauses, '
    'cuts and wipes from seed {number:d}',
)
def drive(context, examples, number):
    """Draw event lists from a fixed seed and check every step."""

    @seed(number)
    @settings(
        max_examples=examples,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate,),
    )
    @drawn(st.integers(0, 1000), st.lists(_EVENTS, min_size=80, max_size=160))
    def run(start, events):
        world = World(start, syncs_later=context.syncs_later)
        pass_time(world, 4 * _SETTLE)
        for name, drawn_value in events:
            _DRIVE[name](world, drawn_value)
        heal(world)
        check_healed(world)
        context.committed += len(world.committed)

    context.committed = 0
    run()


@then('no term had two leaders, and no committed record was lost or changed')
def check_driven(context):
    """The checks ran at each step; see that they had something to check."""
    assert context.committed > 0


def _commit(world, count):
    for _ in range(count):
        propose_at(world, leader_of(world).host)
        pass_time(world, 2)
    pass_time(world, 20)


@when('{count:d} records are committed')
def commit(context, count):
    """Commit records through the leader."""
    _commit(context.world, count)


@when('host {host} is wiped, and the group is whole again')
def wipe_host(context, host):
    """Replace a host and wait for the repair."""
    world = context.world
    wipe(world, host)
    assert world.repairing == host
    pass_time(world, 8 * _SETTLE)
    assert not world.repairing


@then('every replica holds all {count:d} records')
def check_records(context, count):
    """Compare all states."""
    check_healed(context.world)
    for node in context.world.nodes.values():
        assert len(node.applied) == count


@then("the members name b's new instance and not the old one")
def check_birth(context):
    """Look at the leader's members."""
    voters = leader_of(context.world).replica.members.voters
    assert 'b#2' in voters and 'b#1' not in voters, voters


@when('hosts a and b are down for long enough that only t is left')
def leave_tie_breaker(context):
    """Let t see a whole group end, with one home host back at a time."""
    world = context.world
    crash(world, 'a')
    crash(world, 'b')
    pass_time(world, 4 * _SETTLE)
    assert leader_of(world) is None


@when('both return')
def both_return(context):
    """Restart both."""
    for host in ('a', 'b'):
        restart(context.world, host)
    pass_time(context.world, 12 * _SETTLE)


@then('a host at home leads')
def check_home(context):
    """The tie-breaker must not keep the lead."""
    assert leader_of(context.world).host in {'a', 'b'}


@when('the leader is cut off from both others')
def cut_leader(context):
    """Cut both of its links."""
    world = context.world
    context.old = leader_of(world)
    for host in HOSTS:
        if host != context.old.host:
            world.cut.add(frozenset((host, context.old.host)))


@then('it gives up before another leads')
def check_gives_up(context):
    """Watch step by step until another replica leads."""
    world = context.world
    for _ in range(10 * _SETTLE):
        pass_time(world, 1)
        newest = leader_of(world)
        if newest and newest is not context.old:
            break
    assert newest is not context.old
    assert not holds_leader_lease(context.old.replica, world.now)
    pass_time(world, 4 * _SETTLE)
    assert context.old.replica.role is not Role.LEADER
    assert host_of(newest.name) != context.old.host
