"""Log replication: appends, their replies, and snapshot transfer."""

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
    advance_commit,
    append_entries,
    entries_from,
    is_voter,
    last_index,
    majority,
    reset_election_timer,
    send,
    step_down,
    term_at,
    truncate_log,
    update_members,
)

# A peer that lacks more entries gets the next ones when it has replied.
MAX_ENTRIES_PER_APPEND = 256
# How long a replica that cannot read an entry waits for the snapshot that it
# has asked for.
_SNAPSHOT_REQUEST_INTERVAL_S = 5.0


def propose(
    replica: Replica,
    body: bytes,
    members: Members | None = None,
) -> int:
    """Append an entry to a leader's log; return its index.

    It is sent with the next ``flush``, and has no effect until committed.
    """
    index = last_index(replica) + 1
    append_entries(replica, (LogEntry(index, replica.term, body, members),))
    return index


def flush(replica: Replica, now: float) -> None:
    """As a leader, commit what can be and send each peer what it lacks."""
    if replica.role is not Role.LEADER:
        return
    commit_majority(replica)
    for name, peer in replica.peers.items():
        if peer.probing:
            continue
        behind = replica.eager_commit and peer.sent_commit < replica.commit
        if behind or peer.next_index <= last_index(replica):
            _send_next(replica, name, peer, now)


def heartbeat(replica: Replica, now: float) -> None:
    """Send an ``Append`` to every peer, even without entries."""
    replica.heartbeat_due = now + replica.timing.heartbeat
    for name, peer in replica.peers.items():
        peer.waiting = False
        _send_next(replica, name, peer, now)


def _send_next(replica: Replica, name: str, peer: Peer, now: float) -> None:
    helps = 0 < peer.unreadable <= replica.base.index
    if helps or peer.next_index <= replica.base.index:
        _send_snapshot(replica, name, peer, now)
        return
    prev = peer.next_index - 1
    entries = entries_from(replica, peer.next_index, MAX_ENTRIES_PER_APPEND)
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
    peer.sent_commit = replica.commit
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
    snapshot = replica.base
    end = peer.snapshot_offset + replica.timing.batch
    message = SnapshotPart(
        replica.group,
        replica.name,
        name,
        replica.term,
        snapshot.index,
        snapshot.term,
        snapshot.members,
        peer.snapshot_offset,
        snapshot.state[peer.snapshot_offset : end],
        end >= len(snapshot.state),
        now,
    )
    send(replica, message)


def commit_majority(replica: Replica) -> None:
    """Commit what is durable on a majority of the voters.

    Only an entry of the current term is committed so; earlier ones follow
    with it.  The leader counts its own entries as durable once ``Persist``
    was returned for them: it is executed before any reply is handled.
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
        advance_commit(replica, index)


def _follow(replica: Replica, leader: str, term: int, now: float) -> None:
    if term > replica.term or replica.role is not Role.FOLLOWER:
        step_down(replica, term, now)
    replica.leader = leader
    replica.heard = now
    reset_election_timer(replica, now)


def _merge_entries(replica: Replica, entries: tuple[LogEntry, ...]) -> None:
    for offset, entry in enumerate(entries):
        own_term = term_at(replica, entry.index)
        if own_term == entry.term or entry.index <= replica.base.index:
            continue
        if own_term != -1:
            truncate_log(replica, entry.index)
        append_entries(replica, entries[offset:])
        return


def on_append(replica: Replica, message: Append, now: float) -> None:
    """Append a leader's entries, if they continue this log."""
    if message.term < replica.term:
        _send_append_reply(replica, message, 0, taken=False)
        return
    _follow(replica, message.sender, message.term, now)
    own_term = term_at(replica, message.prev_index)
    in_snapshot = message.prev_index < replica.base.index
    if own_term != message.prev_term and not in_snapshot:
        retry_index = min(last_index(replica), message.prev_index - 1)
        retry_index = max(retry_index, replica.commit)
        _send_append_reply(replica, message, retry_index, taken=False)
        return
    _merge_entries(replica, message.entries)
    match = message.prev_index + len(message.entries)
    advance_commit(replica, min(message.commit, match))
    replica.current = replica.commit >= message.commit
    unreadable = 0
    if replica.snapshots.unreadable and now >= replica.snapshots.request_at:
        replica.snapshots.request_at = now + _SNAPSHOT_REQUEST_INTERVAL_S
        unreadable = replica.snapshots.unreadable
    _send_append_reply(
        replica, message, match, taken=True, unreadable=unreadable
    )


