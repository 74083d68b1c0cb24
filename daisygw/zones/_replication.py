"""Replication: a leader's batches, its followers' answers, snapshots."""

from daisygw.zones._messages import (
    Append,
    AppendReply,
    LogEntry,
    Members,
    Restore,
    SnapshotPart,
    SnapshotReply,
    SnapshotTaken,
)
from daisygw.zones._replica import (
    Peer,
    Replica,
    Role,
    add_entries,
    commit_to,
    cut_log,
    entries_from,
    is_voter,
    last_index,
    majority,
    reset_election,
    send,
    step_down,
    take_members,
    term_at,
)

# Entries sent at once; a peer that lags gets the next ones when it answers.
MOST_ENTRIES = 256


def propose(
    replica: Replica,
    body: bytes,
    members: Members | None = None,
) -> int:
    """Add an entry to a leader's log; return its index.

    It is sent with the next ``flush``; it counts only once committed.
    """
    index = last_index(replica) + 1
    add_entries(replica, (LogEntry(index, replica.term, body, members),))
    return index


def flush(replica: Replica, now: float) -> None:
    """Send every peer what it lacks; as a leader only."""
    if replica.role is not Role.LEADER:
        return
    advance(replica)
    for name, peer in replica.peers.items():
        if peer.probing:
            continue
        behind = replica.eager_commit and peer.told < replica.commit
        if behind or peer.next_index <= last_index(replica):
            _send_next(replica, name, peer, now)


def heartbeat(replica: Replica, now: float) -> None:
    """Send every peer at least an empty append."""
    replica.heartbeat_due = now + replica.timing.heartbeat
    for name, peer in replica.peers.items():
        peer.waiting = False
        _send_next(replica, name, peer, now)


def _send_next(replica: Replica, name: str, peer: Peer, now: float) -> None:
    if peer.next_index <= replica.base.index:
        _send_snapshot(replica, name, peer, now)
        return
    prev = peer.next_index - 1
    entries = entries_from(replica, peer.next_index, MOST_ENTRIES)
    message = Append(
        replica.group,
        replica.name,
        name,
        replica.term,
        prev,
        term_at(replica, prev),
        replica.commit,
        now,
        entries,
    )
    if not peer.probing:
        peer.next_index += len(entries)
    peer.told = replica.commit
    send(replica, message)


def _send_snapshot(
    replica: Replica,
    name: str,
    peer: Peer,
    now: float,
) -> None:
    if peer.waiting:
        return
    peer.waiting = True
    taken = replica.base
    end = peer.snapshot_offset + replica.timing.batch
    message = SnapshotPart(
        replica.group,
        replica.name,
        name,
        replica.term,
        taken.index,
        taken.term,
        taken.members,
        peer.snapshot_offset,
        taken.state[peer.snapshot_offset : end],
        end >= len(taken.state),
        now,
    )
    send(replica, message)


def advance(replica: Replica) -> None:
    """Commit what is durable on a majority of the voters, of this term only.

    The leader itself counts for what it has handed out to be made durable,
    which it does before it takes any answer to it.
    """
    matches = [
        replica.peers[name].match if name in replica.peers else 0
        for name in replica.members.voters
        if name != replica.name
    ]
    if is_voter(replica):
        matches.append(replica.durable.index)
    matches.sort(reverse=True)
    index = matches[majority(replica.members) - 1]
    if term_at(replica, index) == replica.term:
        replica.current = True
        commit_to(replica, index)


def _follow(replica: Replica, leader: str, term: int, now: float) -> None:
    if term > replica.term or replica.role is not Role.FOLLOWER:
        step_down(replica, term, now)
    replica.leader = leader
    replica.heard = now
    reset_election(replica, now)


def _merge(replica: Replica, entries: tuple[LogEntry, ...]) -> None:
    for offset, entry in enumerate(entries):
        known = term_at(replica, entry.index)
        if known == entry.term or entry.index <= replica.base.index:
            continue
        if known != -1:
            cut_log(replica, entry.index)
        add_entries(replica, entries[offset:])
        return


