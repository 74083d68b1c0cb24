"""A group by itself: its machine, its leader, the votes for it."""

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

NAMES = ('a#1', 'b#1', 'c#1')
STEP = 0.02
ELECTION = 0.5


def new_leader(entries=0):
    """Return a leader of three replicas, with entries of its own."""
    replica = Replica('g', 'a#1', ('a', 'b', 'c'), Timing(), 1)
    members = Members(NAMES)
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
    """Let a peer grant its vote, on trial or for good."""
    term = replica.term + 1 if trial else replica.term
    reply = VoteReply('g', 'b#1', 'a#1', term, trial, granted=True)
    receive(replica, reply, 1)


def machine_of(state):
    """Keep a list; every record is applied as it is decided."""

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
    """What a machine of the tests holds: records, and what it would say."""

    def __init__(self):
        """Begin empty."""
        self.applied = []
        self.records = []
        self.outbox = []


def decide(state, position):
    """Decide a record: it is applied at once and waits for the log."""
    record = EndsAcknowledged('t', position)
    state.applied.append(record)
    state.records.append(record)
