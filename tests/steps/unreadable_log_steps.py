"""Steps about log entries that a replica cannot read or apply."""

from unittest import mock

from behave import given, then, when

from daisygw.contracts import EndsAcknowledged, JobsPurged
from daisygw.links import _group, codec
from daisygw.links.processes import (
    Group,
    StateMachine,
    Transport,
    carry_out,
    compact_log,
)
from daisygw.zones import (
    Members,
    Replica,
    Role,
    SnapshotTaken,
    Timing,
    receive,
    tick,
)
from tests.group_world import REPLICA_NAMES, TICK_S

_MAX_LOG_ENTRIES = 1000
# The record of the entry that the third replica cannot read.
_UNREADABLE = EndsAcknowledged('unreadable', 1)
_UNKNOWN = JobsPurged(('unknown',))


class _Machine:
    """A list of records; it cannot apply purged jobs."""

    def __init__(self):
        self.records = []
        self.output = []
        self.history = []

    def apply(self, record):
        if isinstance(record, JobsPurged):
            raise KeyError(record)
        self.records.append(record)
        self.history.append(len(self.records))

    def restore(self, encoded):
        self.records = codec.decode_batch(encoded) if encoded else []

    def collect_output(self):
        output, self.output = self.output, []
        return output, []

    def decide(self, record):
        """Decide a record as a leader, which applies it at once."""
        self.output.append(record)
        if not isinstance(record, JobsPurged):
            self.records.append(record)


def _group_of(name, machine):
    replica = Replica('g', name, ('a', 'b', 'c'), Timing(), ord(name[0]))
    replica.base = SnapshotTaken(0, 0, Members(REPLICA_NAMES), b'')
    replica.members = replica.base.members
    replica.role = Role.FOLLOWER
    replica.election_due = 1 if name == REPLICA_NAMES[0] else 3
    return Group(
        replica,
        None,
        StateMachine(
            apply=machine.apply,
            dump=lambda: codec.encode_batch(machine.records),
            restore=machine.restore,
            elected=lambda term: None,
            deposed=lambda: None,
            collect_output=machine.collect_output,
        ),
    )


class _Replicas:
    """Three groups that exchange messages on a virtual clock."""

    def __init__(self):
        self.machines = {name: _Machine() for name in REPLICA_NAMES}
        self.groups = {
            name: _group_of(name, machine)
            for name, machine in self.machines.items()
        }
        self.now = 1.0
        self.silent = set()
        self.running = ''
        self.roles = set()
        self.logged = []

    @property
    def third(self):
        """The replica that cannot read one entry."""
        return self.groups[REPLICA_NAMES[2]]

    def send(self, message):
        """Deliver a message at once unless one side is silent."""
        if not self.silent & {message.to, message.sender}:
            receive(self.groups[message.to].replica, message, self.now)

    def decode(self, encoded, *more):
        """Decode a batch, which the third replica cannot do with one."""
        records = codec.decode_batch(encoded, *more)
        if self.running == REPLICA_NAMES[2] and records == [_UNREADABLE]:
            raise KeyError('tag')
        return records

    def note(self, event, exc, **fields):
        """Keep a logged error with the replica that logged it."""
        self.logged.append((self.running, event, fields.get('index')))

    def run(self, seconds):
        """Run the turns of all replicas for a time (s)."""
        until = self.now + seconds
        transport = Transport(self.send, lambda outgoing: None)
        with (
            mock.patch.object(_group, 'decode_batch', self.decode),
            mock.patch.object(_group, 'log_error', self.note),
        ):
            while self.now < until:
                self.now += TICK_S
                for name, group in self.groups.items():
                    self.running = name
                    tick(group.replica, self.now)
                    carry_out(group, self.now, transport)
                    compact_log(group, _MAX_LOG_ENTRIES)
                self.roles.add(self.third.replica.role)


@given('a group of three replicas whose third cannot read one entry')
def three_replicas(context):
    """Let the first replica lead."""
    context.replicas = _Replicas()
    context.replicas.run(1)
    leader = context.replicas.groups[REPLICA_NAMES[0]].replica
    assert leader.role is Role.LEADER, leader.role


def _commit(replicas, records):
    leader = replicas.machines[REPLICA_NAMES[0]]
    for record in records:
        leader.decide(record)
        replicas.run(2 * TICK_S)


def _others(count):
    return [EndsAcknowledged('t', number) for number in range(1, count + 1)]


@when('the entry is committed, and {count:d} others after it')
def commit_unreadable(context, count):
    """Commit them one by one, then wait for the snapshot."""
    replicas = context.replicas
    _commit(replicas, [*_others(3), _UNREADABLE, *_others(count)])
    replicas.run(1)


@then('the third replica has the state of the others, and has logged the entry')
def check_restored(context):
    """Compare all three states, and look for one log line."""
    machines = context.replicas.machines
    states = [machine.records for machine in machines.values()]
    assert states[0] == states[1] == states[2], list(map(len, states))
    assert _UNREADABLE in states[2]
    events = [(name, event) for name, event, _ in context.replicas.logged]
    assert events == [(REPLICA_NAMES[2], 'log unreadable')], events


@then('it did not lead or apply a later entry before it had the snapshot')
def check_waited(context):
    """Expect three records applied one by one, and then whole states."""
    replicas = context.replicas
    assert replicas.roles == {Role.FOLLOWER}, replicas.roles
    history = replicas.machines[REPLICA_NAMES[2]].history
    assert history[:3] == [1, 2, 3], history
    assert all(length > 4 for length in history[3:]), history


@when('the entry is committed, and the two others fall silent')
def silence_others(context):
    """Keep the third replica from getting its snapshot."""
    replicas = context.replicas
    with mock.patch.object(_group, 'compact', lambda *_: None):
        _commit(replicas, [_UNREADABLE, EndsAcknowledged('t', 1)])
    replicas.silent = set(REPLICA_NAMES[:2])
    assert replicas.third.replica.snapshots.unreadable
    replicas.roles.clear()
    replicas.run(10)


@then('the third replica does not become a candidate')
def check_not_candidate(context):
    """Look at the roles that it had since."""
    assert context.replicas.roles == {Role.FOLLOWER}, context.replicas.roles


@when(
    'a record that no state machine can apply is committed, and {count:d} '
    'others'
)
def commit_unknown(context, count):
    """Commit them one by one."""
    _commit(context.replicas, [_UNKNOWN, *_others(count)])
    context.replicas.run(1)


@then(
    'all replicas have the state of the {count:d} others, and have logged the '
    'record'
)
def check_not_applied(context, count):
    """The leader applied its own records; the others log the one that fails."""
    replicas = context.replicas
    for machine in replicas.machines.values():
        assert machine.records == _others(count), machine.records
    logged = {(name, event) for name, event, _ in replicas.logged}
    followers = REPLICA_NAMES[1:]
    assert logged == {(name, 'record not applied') for name in followers}
    positions = {index for _, _, index in replicas.logged}
    assert len(positions) == 1, positions
