"""Steps about open groups whose hosts join, leave and lose disks."""

from collections import deque
from itertools import pairwise

from behave import given, then, when

from daisygw.zones import (
    Append,
    Persist,
    Replica,
    Role,
    SnapshotPart,
    Timing,
    drain,
    entries_from,
    host_of,
    propose,
    receive,
    restore_replica,
    tick,
)
from daisygw.zones import Send as SendEffect
from tests.group_world import (
    ELECTION_S,
    TICK_S,
)


class _SimulatedHosts:
    """Replicas by host, and the messages between them."""

    def __init__(self):
        self.now = 0.0
        self.replicas = {}
        self.cut = set()
        self.without_entries = set()
        self.queue = deque()


_SEEDS = ('a', 'b', 'c')


def _add_replica(hosts, host, instance, voter_hosts):
    timing = Timing(heartbeat=0.1, election=ELECTION_S, drift=0.1)
    name = f'{host}#{instance}'
    seed = sum(name.encode('ascii'))
    replica = Replica('g', name, voter_hosts, timing, seed)
    replica.accepts_new_hosts = True
    replica.contacts.update(_SEEDS)
    hosts.replicas[host] = replica


def _pass_time(hosts, seconds):
    until = hosts.now + seconds
    while hosts.now < until:
        hosts.now += TICK_S
        for replica in hosts.replicas.values():
            tick(replica, hosts.now)
        _deliver(hosts)


def _deliver(hosts):
    for _ in range(4):
        for host, replica in hosts.replicas.items():
            for effect in drain(replica):
                if isinstance(effect, SendEffect):
                    hosts.queue.append((host, effect.message))
        while hosts.queue:
            host, message = hosts.queue.popleft()
            to = hosts.replicas.get(host_of(message.to))
            if to and not _is_dropped(hosts, host, message):
                receive(to, message, hosts.now)


def _is_dropped(hosts, sender, message):
    ends = {sender, host_of(message.to)}
    has_entries = isinstance(message, SnapshotPart) or (
        isinstance(message, Append) and bool(message.entries)
    )
    return bool(ends & hosts.cut) or (
        has_entries and host_of(message.to) in hosts.without_entries
    )


def _current_leader(hosts):
    leaders = [
        one
        for host, one in hosts.replicas.items()
        if one.role is Role.LEADER and host not in hosts.cut
    ]
    assert leaders, 'no leader'
    return max(leaders, key=lambda one: one.term)


@given('an open group of three hosts')
def open_group(context):
    """Form the group and commit one record."""
    context.hosts = _form_group(_SEEDS)


def _form_group(names):
    hosts = _SimulatedHosts()
    for host in names:
        _add_replica(hosts, host, 1, _SEEDS if host in _SEEDS else ())
    _pass_time(hosts, 5)
    propose(_current_leader(hosts), b'x')
    _pass_time(hosts, 1)
    return hosts


@given('an open group of five hosts whose leader is not a seed')
def open_group_of_five(context):
    """Cut off leaders for 2 s until one of the other hosts leads."""
    hosts = _form_group((*_SEEDS, 'd', 'e'))
    assert len(_current_leader(hosts).members.voters) == 5
    while host_of(_current_leader(hosts).name) in _SEEDS:
        hosts.cut.add(host_of(_current_leader(hosts).name))
        _pass_time(hosts, 2)
        hosts.cut.clear()
        _pass_time(hosts, 1)
    context.hosts = hosts


def _follower_host(hosts):
    leader = host_of(_current_leader(hosts).name)
    return next(one for one in hosts.replicas if one != leader)


@given('a host loses its disk and comes back')
@when('a host loses its disk and comes back')
def wipe(context):
    """Restart it as a new replica that may not form a group."""
    hosts = context.hosts
    host = _follower_host(hosts)
    context.lost_replica = hosts.replicas[host].name
    hosts.replicas.pop(host)
    _pass_time(hosts, 1)
    _add_replica(hosts, host, 2, ())
    _pass_time(hosts, 4)


