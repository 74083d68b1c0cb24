"""Steps about a group's state, lagging peers and hosts that are replaced."""

import tempfile
from collections import deque
from contextlib import suppress
from pathlib import Path

from behave import fixture, given, then, use_fixture, when

from daisygw.contracts import EndsNoted, JournalError
from daisygw.links import codec
from daisygw.links.processes import (
    Group,
    Machine,
    Transport,
    carry_out,
    close,
    create,
    load,
)
from daisygw.zones import (
    Append,
    AppendReply,
    LogEntry,
    Members,
    Notice,
    Replica,
    Role,
    SnapshotTaken,
    Timing,
    VoteReply,
    drain,
    flush,
    host_of,
    last_index,
    propose,
    receive,
    tick,
)
from daisygw.zones import Send as SendEffect

_NAMES = ('a#1', 'b#1', 'c#1')
_STEP = 0.02
_ELECTION = 0.5


def _leader(entries=0):
    replica = Replica('g', 'a#1', ('a', 'b', 'c'), Timing(), 1)
    members = Members(_NAMES)
    replica.base = SnapshotTaken(0, 0, members, b'')
    replica.members = members
    replica.role = Role.FOLLOWER
    replica.election_due = 0
    tick(replica, 1)
    _grant(replica, trial=True)
    _grant(replica, trial=False)
    assert replica.role is Role.LEADER
    for _ in range(entries):
        propose(replica, b'x')
    return replica


def _grant(replica, *, trial):
    term = replica.term + 1 if trial else replica.term
    reply = VoteReply('g', 'b#1', 'a#1', term, trial, granted=True)
    receive(replica, reply, 1)


def _machine(state):
    """Keep a list; every record is applied as it is decided."""

    def restore(encoded):
        state.applied.clear()

    def take():
        records, state.records = state.records, []
        notices, state.notices = state.notices, []
        return records, notices

    return Machine(
        apply=state.applied.append,
        dump=bytes,
        restore=restore,
        elected=lambda term: None,
        deposed=lambda: None,
        take=take,
    )


class _State:
    def __init__(self):
        self.applied = []
        self.records = []
        self.notices = []


def _decide(state, position):
    record = EndsNoted('t', position)
    state.applied.append(record)
    state.records.append(record)


@given('a group whose leader has committed all that it decided')
def committed_group(context):
    """Decide, replicate and commit."""
    context.state = _State()
    replica = _leader()
    context.group = Group(replica, None, _machine(context.state))
    context.transport = Transport(lambda message: None, lambda tell: None)
    _decide(context.state, 1)
    carry_out(context.group, 1, context.transport)
    for name in ('b#1', 'c#1'):
        match = last_index(replica)
        reply = AppendReply('g', name, 'a#1', replica.term, True, match, 0, 1)
        receive(replica, reply, 1)
    carry_out(context.group, 1, context.transport)
    assert replica.commit == last_index(replica)


@when('it hears of a next term, and decides once more before its turn')
def depose(context):
    """Let the message arrive between two turns."""
    replica = context.group.replica
    last = last_index(replica)
    append = Append(
        'g', 'b#1', 'a#1', replica.term + 1, last, replica.term, last, 2
    )
    receive(replica, append, 2)
    _decide(context.state, 2)
    carry_out(context.group, 2, context.transport)


@then('its state is that of the committed log')
def check_state(context):
    """Compare it with the log's entries."""
    logged = [
        record
        for entry in context.group.replica.log
        if entry.body
        for record in codec.decode_batch(entry.body)
    ]
    assert context.state.applied == logged, context.state.applied


@given('a leader with {count:d} entries that a peer lacks')
def lagging_peer(context, count):
    """Begin to replicate; nothing has been answered."""
    context.replica = _leader(count)
    drain(context.replica)


def _sent_to(replica, name):
    return [
        effect.message
        for effect in drain(replica)
        if isinstance(effect, SendEffect)
        and isinstance(effect.message, Append)
        and effect.message.to == name
    ]


