"""Messages and effects of the replicated log (Raft).

``group``, ``sender`` and ``to`` name the group and two replicas.  A replica
is named ``host#instance``; a host that lost its state gets a new instance.
Times are in seconds on the sender's own monotonic clock.
"""

from dataclasses import dataclass

INSTANCE_SEPARATOR = '#'


def host_of(replica: str) -> str:
    """Return the host that a replica runs on."""
    return replica.partition(INSTANCE_SEPARATOR)[0]


@dataclass(frozen=True, slots=True)
class Members:
    """The members of a group; ``learners`` replicate the log, never vote."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()


def member_hosts(members: Members) -> tuple[str, ...]:
    """Return the hosts of all members."""
    names = (*members.voters, *members.learners)
    return tuple(sorted({host_of(name) for name in names}))


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One log entry: encoded records in ``body``, or a membership change."""

    index: int
    term: int
    body: bytes = b''
    members: Members | None = None


@dataclass(frozen=True, slots=True)
class Hello:
    """Sent to each host of a group by a replica that looks for its members.

    ``formed`` means that the sender has been a member of the group, and so
    may hold log entries.
    """

    group: str
    sender: str
    to: str
    formed: bool


@dataclass(frozen=True, slots=True)
class HelloReply:
    """Reply to ``Hello``; ``formed`` as there, for the replying replica."""

    group: str
    sender: str
    to: str
    formed: bool


@dataclass(frozen=True, slots=True)
class FormGroup:
    """Sets a group's first members, once all voters are known to be new."""

    group: str
    sender: str
    to: str
    members: Members


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote in ``term``.

    A pre-vote changes no term and no vote.  ``transfer`` marks an election
    that the leader itself asked for: a voter may grant it although it has
    just heard from that leader.
    """

    group: str
    sender: str
    to: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Grants or denies a vote."""

    group: str
    sender: str
    to: str
    term: int
    pre_vote: bool
    granted: bool


@dataclass(frozen=True, slots=True)
class Append:
    """Entries after (``prev_index``, ``prev_term``); none in a heartbeat.

    ``sent_at`` is the leader's clock in seconds; the reply echoes it.
    """

    group: str
    sender: str
    to: str
    term: int
    prev_index: int
    prev_term: int
    commit: int
    sent_at: float
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Reply to ``Append``; ``taken`` tells whether the entries were appended.

    ``match`` is the last index at which both logs are known to agree, or,
    where the entries were refused, the index to try next.  A sender that
    cannot read the entry at ``unreadable`` (0: none) asks for a snapshot.
    """

    group: str
    sender: str
    to: str
    term: int
    taken: bool
    match: int
    commit: int
    sent_at: float
    unreadable: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """A chunk of a snapshot that replaces the log up to ``index``.

    ``part`` starts at byte ``offset`` of the snapshot.
    """

    group: str
    sender: str
    to: str
    term: int
    index: int
    index_term: int
    members: Members
    offset: int
    part: bytes
    last: bool
    sent_at: float


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Reply to ``SnapshotPart``; ``offset`` bytes have arrived so far."""

    group: str
    sender: str
    to: str
    term: int
    index: int
    offset: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Sent by the leader: start an election at once."""

    group: str
    sender: str
    to: str
    term: int


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A snapshot: an encoded state that replaces the log up to ``index``."""

    index: int
    term: int
    members: Members
    state: bytes


@dataclass(frozen=True, slots=True)
class Persist:
    """Effect: make this durable before any later effect is executed.

    ``commit`` is the current commit index.  The stored log is truncated
    from index ``cut`` on (0: nothing is truncated) before ``entries`` are
    appended.  With a ``snapshot``, ``entries`` are all that follow it.
    """

    term: int
    vote: str
    members: Members
    entries: tuple[LogEntry, ...] = ()
    cut: int = 0
    snapshot: SnapshotTaken | None = None
    commit: int = 0


@dataclass(frozen=True, slots=True)
class Send:
    """Effect: send a message to the replica or host that it names."""

    message: object


@dataclass(frozen=True, slots=True)
class Commit:
    """Effect: apply these entries, in order; they are committed."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Restore:
    """Effect: replace the state by that of a snapshot."""

    snapshot: SnapshotTaken


@dataclass(frozen=True, slots=True)
class Elected:
    """Effect: this replica has become the leader of ``term``."""

    term: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """Effect: this replica is no longer the leader."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Timing of a group, in seconds.

    The election timeout is random, between one and two ``election`` times.
    The leader lease is shorter than ``election`` by the fraction ``drift``,
    to allow for clock drift.  ``hello`` is the interval between two rounds
    of ``Hello``.  ``batch`` limits the bytes of a snapshot in one message.
    """

    heartbeat: float = 0.25
    election: float = 1.25
    drift: float = 0.2
    hello: float = 0.3
    batch: int = 262_144
