"""Steps that run replicas of the log through random failures."""

from types import MappingProxyType

from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from daisygw.zones import Role, holds_leader_lease, host_of
from tests.log_world import (
    HOSTS,
    World,
    check_converged,
    compact_log,
    crash,
    deliver,
    heal,
    is_settled,
    leader_of,
    pass_time,
    propose_if_leader,
    restart,
    wipe,
)

# 1.2 s of 20 ms ticks, longer than the election timeout of 1 s.
_SETTLE_TICKS = 60
_hosts = st.sampled_from(HOSTS)
_links = st.sampled_from([frozenset('ab'), frozenset('at'), frozenset('bt')])

_EVENTS = st.one_of(
    st.tuples(st.just('time'), st.integers(10, 60)),
    st.tuples(st.just('time'), st.integers(1, 10)),
    st.tuples(st.just('time'), st.integers(1, 4)),
    st.tuples(st.just('unreliable'), st.booleans()),
    st.tuples(st.just('deliver'), st.integers(0, 20)),
    st.tuples(st.just('duplicate'), st.integers(0, 20)),
    st.tuples(st.just('drop'), st.integers(0, 20)),
    st.tuples(st.just('propose'), _hosts),
    st.tuples(st.just('propose'), _hosts),
    st.tuples(st.just('propose'), _hosts),
    st.tuples(st.just('restart'), _hosts),
    st.tuples(st.just('heal'), _links),
    st.tuples(st.just('compact'), _hosts),
    st.tuples(st.just('crash'), _hosts),
    st.tuples(st.just('restart'), _hosts),
    st.tuples(st.just('wipe'), _hosts),
    st.tuples(st.just('pause'), _hosts),
    st.tuples(st.just('cut'), _links),
    st.tuples(st.just('heal'), _links),
)


def _drop(world, number):
    if world.in_flight:
        world.in_flight.pop(number % len(world.in_flight))


def _set_unreliable(world, on):
    world.unreliable = on


def _restart_all(world, _):
    for host, node in world.nodes.items():
        if node.replica is None:
            restart(world, host)


def _propose_all(world, _):
    for host in HOSTS:
        propose_if_leader(world, host)


def _pause(world, host):
    world.nodes[host].paused_ticks = 100


_EVENT_HANDLERS = MappingProxyType({
    'time': pass_time,
    'deliver': deliver,
    'duplicate': lambda world, number: deliver(world, number, duplicate=True),
    'drop': _drop,
    'unreliable': _set_unreliable,
    'propose': _propose_all,
    'compact': compact_log,
    'crash': crash,
    'restart': _restart_all,
    'wipe': wipe,
    'pause': _pause,
    'cut': lambda world, link: world.cut.add(link),
    'heal': lambda world, link: world.cut.clear(),
})


@given('a group of three replicas')
def form_group(context):
    """Start three new replicas and wait until they have formed a group."""
    _form_group(context, syncs_later=False)


@given('a group of three replicas whose leaders defer syncs where they may')
def form_group_deferring_syncs(context):
    """Form a group whose leaders may send before they sync."""
    _form_group(context, syncs_later=True)


def _form_group(context, *, syncs_later):
    context.syncs_later = syncs_later
    context.world = World(1, syncs_later=syncs_later)
    pass_time(context.world, 4 * _SETTLE_TICKS)
    assert is_settled(context.world)


@when(
    'it goes through {examples:d} random sequences of losses, crashes, '
    'pauses, cuts and wipes from seed {number:d}',
)
def run_random_failures(context, examples, number):
    """Draw event lists from a fixed seed and check after each event."""

    @seed(number)
    @settings(
        max_examples=examples,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate,),
    )
    @hypothesis_given(
        st.integers(0, 1000), st.lists(_EVENTS, min_size=80, max_size=160)
    )
    def run(start, events):
        world = World(start, syncs_later=context.syncs_later)
        pass_time(world, 4 * _SETTLE_TICKS)
        for name, drawn_value in events:
            _EVENT_HANDLERS[name](world, drawn_value)
        heal(world)
        check_converged(world)
        context.committed += len(world.committed)

    context.committed = 0
    run()


@then('no term had two leaders, and no committed record was lost or changed')
def check_something_committed(context):
    """Expect commits; the simulation itself checks at each event."""
    assert context.committed > 0


def _commit(world, count):
    for _ in range(count):
        propose_if_leader(world, leader_of(world).host)
        pass_time(world, 2)
    pass_time(world, 20)


@when('{count:d} records are committed')
def commit(context, count):
    """Propose records at the leader and wait for their commit."""
    _commit(context.world, count)


@when('host {host} is wiped, and the group is repaired')
def wipe_host(context, host):
    """Wipe a host and wait until it is a voter with all committed entries."""
    world = context.world
    wipe(world, host)
    assert world.wiped_host == host
    pass_time(world, 8 * _SETTLE_TICKS)
    assert not world.wiped_host


@then('every replica holds all {count:d} records')
def check_records(context, count):
    """Compare the state of each replica with the committed records."""
    check_converged(context.world)
    for node in context.world.nodes.values():
        assert len(node.applied) == count


@then("the members name b's new instance and not the old one")
def check_new_instance(context):
    """Read the voters that the leader knows."""
    voters = leader_of(context.world).replica.members.voters
    assert 'b#2' in voters and 'b#1' not in voters, voters


@when('hosts a and b are down until the group has no leader')
def stop_both(context):
    """Crash both, and expect that t, without a majority, does not lead."""
    world = context.world
    crash(world, 'a')
    crash(world, 'b')
    pass_time(world, 4 * _SETTLE_TICKS)
    assert leader_of(world) is None


@when('both restart')
def restart_both(context):
    """Restart both and wait for several elections."""
    for host in ('a', 'b'):
        restart(context.world, host)
    pass_time(context.world, 12 * _SETTLE_TICKS)


@then('a or b leads')
def check_not_tie_breaker(context):
    """Expect a leader that is not the tie-breaker."""
    assert leader_of(context.world).host in {'a', 'b'}


@when('the leader is cut off from both others')
def cut_leader(context):
    """Cut both links of the leader."""
    world = context.world
    context.old = leader_of(world)
    for host in HOSTS:
        if host != context.old.host:
            world.cut.add(frozenset((host, context.old.host)))


@then('it loses its lease before another leads')
def check_lease_lost(context):
    """Check the lease at the first tick at which another replica leads."""
    world = context.world
    for _ in range(10 * _SETTLE_TICKS):
        pass_time(world, 1)
        newest = leader_of(world)
        if newest and newest is not context.old:
            break
    assert newest is not context.old
    assert not holds_leader_lease(context.old.replica, world.now)
    pass_time(world, 4 * _SETTLE_TICKS)
    assert context.old.replica.role is not Role.LEADER
    assert host_of(newest.name) != context.old.host
