"""A replica of a group in a process: its log, journal and state.

An eager leader applies its records at once, and sends the messages that
depend on them once they are committed.  When it is deposed, it rebuilds the
state from the committed log, because it may have applied records that never
got into the log.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from daisygw.links._codec import (
    DECODE_ERRORS,
    decode_batch,
    encode_batch,
)
from daisygw.links._journal import Journal, save
from daisygw.links._logs import log_error
from daisygw.zones import (
    Append,
    Commit,
    Deposed,
    Elected,
    LogEntry,
    OutgoingMessage,
    Persist,
    Replica,
    Restore,
    Role,
    Send,
    SnapshotTaken,
    compact,
    drain,
    entries_from,
    flush,
    holds_leader_lease,
    last_index,
    may_sync_later,
    propose,
    step_down,
)

# Longest time between syncs of a leader whose peers can commit without it.
# It bounds what the peers have to send again after a power loss.
_MAX_UNSYNCED_S = 0.2


@dataclass(frozen=True, slots=True)
class StateMachine:
    """A replicated state machine, as closures over its state.

    ``dump`` encodes the state for a snapshot, and ``restore`` replaces it;
    ``elected`` gets the term.  ``collect_output`` returns the records and
    messages of the current turn.  An ``eager`` leader has applied its records
    by the time it appends them; otherwise records are applied once committed.
    """

    apply: Callable[[Any], None]
    dump: Callable[[], bytes]
    restore: Callable[[bytes], None]
    elected: Callable[[int], None]
    deposed: Callable[[], None]
    collect_output: Callable[[], tuple[list[Any], list[OutgoingMessage]]]
    eager: bool = True


class Group:
    """A replica with its state and its journal (None without a disk).

    ``applied`` is the last log index that the state includes.  ``held`` has
    the outgoing messages that wait for a commit, each with its log index;
    ``dropped`` counts those that a deposed leader dropped.
    """

    def __init__(
        self,
        replica: Replica,
        journal: Journal | None,
        machine: StateMachine,
    ) -> None:
        """Build the state from the replica's snapshot and committed log."""
        self.replica = replica
        self.journal = journal
        self.machine = machine
        self.applied = 0
        self.held: deque[tuple[int, OutgoingMessage]] = deque()
        self.pending_effects: deque[Any] = deque()
        self.snapshot: tuple[int, bytes] | None = None
        self.dropped = 0
        self.synced_at = float('-inf')
        _rebuild(self)


@dataclass(frozen=True, slots=True)
class Transport:
    """Delivers a group's effects.

    ``send`` takes messages to other replicas, ``emit`` those to entries.
    """

    send: Callable[[Any], None]
    emit: Callable[[OutgoingMessage], None]


def leads(group: Group) -> bool:
    """Return whether this replica leads its group, as far as it knows."""
    return group.replica.role is Role.LEADER


def _apply(group: Group, entries: tuple[LogEntry, ...]) -> None:
    for entry in entries:
        if entry.index <= group.applied:
            continue
        records = _read_records(group, entry)
        if group.replica.snapshots.unreadable:
            return
        group.applied = entry.index
        for record in records:
            _apply_record(group, entry.index, record)


def _read_records(group: Group, entry: LogEntry) -> list[Any]:
    """Return the records of an entry.

    Where they cannot be read, the replica asks for a snapshot and applies
    nothing until it has one.
    """
    try:
        return decode_batch(entry.body) if entry.body else []
    except DECODE_ERRORS as exc:
        log_error('log unreadable', exc, index=entry.index)
        group.replica.snapshots.unreadable = entry.index
        return []


def _restore(group: Group, snapshot: SnapshotTaken) -> None:
    """Replace the state by that of a snapshot, if it can be read."""
    try:
        group.machine.restore(snapshot.state)
    except DECODE_ERRORS as exc:
        log_error('snapshot unreadable', exc, index=snapshot.index)
        group.replica.snapshots.unreadable = snapshot.index + 1
    group.applied = snapshot.index


def _apply_record(group: Group, index: int, record: Any) -> None:
    """Apply a committed record; one that fails changes nothing more.

    It fails in the same way on every replica, as their states are equal.
    """
    try:
        group.machine.apply(record)
    except Exception as exc:
        kind = type(record).__name__
        log_error('record not applied', exc, index=index, kind=kind)


def _rebuild(group: Group) -> None:
    replica = group.replica
    _restore(group, replica.base)
    committed = replica.commit - replica.base.index
    _apply(group, tuple(replica.log[:committed]))


def _on_deposed(group: Group) -> None:
    group.dropped += len(group.held)
    group.held.clear()
    group.snapshot = None
    group.machine.deposed()
    if group.machine.eager:
        _rebuild(group)


