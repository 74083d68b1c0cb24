"""The state of one replica of a group's log, and the helpers all parts use.

Decisions are plain functions over this state: they take an event and the
time, change the state and append to ``Replica.effects``.  Nothing here does
I/O.  After each round of events the owner calls ``drain`` and executes the
effects in order; ``Persist`` comes first.
"""

import enum
from random import Random

from daisygw.zones._messages import (
    Commit,
    Deposed,
    LogEntry,
    Members,
    Persist,
    Send,
    SnapshotTaken,
    Timing,
)

# A peer is live if it has replied within this many heartbeat intervals: one
# heartbeat may be lost, and the peer's disk takes part of an interval.
_PEER_LIVE_HEARTBEATS = 3


class Role(enum.StrEnum):
    """The role of a replica in its group."""

    NEW = 'new'
    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Peer:
    """What a leader knows of one other replica.

    ``match`` is the last index known to agree, ``commit`` the commit index it
    reported, ``sent_commit`` the one it was sent.  ``acked_sent_at`` is when
    the newest message that it has acknowledged was sent.  While ``probing``,
    the index where both logs agree is searched; while ``waiting``, a snapshot
    part is unanswered.  It needs a snapshot of the index ``unreadable`` or a
    later one (0: none).
    """

    def __init__(self, next_index: int) -> None:
        """Begin with ``next_index`` as the next entry to send."""
        self.next_index = next_index
        self.match = 0
        self.commit = 0
        self.sent_commit = 0
        self.acked_sent_at = float('-inf')
        self.heard = float('-inf')
        self.snapshot_offset = 0
        self.waiting = False
        self.unreadable = 0
        self.probing = False
        self.probed_at = float('-inf')


class Snapshots:
    """The snapshots that a replica receives, and those that are asked for.

    ``source`` is the term and index of the one whose parts are in ``state``.
    The owner cannot read the entry at ``unreadable`` (0: none), and asks its
    leader for a snapshot from ``request_at`` (s) on; it does not lead
    meanwhile.  A peer needs a snapshot of the index ``wanted`` or a later one.
    """

    def __init__(self) -> None:
        """Begin without parts and requests."""
        self.source = (0, 0)
        self.state = bytearray()
        self.unreadable = 0
        self.request_at = float('-inf')
        self.wanted = 0


class Replica:
    """One replica: its term, vote, log, members and role.

    ``base`` is the snapshot that ``log`` follows.  ``current`` tells whether
    this replica's commit index has caught up with its leader's.  With
    ``accepts_new_hosts``, the group admits other hosts than ``voter_hosts``,
    which may replace voters that can not be reached; ``contacts`` are hosts
    to which hellos are sent.  ``heard`` is when a leader last sent anything
    (s).
    """

    def __init__(
        self,
        group: str,
        name: str,
        voter_hosts: tuple[str, ...],
        timing: Timing,
        seed: int,
        *,
        is_tie_breaker: bool = False,
        eager_commit: bool = False,
    ) -> None:
        """Begin as a new replica: in no group, with an empty log.

        ``voter_hosts`` are the hosts whose replicas vote; a replica without
        any never forms a group.  ``seed`` is for the election timer.
        ``is_tie_breaker`` marks the replica that runs in another failure
        domain to break ties.  With ``eager_commit``, a new commit index is
        sent and made durable at once rather than with the next entries.
        """
        self.accepts_new_hosts = False
        self.contacts: set[str] = set()
        self.is_tie_breaker = is_tie_breaker
        self.eager_commit = eager_commit
        self.group = group
        self.name = name
        self.voter_hosts = voter_hosts
        self.timing = timing
        self.random = Random(seed)
        self.role = Role.NEW
        self.term = 0
        self.vote = ''
        self.leader = ''
        self.log: list[LogEntry] = []
        self.base = SnapshotTaken(0, 0, Members(), b'')
        self.members = Members()
        self.commit = 0
        self.current = False
        self.peers: dict[str, Peer] = {}
        self.votes: set[str] = set()
        self.pre_vote = False
        self.join_requests: dict[str, tuple[str, float]] = {}
        self.unformed_replicas: dict[str, str] = {}
        self.snapshots = Snapshots()
        self.heard = float('-inf')
        self.election_due = 0.0
        self.heartbeat_due = 0.0
        self.hello_due = 0.0
        self.effects: list[object] = []
        self.durable = _Durable()


