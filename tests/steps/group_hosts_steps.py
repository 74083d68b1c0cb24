"""Steps about open groups whose hosts join, leave and lose disks."""

from collections import deque

from behave import given, then, when

from daisygw.zones import (
    Persist,
    Replica,
    Role,
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
            cut = host in hosts.cut or host_of(message.to) in hosts.cut
            if to and not cut:
                receive(to, message, hosts.now)


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