def _send_append_reply(
    replica: Replica,
    message: Append,
    match: int,
    *,
    taken: bool,
    unreadable: int = 0,
) -> None:
    reply = AppendReply(
        replica.group,
        replica.name,
        message.sender,
        replica.term,
        taken,
        match,
        replica.commit,
        message.sent_at,
        unreadable,
    )
    send(replica, reply)


def _record_peer_reply(
    replica: Replica,
    reply: AppendReply | SnapshotReply,
    now: float,
) -> Peer | None:
    """Record when a peer replied to its current leader; return the peer.

    Returns None unless this replica leads in the reply's term.
    """
    if reply.term > replica.term:
        step_down(replica, reply.term, now)
    peer = replica.peers.get(reply.sender)
    leading = replica.role is Role.LEADER and reply.term == replica.term
    if peer is None or not leading:
        return None
    peer.heard = now
    peer.acked_sent_at = max(peer.acked_sent_at, reply.sent_at)
    return peer


def on_append_reply(
    replica: Replica,
    reply: AppendReply,
    now: float,
) -> None:
    """Record which entries a peer has, or go back where its log differs."""
    peer = _record_peer_reply(replica, reply, now)
    if peer is None:
        return
    peer.commit = max(peer.commit, reply.commit)
    if reply.unreadable:
        peer.unreadable = reply.unreadable
        replica.snapshots.wanted = max(
            replica.snapshots.wanted, reply.unreadable
        )
    if reply.taken:
        peer.probing = False
        peer.match = max(peer.match, reply.match)
        peer.next_index = max(peer.next_index, peer.match + 1)
        commit_majority(replica)
    else:
        _probe_log(replica, reply, peer, now)


def _probe_log(
    replica: Replica,
    reply: AppendReply,
    peer: Peer,
    now: float,
) -> None:
    """Find where a peer's log agrees, with one message at a time.

    Each append that was in flight when the logs were found to differ is
    refused too; at most one of these refusals per heartbeat interval makes
    the leader send again, unless it asks for an earlier index.
    """
    next_index = max(reply.match, peer.match) + 1
    is_due = now - peer.probed_at >= replica.timing.heartbeat
    if not peer.probing or is_due or next_index < peer.next_index:
        peer.probing = True
        peer.probed_at = now
        peer.next_index = next_index
        _send_next(replica, reply.sender, peer, now)


def on_snapshot_part(
    replica: Replica,
    message: SnapshotPart,
    now: float,
) -> None:
    """Collect the parts of a snapshot; install it when it is complete.

    A part of another snapshot than the one before starts the collection anew.
    """
    if message.term < replica.term:
        return
    _follow(replica, message.sender, message.term, now)
    source = (message.term, message.index)
    incoming = replica.snapshots
    if message.offset == 0 or incoming.source != source:
        incoming.source = source
        incoming.state = bytearray()
    if message.offset == len(incoming.state):
        incoming.state += message.part
        if message.last:
            _install_snapshot(replica, message)
    reply = SnapshotReply(
        replica.group,
        replica.name,
        message.sender,
        replica.term,
        message.index,
        len(incoming.state),
        message.sent_at,
    )
    send(replica, reply)


def _install_snapshot(replica: Replica, message: SnapshotPart) -> None:
    unreadable = replica.snapshots.unreadable
    replaces_unreadable = 0 < unreadable <= message.index
    if message.index <= replica.commit and not replaces_unreadable:
        return
    replica.snapshots.unreadable = 0
    snapshot = SnapshotTaken(
        message.index,
        message.index_term,
        message.members,
        bytes(replica.snapshots.state),
    )
    is_in_log = term_at(replica, message.index) == message.index_term
    kept = entries_from(replica, message.index + 1) if is_in_log else ()
    durable = replica.durable
    if not is_in_log:
        durable.cut = replica.base.index + 1
    durable.index = min(durable.index, message.index) if is_in_log else 0
    replica.log = list(kept)
    replica.base = snapshot
    replica.commit = message.index
    durable.snapshot = snapshot
    update_members(replica)
    replica.effects.append(Restore(snapshot))


def on_snapshot_reply(
    replica: Replica,
    reply: SnapshotReply,
    now: float,
) -> None:
    """Send the next part of the snapshot, or the entries that follow it."""
    peer = _record_peer_reply(replica, reply, now)
    if peer is None:
        return
    peer.waiting = False
    if reply.index != replica.base.index:
        peer.snapshot_offset = 0
    elif reply.offset >= len(replica.base.state):
        peer.snapshot_offset = 0
        peer.unreadable = 0
        peer.match = max(peer.match, reply.index)
        peer.next_index = max(peer.next_index, reply.index + 1)
        commit_majority(replica)
    else:
        peer.snapshot_offset = reply.offset
    _send_next(replica, reply.sender, peer, now)
