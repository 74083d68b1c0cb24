"""Steps that bring replicas into known hard cases."""

from behave import then, when

from daisygw.zones import Role, TimeoutNow, host_of, propose, receive
from tests.log_world import (
    HOSTS,
    check_converged,
    crash,
    heal,
    is_settled,
    leader_of,
    pass_time,
    perform_effects,
    propose_if_leader,
    restart,
)

# 1.2 s of 20 ms ticks, longer than the election timeout of 1 s.
_SETTLE_TICKS = 60


def _cut(world, one, other):
    world.cut.add(frozenset((one, other)))


def _others(host):
    return [one for one in HOSTS if one != host]


@when(
    'an entry of term 2 is on two of three replicas, and one of them leads '
    'a later term',
)
def lead_with_earlier_entry(context):
    """Let the entry reach one follower, which then leads and copies it."""
    world = context.world
    old = leader_of(world).host
    holder, lagging = _others(old)
    _cut(world, old, lagging)
    _cut(world, old, holder)
    _cut(world, holder, lagging)
    propose(world.nodes[old].replica, b'early')
    perform_effects(world, old)
    context.early_entry = world.nodes[old].replica.log[-1]
    follower = world.nodes[holder].replica
    follower.log.append(context.early_entry)
    perform_effects(world, holder)
    crash(world, old)
    pass_time(world, 2 * _SETTLE_TICKS)
    world.cut.discard(frozenset((holder, lagging)))
    context.committed_alone = _wait_for_commit(
        world, holder, context.early_entry.index
    )


def _wait_for_commit(world, host, index):
    """Wait for the commit; return whether it covers no later entry."""
    replica = world.nodes[host].replica
    for _ in range(8 * _SETTLE_TICKS):
        pass_time(world, 1)
        if replica.commit >= index:
            return replica.commit == index
    raise AssertionError('the entry was never committed')


@then('it is not committed before an entry of the later term is')
def check_not_committed_alone(context):
    """Expect the first commit that covers it to cover a later one too."""
    assert not context.committed_alone


@when(
    'the link between the leader and a or b is cut for many election timeouts'
)
def cut_one(context):
    """Cut one link; the tie-breaker still hears both replicas."""
    world = context.world
    context.leader = leader_of(world)
    context.term = context.leader.replica.term
    other = next(one for one in ('a', 'b') if one != context.leader.host)
    _cut(world, context.leader.host, other)
    pass_time(world, 12 * _SETTLE_TICKS)


@then('the leader and the term stay as they were')
def check_not_deposed(context):
    """Expect the same leader in the same term."""
    replica = context.leader.replica
    assert replica.role is Role.LEADER
    assert replica.term == context.term


@when('the voter that acknowledged the leader restarts, cut off from it')
def restart_voter(context):
    """Restart the voter; with the third replica it is a majority."""
    world = context.world
    old = leader_of(world).host
    voter, third = _others(old)
    _cut(world, old, third)
    pass_time(world, 3 * _SETTLE_TICKS)
    assert leader_of(world).host == old
    world.nodes[third].replica.election_due = world.now
    _cut(world, old, voter)
    crash(world, voter)
    restart(world, voter)
    pass_time(world, 4 * _SETTLE_TICKS)
    assert leader_of(world).host != old


@when(
    'the tie-breaker leads and hands over, and is then cut off from the next '
    'leader',
)
def hand_over(context):
    """Let the tie-breaker lead, deliver its TimeoutNow, then cut."""
    world = context.world
    term = leader_of(world).replica.term
    tie = world.nodes['t']
    order = TimeoutNow('g', leader_of(world).name, tie.name, term)
    receive(tie.replica, order, world.now)
    perform_effects(world, 't')
    following = _run_until_handover(world)
    _cut(world, 't', following)
    pass_time(world, 4 * _SETTLE_TICKS)


def _run_until_handover(world):
    for _ in range(4 * _SETTLE_TICKS):
        pass_time(world, 1)
        for message in list(world.in_flight):
            if isinstance(message, TimeoutNow) and message.to[0] != 't':
                host = host_of(message.to)
                world.in_flight.remove(message)
                receive(world.nodes[host].replica, message, world.now)
                perform_effects(world, host)
                return host
    raise AssertionError('the tie-breaker did not hand over')


@then('at no time did two replicas hold a leader lease')
def check_single_lease(context):
    """Expect the group to settle; each tick has checked the leases."""
    heal(context.world)
    assert is_settled(context.world)


@when("a cut-off leader's entries are replaced, and it restarts from its disk")
def replace_entries(context):
    """Append at the cut-off leader while the others elect and commit."""
    world = context.world
    old = leader_of(world).host
    for other in _others(old):
        _cut(world, old, other)
    for _ in range(3):
        propose_if_leader(world, old)
    pass_time(world, 4 * _SETTLE_TICKS)
    for _ in range(5):
        propose_if_leader(world, leader_of(world).host)
        pass_time(world, 4)
    world.cut.clear()
    pass_time(world, 4 * _SETTLE_TICKS)
    crash(world, old)
    restart(world, old)


@then('every replica holds the same committed records')
def check_same(context):
    """Heal the group and compare all replicas."""
    heal(context.world)
    check_converged(context.world)