def on_append(replica: Replica, message: Append, now: float) -> None:
    """Take a leader's entries, if they join on to this log."""
    if message.term < replica.term:
        _reply(replica, message, 0, taken=False)
        return
    _follow(replica, message.sender, message.term, now)
    known = term_at(replica, message.prev_index)
    behind = message.prev_index < replica.base.index
    if known != message.prev_term and not behind:
        retry = min(last_index(replica), message.prev_index - 1)
        retry = max(retry, replica.commit)
        _reply(replica, message, retry, taken=False)
        return
    _merge(replica, message.entries)
    match = message.prev_index + len(message.entries)
    commit_to(replica, min(message.commit, match))
    replica.current = replica.commit >= message.commit
    _reply(replica, message, match, taken=True)


def _reply(
    replica: Replica,
    message: Append,
    match: int,
    *,
    taken: bool,
) -> None:
    reply = AppendReply(
        replica.group,
        replica.name,
        message.sender,
        replica.term,
        taken,
        match,
        replica.commit,
        message.stamp,
    )
    send(replica, reply)


def _heard_peer(
    replica: Replica,
    reply: AppendReply | SnapshotReply,
    now: float,
) -> Peer | None:
    """Return the peer that answered its leader, None for any other reply."""
    if reply.term > replica.term:
        step_down(replica, reply.term, now)
    peer = replica.peers.get(reply.sender)
    leading = replica.role is Role.LEADER and reply.term == replica.term
    if peer is None or not leading:
        return None
    peer.heard = now
    peer.acked = max(peer.acked, reply.stamp)
    return peer


def on_append_reply(
    replica: Replica,
    reply: AppendReply,
    now: float,
) -> None:
    """Note what a peer holds, or step back where its log differs."""
    peer = _heard_peer(replica, reply, now)
    if peer is None:
        return
    peer.commit = max(peer.commit, reply.commit)
    if reply.taken:
        peer.probing = False
        peer.match = max(peer.match, reply.match)
        peer.next_index = max(peer.next_index, peer.match + 1)
        advance(replica)
    else:
        _probe(replica, reply, peer, now)


def _probe(
    replica: Replica,
    reply: AppendReply,
    peer: Peer,
    now: float,
) -> None:
    """Find out where a peer's log joins on, one message at a time.

    Entries that were under way when its log was found to differ are all
    answered so; only one answer within a heartbeat leads to a message.
    """
    following = max(reply.match, peer.match) + 1
    again = now - peer.probed >= replica.timing.heartbeat
    if not peer.probing or again or following < peer.next_index:
        peer.probing = True
        peer.probed = now
        peer.next_index = following
        _send_next(replica, reply.sender, peer, now)


def on_snapshot_part(
    replica: Replica,
    message: SnapshotPart,
    now: float,
) -> None:
    """Collect a snapshot; take it when whole."""
    if message.term < replica.term:
        return
    _follow(replica, message.sender, message.term, now)
    if message.offset == 0:
        replica.incoming = bytearray()
    if message.offset == len(replica.incoming):
        replica.incoming += message.part
        if message.last:
            _install(replica, message)
    reply = SnapshotReply(
        replica.group,
        replica.name,
        message.sender,
        replica.term,
        message.index,
        len(replica.incoming),
        message.stamp,
    )
    send(replica, reply)


def _install(replica: Replica, message: SnapshotPart) -> None:
    if message.index <= replica.commit:
        return
    taken = SnapshotTaken(
        message.index,
        message.index_term,
        message.members,
        bytes(replica.incoming),
    )
    joins = term_at(replica, message.index) == message.index_term
    kept = entries_from(replica, message.index + 1) if joins else ()
    durable = replica.durable
    if not joins:
        durable.cut = replica.base.index + 1
    durable.index = min(durable.index, message.index) if joins else 0
    replica.log = list(kept)
    replica.base = taken
    replica.commit = message.index
    durable.snapshot = taken
    take_members(replica)
    replica.effects.append(Restore(taken))


def on_snapshot_reply(
    replica: Replica,
    reply: SnapshotReply,
    now: float,
) -> None:
    """Send the next part, or the entries after the snapshot."""
    peer = _heard_peer(replica, reply, now)
    if peer is None:
        return
    peer.waiting = False
    if reply.index != replica.base.index:
        peer.snapshot_offset = 0
    elif reply.offset >= len(replica.base.state):
        peer.snapshot_offset = 0
        peer.match = max(peer.match, reply.index)
        peer.next_index = max(peer.next_index, reply.index + 1)
        advance(replica)
    else:
        peer.snapshot_offset = reply.offset
    _send_next(replica, reply.sender, peer, now)