def _on_elected(group: Group, term: int, now: float) -> None:
    replica = group.replica
    if group.machine.eager:
        _apply(group, entries_from(replica, replica.base.index + 1))
    if replica.snapshots.unreadable:
        step_down(replica, replica.term, now)
    else:
        group.machine.elected(term)


def _emit_committed(group: Group, now: float, transport: Transport) -> None:
    """Send the messages whose records are committed, under a valid lease.

    After a pause of this process, the messages wait until the leader's lease
    is valid again, because the state already counts them as sent.  A deposed
    leader drops them.
    """
    commit = group.replica.commit
    while group.held and group.held[0][0] <= commit:
        if not holds_leader_lease(group.replica, now):
            return
        _, outgoing = group.held.popleft()
        transport.emit(outgoing)


def _carry_out(
    group: Group, effect: Any, transport: Transport, now: float
) -> None:
    match effect:
        case Persist():
            if group.journal:
                save(group.journal, effect)
                group.synced_at = now
        case Send():
            transport.send(effect.message)
        case Commit():
            _apply(group, effect.entries)
        case Restore():
            _restore(group, effect.snapshot)
        case Elected():
            _on_elected(group, effect.term, now)
        case Deposed():
            _on_deposed(group)


def _append_records(group: Group, transport: Transport) -> None:
    """Append this turn's records, and hold back their outgoing messages."""
    records, outbox = group.machine.collect_output()
    if not leads(group):
        return
    if records:
        propose(group.replica, encode_batch(records))
        if group.machine.eager:
            group.applied = last_index(group.replica)
    index = last_index(group.replica)
    group.held.extend(
        (index, outgoing) for outgoing in outbox if not outgoing.before_commit
    )
    for outgoing in outbox:
        if outgoing.before_commit:
            transport.emit(outgoing)


def _drain_effects(group: Group, now: float) -> list[Any]:
    """Return the effects to execute, a leader's appends before its own sync.

    Sending first lets the peers sync at the same time.  This replica handles
    their replies only after its own sync, and counts for the majority only
    from then on.  Where the peers can commit without it, it syncs rarely,
    because a sync blocks the event loop.
    """
    replica = group.replica
    durable_term = replica.durable.term == replica.term
    synced_recently = now - group.synced_at < _MAX_UNSYNCED_S
    later = (
        bool(group.journal) and synced_recently and may_sync_later(replica, now)
    )
    effects = drain(replica, sync_later=later)
    if group.pending_effects or not durable_term or not leads(group):
        return effects
    return sorted(effects, key=_waits_for_sync)


def _waits_for_sync(effect: Any) -> bool:
    sent = isinstance(effect, Send)
    return not (sent and isinstance(effect.message, Append))


def carry_out(group: Group, now: float, transport: Transport) -> None:
    """Append the decided records, and execute all effects in order.

    Raises ``JournalError`` where a write to the disk fails; the remaining
    effects then stay queued, in order, for the next call.
    """
    _append_records(group, transport)
    flush(group.replica, now)
    group.pending_effects.extend(_drain_effects(group, now))
    while group.pending_effects:
        while group.pending_effects:
            _carry_out(group, group.pending_effects[0], transport, now)
            group.pending_effects.popleft()
        flush(group.replica, now)
        group.pending_effects.extend(_drain_effects(group, now))
    _emit_committed(group, now, transport)


def resign(group: Group, now: float) -> None:
    """Stop leading after an unexpected error in a turn.

    The leader's state may be incomplete.  It is built again from the
    committed log, so that this replica knows no more than the log says.
    """
    if leads(group):
        step_down(group.replica, group.replica.term, now)


def compact_log(group: Group, max_entries: int) -> None:
    """Take a snapshot when the log has more than ``max_entries`` entries.

    One is taken too where a peer needs a newer one.

    The state of an eager leader can be ahead of the committed log; the log is
    then compacted once the commit has caught up.
    """
    replica = group.replica
    wanted = replica.snapshots.wanted > replica.base.index
    is_long = wanted or len(replica.log) > max_entries
    if group.snapshot is None and is_long:
        group.snapshot = (group.applied, group.machine.dump())
    if group.snapshot and group.snapshot[0] <= replica.commit:
        index, state = group.snapshot
        group.snapshot = None
        if index > replica.base.index:
            compact(replica, index, state)


def describe_group(group: Group) -> dict[str, Any]:
    """Return the view of a group for a dump."""
    replica = group.replica
    return {
        'group': replica.group,
        'replica': replica.name,
        'role': replica.role,
        'term': replica.term,
        'leader': replica.leader,
        'voters': replica.members.voters,
        'learners': replica.members.learners,
        'commit': replica.commit,
        'applied': group.applied,
        'log_entries': len(replica.log),
        'snapshot_index': replica.base.index,
        'held_effects': len(group.held),
        'dropped_effects': group.dropped,
    }
