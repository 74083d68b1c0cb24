"""Messages and effects of a replica group.

``group``, ``sender`` and ``to`` name the group and two replicas; a replica
is named ``host#instance``, and a host that lost its state gets a new instance.
Times are in seconds on the sender's own monotonic clock.
"""

from dataclasses import dataclass

BIRTH_MARK = '#'


def host_of(replica: str) -> str:
    """Return the host that a replica lives on."""
    return replica.partition(BIRTH_MARK)[0]


@dataclass(frozen=True, slots=True)
class Members:
    """Who belongs to a group: ``voters`` count, ``learners`` only follow."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the log: records encoded as ``body``, or new members."""

    index: int
    term: int
    body: bytes = b''
    members: Members | None = None


@dataclass(frozen=True, slots=True)
class Hello:
    """From a replica that is not a member, to each host of the group.

    It is ``formed`` where it has been a member, and so may hold entries.
    """

    group: str
    sender: str
    to: str
    formed: bool


@dataclass(frozen=True, slots=True)
class HelloReply:
    """Answers a Hello: whether the sender is in a formed group."""

    group: str
    sender: str
    to: str
    formed: bool


@dataclass(frozen=True, slots=True)
class FormGroup:
    """The first members of a group, once all voters are known to be new."""

    group: str
    sender: str
    to: str
    members: Members


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote in ``term``; a trial vote changes nothing."""

    group: str
    sender: str
    to: str
    term: int
    last_index: int
    last_term: int
    trial: bool
    handover: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Grants or denies a vote."""

    group: str
    sender: str
    to: str
    term: int
    trial: bool
    granted: bool


@dataclass(frozen=True, slots=True)
class Append:
    """Entries after (``prev_index``, ``prev_term``); empty as a heartbeat.

    ``stamp`` is the leader's clock, echoed by the reply.
    """

    group: str
    sender: str
    to: str
    term: int
    prev_index: int
    prev_term: int
    commit: int
    stamp: float
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class AppendReply:
    """``match`` is the last index known equal, or where to try next."""

    group: str
    sender: str
    to: str
    term: int
    taken: bool
    match: int
    commit: int
    stamp: float


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """A part of a snapshot that stands for the log up to ``index``."""

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
    stamp: float


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """``offset`` is how many bytes of the snapshot have arrived."""

    group: str
    sender: str
    to: str
    term: int
    index: int
    offset: int
    stamp: float


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """From the leader: stand for election now."""

    group: str
    sender: str
    to: str
    term: int


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A state that stands for the log up to ``index``."""

    index: int
    term: int
    members: Members
    state: bytes


@dataclass(frozen=True, slots=True)
class Persist:
    """Effect: make this durable before any later effect.

    ``commit`` is the commit index known so far.  Entries from ``cut`` on
    are replaced by ``entries`` (``cut`` is 0 where nothing is replaced);
    with a ``snapshot``, ``entries`` are all that follow it.
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
    """Effect: these entries are committed, in order."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Restore:
    """Effect: replace the state by a snapshot's."""

    snapshot: SnapshotTaken


@dataclass(frozen=True, slots=True)
class Elected:
    """Effect: this replica leads from now, in ``term``."""

    term: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """Effect: this replica does not lead any more."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Times of a group, in seconds.

    A follower waits between one and two ``election`` times; ``drift`` is
    the part of it that no lease counts on; ``batch`` is the most bytes of a
    snapshot sent at once.
    """

    heartbeat: float = 0.25
    election: float = 1.25
    drift: float = 0.2
    hello: float = 0.3
    batch: int = 262_144
