"""One replica of a group in a process: its log, files and state.

An eager leader applies its records when it decides them, and lets their
effects out once they are committed.  When it is deposed it builds the state
again from the committed log: it may have decided something since that never
came into the log.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from daisygw.links._codec import decode_batch, encode_batch
from daisygw.links._journal import Journal, save
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
    compact,
    drain,
    entries_from,
    flush,
    holds_leader_lease,
    last_index,
    may_sync_later,
    propose,
)

# A leader that others can do without syncs at least this often, s: what it
# would have to be sent again after it lost its power.
_LONGEST_UNSYNCED = 0.2


@dataclass(frozen=True, slots=True)
class StateMachine:
    """What a group replicates, as closures over its state.

    An ``eager`` leader applies its records when it appends them; any other
    state changes only by what is committed.
    """

    apply: Callable[[Any], None]
    dump: Callable[[], bytes]
    restore: Callable[[bytes], None]
    elected: Callable[[int], None]
    deposed: Callable[[], None]
    take: Callable[[], tuple[list[Any], list[OutgoingMessage]]]
    eager: bool = True


class Group:
    """A replica with its journal (none without a disk) and its state."""

    def __init__(
        self,
        replica: Replica,
        journal: Journal | None,
        machine: StateMachine,
    ) -> None:
        """Begin with the state of the replica's snapshot."""
        self.replica = replica
        self.journal = journal
        self.machine = machine
        self.applied = 0
        self.held: deque[tuple[int, OutgoingMessage]] = deque()
        self.due: deque[Any] = deque()
        self.snapshot: tuple[int, bytes] | None = None
        self.dropped = 0
        self.synced_at = float('-inf')
        _rebuild(self)


@dataclass(frozen=True, slots=True)
class Transport:
    """Where the effects of a group go."""

    send: Callable[[Any], None]
    send_message: Callable[[OutgoingMessage], None]


def leads(group: Group) -> bool:
    """Tell whether this replica leads its group, as far as it knows."""
    return group.replica.role is Role.LEADER


def _apply(group: Group, entries: tuple[LogEntry, ...]) -> None:
    for entry in entries:
        if entry.index <= group.applied:
            continue
        group.applied = entry.index
        if entry.body:
            for record in decode_batch(entry.body):
                group.machine.apply(record)


def _rebuild(group: Group) -> None:
    replica = group.replica
    group.machine.restore(replica.base.state)
    group.applied = replica.base.index
    committed = replica.commit - replica.base.index
    _apply(group, tuple(replica.log[:committed]))


def _on_deposed(group: Group) -> None:
    group.dropped += len(group.held)
    group.held.clear()
    group.snapshot = None
    group.machine.deposed()
    if group.machine.eager:
        _rebuild(group)


def _on_elected(group: Group, term: int) -> None:
    replica = group.replica
    if group.machine.eager:
        _apply(group, entries_from(replica, replica.base.index + 1))
    group.machine.elected(term)


def _on_restore(group: Group, effect: Restore) -> None:
    group.machine.restore(effect.snapshot.state)
    group.applied = effect.snapshot.index


def _release(group: Group, now: float, transport: Transport) -> None:
    """Let out what is committed, while this replica surely leads.

    What was decided before a pause waits for the lease to hold again: the
    state says that it was done.  Once deposed, it is dropped.
    """
    commit = group.replica.commit
    while group.held and group.held[0][0] <= commit:
        if not holds_leader_lease(group.replica, now):
            return
        _, outgoing = group.held.popleft()
        transport.send_message(outgoing)


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
            _on_restore(group, effect)
        case Elected():
            _on_elected(group, effect.term)
        case Deposed():
            _on_deposed(group)


def _append(group: Group, transport: Transport) -> None:
    """Put this turn's records into the log, and hold back their effects."""
    records, outbox = group.machine.take()
    if not leads(group):
        return
    if records:
        propose(group.replica, encode_batch(records))
        if group.machine.eager:
            group.applied = last_index(group.replica)
    index = last_index(group.replica)
    group.held.extend((index, one) for one in outbox if not one.before_commit)
    for outgoing in outbox:
        if outgoing.before_commit:
            transport.send_message(outgoing)


def _drain(group: Group, now: float) -> list[Any]:
    """Return what is to be done, a leader's appends before its own sync.

    Peers then sync at the same time.  No answer of theirs is taken before
    this replica has synced, and only then does it count for a majority.
    Where others can commit without it, it syncs now and then only, because
    a sync stops the loop.
    """
    replica = group.replica
    durable_term = replica.durable.term == replica.term
    lately = now - group.synced_at < _LONGEST_UNSYNCED
    later = bool(group.journal) and lately and may_sync_later(replica, now)
    effects = drain(replica, sync_later=later)
    if group.due or not durable_term or not leads(group):
        return effects
    return sorted(effects, key=_waits_for_sync)


def _waits_for_sync(effect: Any) -> bool:
    sent = isinstance(effect, Send)
    return not (sent and isinstance(effect.message, Append))


def carry_out(group: Group, now: float, transport: Transport) -> None:
    """Append what was decided, and carry out all effects in order.

    Raises ``JournalError`` where the disk refuses to write; what follows
    waits then, in order, for the next call.
    """
    _append(group, transport)
    flush(group.replica, now)
    group.due.extend(_drain(group, now))
    while group.due:
        while group.due:
            _carry_out(group, group.due[0], transport, now)
            group.due.popleft()
        flush(group.replica, now)
        group.due.extend(_drain(group, now))
    _release(group, now, transport)


def compact_log(group: Group, most: int) -> None:
    """Take a snapshot when the log has more than ``most`` entries.

    The state may run ahead of the commit; the snapshot then waits for it.
    """
    replica = group.replica
    if group.snapshot is None and len(replica.log) > most:
        group.snapshot = (group.applied, group.machine.dump())
    if group.snapshot and group.snapshot[0] <= replica.commit:
        index, state = group.snapshot
        group.snapshot = None
        if index > replica.base.index:
            compact(replica, index, state)


def describe_group(group: Group) -> dict[str, Any]:
    """Return what a dump shows of a group."""
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