class _Durable:
    """The part of a replica's state that is durable already."""

    def __init__(self) -> None:
        self.term = 0
        self.vote = ''
        self.members = Members()
        self.index = 0
        self.commit = 0
        self.cut = 0
        self.snapshot: SnapshotTaken | None = None


def last_index(replica: Replica) -> int:
    """Return the index of the last log entry."""
    return replica.base.index + len(replica.log)


def term_at(replica: Replica, index: int) -> int:
    """Return the term of the entry at ``index``, -1 where there is none."""
    if index == replica.base.index:
        return replica.base.term
    offset = index - replica.base.index - 1
    if 0 <= offset < len(replica.log):
        return replica.log[offset].term
    return -1


def entries_from(
    replica: Replica,
    index: int,
    limit: int | None = None,
) -> tuple[LogEntry, ...]:
    """Return the entries from ``index`` on, ``limit`` of them or all."""
    first = index - replica.base.index - 1
    last = None if limit is None else first + limit
    return tuple(replica.log[first:last])


def entry_at(replica: Replica, index: int) -> LogEntry:
    """Return the entry at ``index``, which must be in the log."""
    return replica.log[index - replica.base.index - 1]


def majority(members: Members) -> int:
    """Return how many voters make a majority."""
    return len(members.voters) // 2 + 1


def is_member(replica: Replica) -> bool:
    """Tell whether this replica is a member, by the members it knows."""
    members = replica.members
    return replica.name in members.voters or replica.name in members.learners


def is_formed(replica: Replica) -> bool:
    """Tell whether this replica has been in a group, and may hold entries.

    A replica that has only voted holds none, so it may still form a group.
    """
    return bool(replica.members.voters)


def is_voter(replica: Replica) -> bool:
    """Tell whether this replica votes now."""
    return replica.name in replica.members.voters


def send(replica: Replica, message: object) -> None:
    """Add a message to the effects."""
    replica.effects.append(Send(message))


def reset_election_timer(replica: Replica, now: float) -> None:
    """Restart the election timer with a new random timeout.

    The tie-breaker's timeout is one election time longer, so that one of the
    failure domain's own hosts is elected.
    """
    wait = replica.timing.election * (1 + replica.random.random())
    if replica.is_tie_breaker:
        wait += replica.timing.election
    replica.election_due = now + wait


def _start_election_timer(replica: Replica, started: float) -> None:
    """Set the first election timeout after a restart.

    All hosts may have restarted at the same time, after a loss of power.  Each
    voter then has a part of the range of timeouts to itself, so that the first
    one is early and two candidates rarely share the votes.
    """
    voters = replica.members.voters
    rank = voters.index(replica.name) if is_voter(replica) else len(voters)
    part = (rank + replica.random.random()) / max(len(voters), 1)
    wait = replica.timing.election * (1 + part)
    if replica.is_tie_breaker:
        wait += replica.timing.election
    replica.election_due = started + wait


def update_members(replica: Replica) -> None:
    """Use the newest members in the log, even if not committed."""
    for entry in reversed(replica.log):
        if entry.members is not None:
            replica.members = entry.members
            return
    replica.members = replica.base.members


def step_down(replica: Replica, term: int, now: float) -> None:
    """Become a follower in ``term``; a newer term clears the vote."""
    if term > replica.term:
        replica.term = term
        replica.vote = ''
        replica.leader = ''
    if replica.role is Role.LEADER:
        replica.effects.append(Deposed())
    if replica.role is not Role.FOLLOWER:
        reset_election_timer(replica, now)
    replica.role = Role.FOLLOWER
    replica.peers.clear()


def truncate_log(replica: Replica, index: int) -> None:
    """Remove the entries from ``index`` on; they must not be committed."""
    if index <= replica.commit:
        raise AssertionError('committed log entries must not be truncated')
    del replica.log[index - replica.base.index - 1 :]
    durable = replica.durable
    if index <= durable.index:
        durable.cut = min(durable.cut, index) if durable.cut else index
        durable.index = index - 1
    update_members(replica)


