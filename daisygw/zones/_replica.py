"""The state of one replica of a group's log, and what all parts share.

The decisions are plain functions over this state: they take an event and the
time, change the state and leave effects in ``Replica.effects``; nothing here
does I/O.  After each round of events the owner calls ``drain`` and carries
the effects out in order: what must be durable comes first.
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

# A peer answers as long as it was heard within so many heartbeats: one may be
# lost, and its disk takes a part of one.
_ANSWERING = 3


class Role(enum.StrEnum):
    """What a replica is in its group now."""

    NEW = 'new'
    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Peer:
    """What a leader knows of one other replica."""

    def __init__(self, next_index: int) -> None:
        """Begin by sending from ``next_index`` on."""
        self.next_index = next_index
        self.match = 0
        self.commit = 0
        self.told = 0
        self.acked = float('-inf')
        self.heard = float('-inf')
        self.snapshot_offset = 0
        self.waiting = False
        self.probing = False
        self.probed = float('-inf')


class Replica:
    """One replica: its term and vote, log, members and role."""

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
        """Begin new: in no group, with an empty log.

        ``voter_hosts`` are the hosts whose replicas vote; ``seed`` feeds the
        election timer; ``is_tie_breaker`` marks the tie-breaker, which lives in
        another failure domain; where it ``eager_commit``, a new commit
        index is sent and made durable at once, not with the next entries.
        A replica without voter hosts never forms a group.  A group that is
        ``accepts_new_hosts`` takes in hosts beside its voter hosts, and lets
        them vote in the place of voters that are gone.
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
        self.trial = False
        self.newcomers: dict[str, tuple[str, float]] = {}
        self.unformed: dict[str, str] = {}
        self.incoming = bytearray()
        self.heard = float('-inf')
        self.election_due = 0.0
        self.heartbeat_due = 0.0
        self.hello_due = 0.0
        self.effects: list[object] = []
        self.durable = _Durable()


class _Durable:
    """What of a replica is durable already."""

    def __init__(self) -> None:
        self.term = 0
        self.vote = ''
        self.members = Members()
        self.index = 0
        self.commit = 0
        self.cut = 0
        self.snapshot: SnapshotTaken | None = None


def last_index(replica: Replica) -> int:
    """Return the index of the last entry."""
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
    most: int | None = None,
) -> tuple[LogEntry, ...]:
    """Return the entries from ``index`` on, ``most`` of them or all."""
    first = index - replica.base.index - 1
    last = None if most is None else first + most
    return tuple(replica.log[first:last])


def entry_at(replica: Replica, index: int) -> LogEntry:
    """Return the entry at ``index``, which must be in the log."""
    return replica.log[index - replica.base.index - 1]


def majority(members: Members) -> int:
    """Return how many voters make a majority."""
    return len(members.voters) // 2 + 1


def belongs(replica: Replica) -> bool:
    """Tell whether this replica is a member, as far as it knows."""
    members = replica.members
    return replica.name in members.voters or replica.name in members.learners


def is_formed(replica: Replica) -> bool:
    """Tell whether this replica has been in a group, and may hold entries.

    One that has only voted holds none: it may still help to form a group.
    """
    return bool(replica.members.voters)


def is_voter(replica: Replica) -> bool:
    """Tell whether this replica votes now."""
    return replica.name in replica.members.voters


def send(replica: Replica, message: object) -> None:
    """Leave a message to be sent."""
    replica.effects.append(Send(message))


def reset_election(replica: Replica, now: float) -> None:
    """Put off this replica's own candidacy.

    A replica away from home (the tie-breaker) waits longer, so that the
    failure domain's own hosts lead.
    """
    wait = replica.timing.election * (1 + replica.random.random())
    if replica.is_tie_breaker:
        wait += replica.timing.election
    replica.election_due = now + wait


def take_members(replica: Replica) -> None:
    """Use the newest members in the log, committed or not."""
    for entry in reversed(replica.log):
        if entry.members is not None:
            replica.members = entry.members
            return
    replica.members = replica.base.members


