"""Steps about open groups whose hosts come, go and lose disks."""

from collections import deque

from behave import given, then, when

from daisygw.zones import (
    Replica,
    Role,
    Timing,
    drain,
    host_of,
    propose,
    receive,
    tick,
)
from daisygw.zones import Send as SendEffect
from tests.group_world import (
    ELECTION,
    STEP,
)


class _Hosts:
    """Replicas by host, and the messages between them."""

    def __init__(self):
        self.now = 0.0
        self.replicas = {}
        self.cut = set()
        self.queue = deque()


def _add(hosts, host, instance, voter_hosts):
    timing = Timing(heartbeat=0.1, election=ELECTION, drift=0.1)
    name = f'{host}#{instance}'
    seed = sum(name.encode('ascii'))
    replica = Replica('g', name, voter_hosts, timing, seed)
    replica.accepts_new_hosts = True
    replica.contacts.update({'a', 'b', 'c'})
    hosts.replicas[host] = replica


def _pass_time(hosts, seconds):
    until = hosts.now + seconds
    while hosts.now < until:
        hosts.now += STEP
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


def _leading(hosts):
    leaders = [
        one
        for host, one in hosts.replicas.items()
        if one.role is Role.LEADER and host not in hosts.cut
    ]
    assert leaders, 'no leader'
    return max(leaders, key=lambda one: one.term)


@given('an open group of three hosts')
def open_group(context):
    """Form it, and let it lead."""
    hosts = _Hosts()
    for host in ('a', 'b', 'c'):
        _add(hosts, host, 1, ('a', 'b', 'c'))
    _pass_time(hosts, 5)
    propose(_leading(hosts), b'x')
    _pass_time(hosts, 1)
    context.hosts = hosts


def _follower(hosts):
    leader = host_of(_leading(hosts).name)
    return next(one for one in hosts.replicas if one != leader)


@when('a host loses its disk and comes back')
def wipe(context):
    """Let it come back as a new replica that founds nothing."""
    hosts = context.hosts
    host = _follower(hosts)
    context.gone = hosts.replicas[host].name
    hosts.replicas.pop(host)
    _pass_time(hosts, 1)
    _add(hosts, host, 2, ())
    _pass_time(hosts, 4)


@when('a host is gone for good and one at another address comes')
def replace_host(context):
    """Let another one come a second later."""
    hosts = context.hosts
    host = _follower(hosts)
    context.gone = hosts.replicas[host].name
    hosts.replicas.pop(host)
    _pass_time(hosts, 1)
    _add(hosts, 'd', 1, ())
    _pass_time(hosts, 4)


@then('three live voters lead on, and the gone one is none of them')
def check_voters(context):
    """The successor is given 4 s to catch up (catchUpS)."""
    leader = _leading(context.hosts)
    voters = leader.members.voters
    live = {one.name for one in context.hosts.replicas.values()}
    assert len(voters) == 3, voters
    assert set(voters) <= live, (voters, live)
    assert context.gone not in voters


@when('a host is cut off, replaced, and reached again')
def cut_and_replace(context):
    """A fourth host takes its vote in the meantime."""
    hosts = context.hosts
    context.host = _follower(hosts)
    hosts.cut.add(context.host)
    _add(hosts, 'd', 1, ())
    _pass_time(hosts, 8)
    assert context.host not in {
        host_of(one) for one in _leading(hosts).members.voters
    }
    hosts.cut.clear()
    _pass_time(hosts, 5)


@then('it is a member again')
def check_member(context):
    """Look at the leader's members, and at its own log."""
    leader = _leading(context.hosts)
    members = leader.members
    names = (*members.voters, *members.learners)
    assert context.host in {host_of(one) for one in names}, members
    replica = context.hosts.replicas[context.host]
    assert replica.commit == leader.commit