@when('a host is gone for good and one at another address comes')
def replace_host(context):
    """Add a host at another address a second later."""
    hosts = context.hosts
    host = _follower_host(hosts)
    context.lost_replica = hosts.replicas[host].name
    hosts.replicas.pop(host)
    _pass_time(hosts, 1)
    _add_replica(hosts, 'd', 1, ())
    _pass_time(hosts, 4)


@then('a leader has {count:d} live voters, and the lost one is not among them')
def check_voters(context, count):
    """Read the voters 4 s (catchUpS) after the new replica started."""
    voters = _live_voters(context.hosts)
    assert len(voters) == count, voters
    assert context.lost_replica not in voters


def _live_voters(hosts):
    voters = _current_leader(hosts).members.voters
    live = {one.name for one in hosts.replicas.values()}
    assert set(voters) <= live, (voters, live)
    return voters


@when('two other hosts lose their disks and all restart')
def lose_two_disks(context):
    """Commit a record, then restart all, two of them as new replicas.

    The lost disks are those of replicas that have been members from the start.
    """
    hosts = context.hosts
    leader = _current_leader(hosts)
    context.record = propose(leader, b'y')
    _pass_time(hosts, 0.1)
    assert leader.commit >= context.record
    lost = [
        host for host, one in hosts.replicas.items() if one.name.endswith('#1')
    ][:2]
    for host, replica in list(hosts.replicas.items()):
        if host in lost:
            _add_replica(hosts, host, 3, ())
        else:
            _restart(hosts, host, replica)
    _pass_time(hosts, 8)


def _restart(hosts, host, replica):
    """Replace a replica by one that has its durable state."""
    stored = Persist(
        replica.term,
        replica.vote,
        replica.base.members,
        tuple(replica.log),
        0,
        replica.base,
        replica.commit,
    )
    _, _, instance = replica.name.partition('#')
    _add_replica(hosts, host, instance, ())
    restore_replica(hosts.replicas[host], stored, hosts.now)


@then('a leader has {count:d} live voters, and it has every committed record')
def check_records(context, count):
    """Expect the newest record that was committed before the restart."""
    hosts = context.hosts
    assert len(_live_voters(hosts)) == count, _live_voters(hosts)
    leader = _current_leader(hosts)
    assert leader.commit > context.record
    assert entries_from(leader, context.record, 1)[0].body == b'y'


@when('a host is cut off, replaced, and reached again')
def cut_and_replace(context):
    """Let a fourth host become a voter in its place, then heal the cut."""
    hosts = context.hosts
    context.host = _follower_host(hosts)
    hosts.cut.add(context.host)
    _add_replica(hosts, 'd', 1, ())
    _pass_time(hosts, 8)
    assert context.host not in {
        host_of(one) for one in _current_leader(hosts).members.voters
    }
    hosts.cut.clear()
    _pass_time(hosts, 5)


@then('it is a member again')
def check_member(context):
    """Expect it among the leader's members, with the same commit."""
    leader = _current_leader(context.hosts)
    members = leader.members
    names = (*members.voters, *members.learners)
    assert context.host in {host_of(one) for one in names}, members
    replica = context.hosts.replicas[context.host]
    assert replica.commit == leader.commit


@given('an open group of five hosts')
def open_group_with_two_more(context):
    """Let two hosts join the seeds."""
    context.hosts = _form_group((*_SEEDS, 'd', 'e'))
    assert len(_current_leader(context.hosts).members.voters) == 5


@given('an open group of five hosts, led by one that is not a seed')
def led_by_other(context):
    """Cut leaders off until another host than a seed leads."""
    open_group_with_two_more(context)
    hosts = context.hosts
    while host_of(_current_leader(hosts).name) not in {'d', 'e'}:
        hosts.cut = {host_of(_current_leader(hosts).name)}
        _pass_time(hosts, 3)
        hosts.cut = set()
        _pass_time(hosts, 3)


@when('a seed loses its disk and comes back')
def wipe_seed(context):
    """Restart it as a new replica that knows the seeds only."""
    hosts = context.hosts
    hosts.replicas.pop('b')
    _pass_time(hosts, 1)
    _add_replica(hosts, 'b', 2, ())


