"""Fixtures for one group: its leader, its votes, its state machine."""

from daisygw.contracts import EndsAcknowledged
from daisygw.links.processes import (
    StateMachine,
)
from daisygw.zones import (
    Members,
    Replica,
    Role,
    SnapshotTaken,
    Timing,
    VoteReply,
    propose,
    receive,
    tick,
)

REPLICA_NAMES = ('a#1', 'b#1', 'c#1')
TICK_S = 0.02
ELECTION_S = 0.5


def new_leader(entries=0):
    """Return an elected leader of three replicas that has proposed entries."""
    replica = Replica('g', 'a#1', ('a', 'b', 'c'), Timing(), 1)
    members = Members(REPLICA_NAMES)
    replica.base = SnapshotTaken(0, 0, members, b'')
    replica.members = members
    replica.role = Role.FOLLOWER
    replica.election_due = 0
    tick(replica, 1)
    grant_vote(replica, trial=True)
    grant_vote(replica, trial=False)
    assert replica.role is Role.LEADER
    for _ in range(entries):
        propose(replica, b'x')
    return replica


def grant_vote(replica, *, trial):
    """Let a peer grant its pre-vote (trial) or its vote."""
    term = replica.term + 1 if trial else replica.term
    reply = VoteReply('g', 'b#1', 'a#1', term, trial, granted=True)
    receive(replica, reply, 1)


def state_machine_of(state):
    """Return a state machine that appends each record to a list."""

    def restore(encoded):
        state.applied.clear()

    def collect_output():
        records, state.records = state.records, []
        outbox, state.outbox = state.outbox, []
        return records, outbox

    return StateMachine(
        apply=state.applied.append,
        dump=bytes,
        restore=restore,
        elected=lambda term: None,
        deposed=lambda: None,
        collect_output=collect_output,
    )


class State:
    """State of the test machine: applied and new records, messages."""

    def __init__(self):
        """Begin empty."""
        self.applied = []
        self.records = []
        self.outbox = []


def decide(state, position):
    """Decide a record: apply it at once and queue it for the log."""
    record = EndsAcknowledged('t', position)
    state.applied.append(record)
    state.records.append(record)