def append_entries(replica: Replica, entries: tuple[LogEntry, ...]) -> None:
    """Append entries to the log; adopt the members that they hold."""
    replica.log.extend(entries)
    for entry in entries:
        if entry.members is not None:
            replica.members = entry.members


def advance_commit(replica: Replica, index: int) -> None:
    """Advance the commit index; add a ``Commit`` of the new entries."""
    index = min(index, last_index(replica))
    if index <= replica.commit:
        return
    first = replica.commit - replica.base.index
    last = index - replica.base.index
    replica.commit = index
    replica.effects.append(Commit(tuple(replica.log[first:last])))


def compact(replica: Replica, index: int, state: bytes) -> None:
    """Replace the log up to the committed ``index`` by a snapshot."""
    members = replica.base.members
    for entry in replica.log[: index - replica.base.index]:
        if entry.members is not None:
            members = entry.members
    snapshot = SnapshotTaken(index, term_at(replica, index), members, state)
    del replica.log[: index - replica.base.index]
    replica.base = snapshot
    replica.durable.snapshot = snapshot


def _is_same_hard_state(replica: Replica) -> bool:
    durable = replica.durable
    return (
        durable.term == replica.term
        and durable.vote == replica.vote
        and durable.members == replica.base.members
    )


def _unsaved_state(replica: Replica) -> Persist | None:
    durable = replica.durable
    saved = 0 if durable.snapshot else durable.index
    first = max(saved, replica.base.index) + 1
    entries = entries_from(replica, first)
    commit_saved = not replica.eager_commit or durable.commit == replica.commit
    unchanged = _is_same_hard_state(replica) and commit_saved
    if unchanged and not entries and not durable.cut and not durable.snapshot:
        return None
    return Persist(
        replica.term,
        replica.vote,
        replica.base.members,
        entries,
        durable.cut,
        durable.snapshot,
        replica.commit,
    )


def may_sync_later(replica: Replica, now: float) -> bool:
    """Tell whether a leader may postpone syncing its own entries.

    It may while a majority of voters besides itself replies: they can commit
    without it, as its own log counts only up to its durable index.
    """
    if replica.role is not Role.LEADER:
        return False
    max_silence = _PEER_LIVE_HEARTBEATS * replica.timing.heartbeat
    live_voters = sum(
        now - peer.heard < max_silence
        for name, peer in replica.peers.items()
        if name in replica.members.voters
    )
    durable = replica.durable
    entries_only = not durable.cut and durable.snapshot is None
    return entries_only and live_voters >= majority(replica.members)


def drain(replica: Replica, *, sync_later: bool = False) -> list[object]:
    """Return the effects since the last call, ``Persist`` first.

    With ``sync_later``, new entries are left for a later call unless the
    term, the vote or the members of the snapshot have changed as well.
    """
    persist = _unsaved_state(replica)
    effects = replica.effects
    replica.effects = []
    if persist is None or (sync_later and _is_same_hard_state(replica)):
        return effects
    durable = replica.durable
    durable.term = replica.term
    durable.vote = replica.vote
    durable.members = replica.base.members
    durable.index = last_index(replica)
    durable.commit = replica.commit
    durable.cut = 0
    durable.snapshot = None
    return [persist, *effects]


def restore_replica(replica: Replica, saved: Persist, started: float) -> None:
    """Restore what this replica made durable before a restart.

    It grants no vote for an election time after its process has ``started``
    (s): just before that it may have replied to a leader, whose lease counts
    on that reply.
    """
    replica.term = saved.term
    replica.vote = saved.vote
    replica.base = saved.snapshot or SnapshotTaken(0, 0, saved.members, b'')
    replica.log = list(saved.entries)
    commit = min(saved.commit, last_index(replica))
    replica.commit = max(replica.base.index, commit)
    update_members(replica)
    if replica.members.voters:
        replica.role = Role.FOLLOWER
    durable = replica.durable
    durable.term = saved.term
    durable.vote = saved.vote
    durable.members = replica.base.members
    durable.index = last_index(replica)
    replica.heard = started
    _start_election_timer(replica, started)
