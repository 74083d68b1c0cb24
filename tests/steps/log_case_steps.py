"""Steps that lead replicas into known hard cases, one by one."""

from behave import then, when

from daisygw.zones import Role, TimeoutNow, host_of, propose, receive
from tests.log_world import (
    HOSTS,
    carry_out,
    check_healed,
    crash,
    heal,
    is_whole,
    leader_of,
    pass_time,
    propose_at,
    restart,
)

_SETTLE = 60


def _cut(world, one, other):
    world.cut.add(frozenset((one, other)))


def _others(host):
    return [one for one in HOSTS if one != host]


@when(
    'an entry of term 2 stands on two of three replicas, led again in a '
    'later term',
)
def earlier_term(context):
    """Let it reach one follower, then let that one lead and copy it."""
    world = context.world
    old = leader_of(world).host
    near, far = _others(old)
    _cut(world, old, far)
    _cut(world, old, near)
    _cut(world, near, far)
    propose(world.nodes[old].replica, b'early')
    carry_out(world, old)
    context.early = world.nodes[old].replica.log[-1]
    follower = world.nodes[near].replica
    follower.log.append(context.early)
    carry_out(world, near)
    crash(world, old)
    pass_time(world, 2 * _SETTLE)
    world.cut.discard(frozenset((near, far)))
    context.seen_early = _watch_commit(world, near, context.early.index)


def _watch_commit(world, host, index):
    """Return whether the entry was committed alone, without a later one."""
    replica = world.nodes[host].replica
    for _ in range(8 * _SETTLE):
        pass_time(world, 1)
        if replica.commit >= index:
            return replica.commit == index
    raise AssertionError('it was never committed')


@then('it is not committed before an entry of the later term is')
def check_earlier(context):
    """The first commit that covers it covers a later entry too."""
    assert not context.seen_early


@when('the link between the leader and one home replica is cut for long')
def cut_one(context):
    """The tie-breaker still hears both."""
    world = context.world
    context.leader = leader_of(world)
    context.term = context.leader.replica.term
    other = next(one for one in ('a', 'b') if one != context.leader.host)
    _cut(world, context.leader.host, other)
    pass_time(world, 12 * _SETTLE)


@then('the leader and the term stay as they were')
def check_stays(context):
    """Nobody unseated it."""
    replica = context.leader.replica
    assert replica.role is Role.LEADER
    assert replica.term == context.term


@when('the voter that acknowledged the leader restarts, cut off from it')
def restart_voter(context):
    """It and the third replica are a majority at once."""
    world = context.world
    old = leader_of(world).host
    voter, third = _others(old)
    _cut(world, old, third)
    pass_time(world, 3 * _SETTLE)
    assert leader_of(world).host == old
    world.nodes[third].replica.election_due = world.now
    _cut(world, old, voter)
    crash(world, voter)
    restart(world, voter)
    pass_time(world, 4 * _SETTLE)
    assert leader_of(world).host != old


@when(
    'the tie-breaker leads and hands over, and is then cut off from the next '
    'leader',
)
def hand_over(context):
    """Deliver the order to take over, then cut."""
    world = context.world
    term = leader_of(world).replica.term
    tie = world.nodes['t']
    order = TimeoutNow('g', leader_of(world).name, tie.name, term)
    receive(tie.replica, order, world.now)
    carry_out(world, 't')
    following = _step_until_order(world)
    _cut(world, 't', following)
    pass_time(world, 4 * _SETTLE)


def _step_until_order(world):
    for _ in range(4 * _SETTLE):
        pass_time(world, 1)
        for message in list(world.wire):
            if isinstance(message, TimeoutNow) and message.to[0] != 't':
                host = host_of(message.to)
                world.wire.remove(message)
                receive(world.nodes[host].replica, message, world.now)
                carry_out(world, host)
                return host
    raise AssertionError('the tie-breaker did not hand over')


@then('at no step two replicas had authority')
def check_authority_held(context):
    """Each step was checked; the group must still settle."""
    heal(context.world)
    assert is_whole(context.world)


@when("a cut-off leader's entries are replaced, and it restarts from its disk")
def replace_entries(context):
    """Let it append alone, then let the others lead and commit."""
    world = context.world
    old = leader_of(world).host
    for other in _others(old):
        _cut(world, old, other)
    for _ in range(3):
        propose_at(world, old)
    pass_time(world, 4 * _SETTLE)
    for _ in range(5):
        propose_at(world, leader_of(world).host)
        pass_time(world, 4)
    world.cut.clear()
    pass_time(world, 4 * _SETTLE)
    crash(world, old)
    restart(world, old)


@then('every replica holds the same committed records')
def check_same(context):
    """Let the group settle, and compare."""
    heal(context.world)
    check_healed(context.world)