@when('the peer answers {count:d} appends that did not join on')
def reject(context, count):
    """All of them were under way when its log was found to differ."""
    replica = context.replica
    flush(replica, 1)
    drain(replica)
    context.sent = 0
    for _ in range(count):
        reply = AppendReply('g', 'b#1', 'a#1', replica.term, False, 0, 0, 1)
        receive(replica, reply, 1)
        flush(replica, 1)
        context.sent += sum(
            len(one.entries) for one in _sent_to(replica, 'b#1')
        )


@then('fewer than {most:d} entries were sent again')
def check_bounded(context, most):
    """Count them."""
    assert 0 < context.sent < most, context.sent


@then('the peer has them all after answering each')
def check_catches_up(context):
    """Answer as a peer does, until it holds the whole log."""
    replica = context.replica
    peer = replica.peers['b#1']
    match = 0
    for _ in range(100):
        last = last_index(replica)
        match = min(max(match, peer.match) + 256, last)
        reply = AppendReply('g', 'b#1', 'a#1', replica.term, True, match, 0, 1)
        receive(replica, reply, 1)
        flush(replica, 1)
    assert peer.match == last_index(replica)
    assert isinstance(replica.log[0], LogEntry)


class _RefusingLog:
    """A log file that takes a part of the next writes, then refuses."""

    def __init__(self, log, refusals):
        self._log = log
        self.refusals = refusals

    def __getattr__(self, name):
        return getattr(self._log, name)

    def write(self, content):
        if self.refusals:
            self.refusals -= 1
            return self._log.write(content[: len(content) // 2])
        return self._log.write(content)


@given('a follower whose disk refuses the next {count:d} writes')
def refusing_disk(context, count):
    """Open a real journal with a log file that refuses."""
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    journal = create(Path(context.folder.name) / 'g', 'b#1')
    journal.log = _RefusingLog(journal.log, count)
    replica = Replica('g', 'b#1', (), Timing(), 1)
    replica.base = SnapshotTaken(0, 0, Members(_NAMES), b'')
    replica.members = replica.base.members
    replica.role = Role.FOLLOWER
    context.sent = []
    context.transport = Transport(context.sent.append, lambda tell: None)
    context.group = Group(replica, journal, _machine(_State()))


@when('it is sent entries and takes {count:d} turns')
def take_turns(context, count):
    """Note how much it had said after each turn."""
    entries = tuple(LogEntry(index, 1) for index in (1, 2, 3))
    append = Append('g', 'a#1', 'b#1', 1, 0, 0, 0, 1, entries)
    receive(context.group.replica, append, 1)
    context.said = []
    for _ in range(count):
        with suppress(JournalError):
            carry_out(context.group, 1, context.transport)
        context.said.append(len(context.sent))


@then('it answers only after the third, once')
def check_silent(context):
    """Compare what it said after each turn."""
    assert context.said == [0, 0, 1], context.said


@then('its journal holds each entry once')
def check_journal(context):
    """Read it again, as the next process does."""
    close(context.group.journal)
    _, saved = load(context.group.journal.folder)
    assert [entry.index for entry in saved.entries] == [1, 2, 3], saved


class _Hosts:
    """Replicas by host, and the messages between them."""

    def __init__(self):
        self.now = 0.0
        self.replicas = {}
        self.cut = set()
        self.queue = deque()


def _add(hosts, host, instance, voter_hosts):
    timing = Timing(heartbeat=0.1, election=_ELECTION, drift=0.1)
    name = f'{host}#{instance}'
    seed = sum(name.encode('ascii'))
    replica = Replica('g', name, voter_hosts, timing, seed)
    replica.open_to_hosts = True
    replica.contacts.update({'a', 'b', 'c'})
    hosts.replicas[host] = replica


def _pass_time(hosts, seconds):
    until = hosts.now + seconds
    while hosts.now < until:
        hosts.now += _STEP
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


def _disk_group(context, replica):
    place = use_fixture(_folder, context)
    journal = create(place / 'g', replica.name)
    context.state = _State()
    context.group = Group(replica, journal, _machine(context.state))
    context.sent = []
    context.told = []
    context.transport = Transport(
        lambda message: context.sent.append((message, journal.syncs)),
        lambda tell: context.told.append(tell.message),
    )


@fixture
def _folder(context):
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


@given('a group with a disk whose leader has decided something')
def leader_with_disk(context):
    """Let the election be over, and one record wait for its turn."""
    _disk_group(context, _leader())
    carry_out(context.group, 1, context.transport)
    context.sent.clear()
    context.syncs = context.group.journal.syncs
    _decide(context.state, 1)


@given('it has a question to ask and an answer to give')
def leave_tells(context):
    """Leave both for the turn."""
    context.state.notices += [
        Notice('', 'question', at_once=True),
        Notice('entry', 'answer'),
    ]


@when('it carries out its turn with both peers silent')
def take_turn_alone(context):
    """Append, sync and send 1 s after they were heard."""
    carry_out(context.group, 2, context.transport)


@when('it carries out its turn with both peers answering')
def take_turn(context):
    """Append and send just after they were heard."""
    carry_out(context.group, 1.1, context.transport)


@then('its entries left and it has not synced')
def check_later(context):
    """Look at what left, and at the disk."""
    assert any(
        isinstance(message, Append) and message.entries
        for message, _ in context.sent
    )
    assert context.group.journal.syncs == context.syncs


@then('what one peer holds is not committed, and what both hold is')
def check_majority(context):
    """Let them answer one after the other."""
    replica = context.group.replica
    last = last_index(replica)
    for name, committed in (('b#1', False), ('c#1', True)):
        reply = AppendReply('g', name, 'a#1', replica.term, True, last, 0, 1.1)
        receive(replica, reply, 1.15)
        carry_out(context.group, 1.15, context.transport)
        assert (replica.commit == last) is committed, (name, replica.commit)
    assert context.group.journal.syncs == context.syncs


@then('it has synced 0.3 seconds later')
def check_synced(context):
    """Let the time pass."""
    carry_out(context.group, 1.4, context.transport)
    assert context.group.journal.syncs == context.syncs + 1


@then('its entries left before it synced')
def check_early(context):
    """Compare with the number of syncs at that moment."""
    early = [
        message
        for message, syncs in context.sent
        if isinstance(message, Append) and message.entries
    ]
    assert len(early) == 2, context.sent
    assert all(syncs == context.syncs for _, syncs in context.sent)
    assert context.group.journal.syncs == context.syncs + 1


@then('nothing of it counts as committed')
def check_uncommitted(context):
    """No peer has answered yet."""
    replica = context.group.replica
    assert replica.commit < last_index(replica), replica.commit


@given('a group with a disk that follows')
def follower_with_disk(context):
    """Make a follower with the same members."""
    replica = Replica('g', 'b#1', ('a', 'b', 'c'), Timing(), 1)
    members = Members(_NAMES)
    replica.base = SnapshotTaken(0, 0, members, b'')
    replica.members = members
    replica.role = Role.FOLLOWER
    _disk_group(context, replica)


@when('it takes an entry from its leader')
def take_entry(context):
    """Let an append arrive."""
    entry = LogEntry(1, 1, b'')
    append = Append('g', 'a#1', 'b#1', 1, 0, 0, 0, 1, (entry,))
    receive(context.group.replica, append, 1)
    carry_out(context.group, 1, context.transport)


@then('its answer left after it synced')
def check_late(context):
    """Compare with the number of syncs at that moment."""
    answers = [
        syncs
        for message, syncs in context.sent
        if isinstance(message, AppendReply)
    ]
    assert answers == [1], context.sent


@then('the question has left and the answer has not')
def check_told(context):
    """Look at what was let out."""
    assert context.told == ['question'], context.told


def _answer_all(context, stamp, now):
    replica = context.group.replica
    last = last_index(replica)
    for name in ('b#1', 'c#1'):
        reply = AppendReply(
            'g', name, 'a#1', replica.term, True, last, 0, stamp
        )
        receive(replica, reply, now)
    carry_out(context.group, now, context.transport)
    assert replica.commit == last


@when('it pauses, and late answers of its peers commit the turn')
def pause(context):
    """Let answers to what it sent before the pause arrive after it."""
    _answer_all(context, 1.1, 9)


@then('the answer leaves once they answer its heartbeat')
def check_released(context):
    """Let answers to a message sent after the pause arrive."""
    _answer_all(context, 9, 9.1)
    assert context.told == ['question', 'answer'], context.told