def step_down(replica: Replica, term: int, now: float) -> None:
    """Follow in ``term``; a newer term clears the vote."""
    if term > replica.term:
        replica.term = term
        replica.vote = ''
        replica.leader = ''
    if replica.role is Role.LEADER:
        replica.effects.append(Deposed())
    if replica.role is not Role.FOLLOWER:
        reset_election(replica, now)
    replica.role = Role.FOLLOWER
    replica.peers.clear()


def cut_log(replica: Replica, index: int) -> None:
    """Drop the entries from ``index`` on, which are not committed."""
    if index <= replica.commit:
        raise AssertionError('a committed entry may not be cut')
    del replica.log[index - replica.base.index - 1 :]
    durable = replica.durable
    if index <= durable.index:
        durable.cut = min(durable.cut, index) if durable.cut else index
        durable.index = index - 1
    take_members(replica)


def add_entries(replica: Replica, entries: tuple[LogEntry, ...]) -> None:
    """Add entries to the end of the log."""
    replica.log.extend(entries)
    for entry in entries:
        if entry.members is not None:
            replica.members = entry.members


def commit_to(replica: Replica, index: int) -> None:
    """Move the commit index forward and hand out what it passes."""
    index = min(index, last_index(replica))
    if index <= replica.commit:
        return
    first = replica.commit - replica.base.index
    last = index - replica.base.index
    replica.commit = index
    replica.effects.append(Commit(tuple(replica.log[first:last])))


def compact(replica: Replica, index: int, state: bytes) -> None:
    """Let ``state`` stand for the log up to the committed ``index``."""
    members = replica.base.members
    for entry in replica.log[: index - replica.base.index]:
        if entry.members is not None:
            members = entry.members
    taken = SnapshotTaken(index, term_at(replica, index), members, state)
    del replica.log[: index - replica.base.index]
    replica.base = taken
    replica.durable.snapshot = taken


def _is_same_hard_state(replica: Replica) -> bool:
    durable = replica.durable
    return (
        durable.term == replica.term
        and durable.vote == replica.vote
        and durable.members == replica.base.members
    )


def _unsaved(replica: Replica) -> Persist | None:
    durable = replica.durable
    saved = 0 if durable.snapshot else durable.index
    first = max(saved, replica.base.index) + 1
    entries = entries_from(replica, first)
    committed = not replica.eager_commit or durable.commit == replica.commit
    same = _is_same_hard_state(replica) and committed
    if same and not entries and not durable.cut and not durable.snapshot:
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
    """Tell whether a leader may go on before its own disk has its entries.

    It may while a majority of other voters answers, which can commit by
    themselves: its own log counts only up to what is durable there.
    """
    if replica.role is not Role.LEADER:
        return False
    span = _ANSWERING * replica.timing.heartbeat
    answering = sum(
        now - peer.heard < span
        for name, peer in replica.peers.items()
        if name in replica.members.voters
    )
    durable = replica.durable
    entries_only = not durable.cut and durable.snapshot is None
    return entries_only and answering >= majority(replica.members)


def drain(replica: Replica, *, sync_later: bool = False) -> list[object]:
    """Return the effects since the last call, durability first.

    With ``sync_later`` new entries wait for a later call, unless the term or
    the vote is new too.
    """
    persist = _unsaved(replica)
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


def restore_replica(replica: Replica, saved: Persist, now: float) -> None:
    """Take up what an earlier life of this replica made durable.

    It grants no vote for an election time: an earlier life may have
    answered a leader just before it ended.
    """
    replica.term = saved.term
    replica.vote = saved.vote
    replica.base = saved.snapshot or SnapshotTaken(0, 0, saved.members, b'')
    replica.log = list(saved.entries)
    known = min(saved.commit, last_index(replica))
    replica.commit = max(replica.base.index, known)
    take_members(replica)
    if replica.members.voters:
        replica.role = Role.FOLLOWER
    durable = replica.durable
    durable.term = saved.term
    durable.vote = saved.vote
    durable.members = replica.base.members
    durable.index = last_index(replica)
    replica.heard = now
    reset_election(replica, now)