@then('it votes again {seconds:d} seconds later, and its lost replica does not')
def check_votes_again(context, seconds):
    """Read the voters that the leader knows."""
    _pass_time(context.hosts, seconds)
    voters = _current_leader(context.hosts).members.voters
    assert len(voters) == 5, voters
    assert 'b#2' in voters, voters


@when('a host loses its disk, comes back and votes again')
def replace_voter(context):
    """Check after each tick which hosts could be lost."""
    hosts = context.hosts
    host = _follower_host(hosts)
    hosts.replicas.pop(host)
    _pass_time(hosts, 1)
    _add_replica(hosts, host, 2, ())
    context.fatal_losses = []
    for _ in range(200):
        _pass_time(hosts, TICK_S)
        context.fatal_losses += _fatal_losses(hosts, host)
    voters = _current_leader(hosts).members.voters
    assert len(voters) == 5, voters
    assert f'{host}#2' in voters, voters


def _fatal_losses(hosts, lost):
    """Return other hosts whose loss would leave some replica no majority."""
    return [
        (other, replica.name, replica.members.voters)
        for other in set(hosts.replicas) - {lost}
        for host, replica in hosts.replicas.items()
        if host not in {lost, other}
        and not _have_majority(set(hosts.replicas) - {lost, other}, replica)
    ]


def _have_majority(left, replica):
    voters = replica.members.voters
    return 2 * sum(host_of(name) in left for name in voters) > len(voters)


@then(
    'at no time would the loss of it and another host have left no majority',
)
def check_majority_left(context):
    """Expect no replica with too few of its voters left."""
    assert not context.fatal_losses, context.fatal_losses[0]


@when(
    'a host loses its disk and comes back, and gets no entries for '
    '{seconds:d} seconds',
)
def wipe_without_entries(context, seconds):
    """Deliver only heartbeats to the new replica."""
    hosts = context.hosts
    context.host = _follower_host(hosts)
    hosts.replicas.pop(context.host)
    _pass_time(hosts, 1)
    hosts.without_entries.add(context.host)
    _add_replica(hosts, context.host, 2, ())
    _pass_time(hosts, seconds)


@then('it does not vote, and its lost replica is still a voter')
def check_not_replaced(context):
    """Read the members that the leader knows."""
    members = _current_leader(context.hosts).members
    assert members.learners == (f'{context.host}#2',), members
    assert f'{context.host}#1' in members.voters, members


@then('it votes again {seconds:d} seconds after it gets entries')
def check_replaced(context, seconds):
    """Deliver all messages from now on."""
    hosts = context.hosts
    hosts.without_entries.clear()
    _pass_time(hosts, seconds)
    voters = _current_leader(hosts).members.voters
    assert len(voters) == 5, voters
    assert f'{context.host}#2' in voters, voters


@when('two hosts lose their disks and catch up at the same time')
def replace_two_hosts(context):
    """Hold back entries until both are learners; record the voters."""
    hosts = context.hosts
    leader = host_of(_current_leader(hosts).name)
    lost = [host for host in hosts.replicas if host != leader][:2]
    for host in lost:
        hosts.replicas.pop(host)
    _pass_time(hosts, 1)
    hosts.without_entries.update(lost)
    for host in lost:
        _add_replica(hosts, host, 2, ())
    _pass_time(hosts, 2)
    assert len(_current_leader(hosts).members.learners) == 2
    hosts.without_entries.clear()
    context.voters = [_current_leader(hosts).members.voters]
    for _ in range(200):
        _pass_time(hosts, TICK_S)
        context.voters.append(_current_leader(hosts).members.voters)
    assert len(_live_voters(hosts)) == 5, _live_voters(hosts)


@then('no change added or removed more than one voter')
def check_single_changes(context):
    """Compare the voters of consecutive ticks."""
    for before, after in pairwise(context.voters):
        assert len(set(before) ^ set(after)) <= 1, (before, after)
