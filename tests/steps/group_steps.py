"""Steps about a group's state, lagging peers and failing disks."""

import tempfile
from contextlib import suppress
from pathlib import Path

from behave import given, then, when

from daisygw.contracts import JournalError
from daisygw.links import codec
from daisygw.links.processes import (
    Group,
    Transport,
    carry_out,
    close,
    create,
    load,
)
from daisygw.zones import (
    Append,
    AppendReply,
    LogEntry,
    Members,
    Replica,
    Role,
    SnapshotTaken,
    Timing,
    drain,
    flush,
    last_index,
    receive,
)
from daisygw.zones import Send as SendEffect
from tests.group_world import (
    REPLICA_NAMES,
    State,
    decide,
    new_leader,
    state_machine_of,
)


@given('a group whose leader has committed all its decisions')
def committed_group(context):
    """Decide a record, replicate it and commit it."""
    context.state = State()
    replica = new_leader()
    context.group = Group(replica, None, state_machine_of(context.state))
    context.transport = Transport(lambda message: None, lambda outgoing: None)
    decide(context.state, 1)
    carry_out(context.group, 1, context.transport)
    for name in ('b#1', 'c#1'):
        match = last_index(replica)
        reply = AppendReply('g', name, 'a#1', replica.term, True, match, 0, 1)
        receive(replica, reply, 1)
    carry_out(context.group, 1, context.transport)
    assert replica.commit == last_index(replica)


@when('it learns of a newer term, and decides once more before its next turn')
def depose(context):
    """Deliver an append of the newer term between two turns."""
    replica = context.group.replica
    last = last_index(replica)
    append = Append(
        'g', 'b#1', 'a#1', replica.term + 1, last, replica.term, last, 2
    )
    receive(replica, append, 2)
    decide(context.state, 2)
    carry_out(context.group, 2, context.transport)


@then('its state equals the committed log')
def check_state(context):
    """Compare the applied records with those of the log."""
    logged = [
        record
        for entry in context.group.replica.log
        if entry.body
        for record in codec.decode_batch(entry.body)
    ]
    assert context.state.applied == logged, context.state.applied


@given('a leader with {count:d} entries that a peer lacks')
def lagging_peer(context, count):
    """Start with no answer from any peer."""
    context.replica = new_leader(count)
    drain(context.replica)


def _sent_to(replica, name):
    return [
        effect.message
        for effect in drain(replica)
        if isinstance(effect, SendEffect)
        and isinstance(effect.message, Append)
        and effect.message.to == name
    ]


@when('the peer answers {count:d} appends with a mismatch')
def reject(context, count):
    """Reject each append, as if all were sent before the first reply."""
    replica = context.replica
    flush(replica, 1)
    drain(replica)
    context.sent = 0
    for _ in range(count):
        reply = AppendReply('g', 'b#1', 'a#1', replica.term, False, 0, 0, 1)
        receive(replica, reply, 1)
        flush(replica, 1)
        context.sent += sum(
            len(one.entries) for one in _sent_to(replica, 'b#1')
        )


@then('fewer than {most:d} entries were sent again')
def check_bounded(context, most):
    """Compare the number of entries sent with the bound."""
    assert 0 < context.sent < most, context.sent


@then('the peer holds all entries after acknowledging each append')
def check_caught_up(context):
    """Acknowledge up to 256 entries at a time, 100 times."""
    replica = context.replica
    peer = replica.peers['b#1']
    match = 0
    for _ in range(100):
        last = last_index(replica)
        match = min(max(match, peer.match) + 256, last)
        reply = AppendReply('g', 'b#1', 'a#1', replica.term, True, match, 0, 1)
        receive(replica, reply, 1)
        flush(replica, 1)
    assert peer.match == last_index(replica)
    assert isinstance(replica.log[0], LogEntry)


class _RefusingLog:
    """A log file whose next writes are cut short."""

    def __init__(self, log, refusals):
        self._log = log
        self.refusals = refusals

    def __getattr__(self, name):
        return getattr(self._log, name)

    def write(self, content):
        if self.refusals:
            self.refusals -= 1
            return self._log.write(content[: len(content) // 2])
        return self._log.write(content)


@given('a follower whose disk refuses the next {count:d} writes')
def refusing_disk(context, count):
    """Open a real journal whose log file cuts writes short."""
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    journal = create(Path(context.folder.name) / 'g', 'b#1')
    journal.log = _RefusingLog(journal.log, count)
    replica = Replica('g', 'b#1', (), Timing(), 1)
    replica.base = SnapshotTaken(0, 0, Members(REPLICA_NAMES), b'')
    replica.members = replica.base.members
    replica.role = Role.FOLLOWER
    context.sent = []
    context.transport = Transport(context.sent.append, lambda outgoing: None)
    context.group = Group(replica, journal, state_machine_of(State()))


@when('it receives entries and runs {count:d} turns')
def run_turns(context, count):
    """Record the number of messages sent after each turn."""
    entries = tuple(LogEntry(index, 1) for index in (1, 2, 3))
    append = Append('g', 'a#1', 'b#1', 1, 0, 0, 0, 1, entries)
    receive(context.group.replica, append, 1)
    context.sent_counts = []
    for _ in range(count):
        with suppress(JournalError):
            carry_out(context.group, 1, context.transport)
        context.sent_counts.append(len(context.sent))


@then('it answers once, after the third turn')
def check_answered_once(context):
    """Compare the numbers of messages sent after each turn."""
    assert context.sent_counts == [0, 0, 1], context.sent_counts


@then('its journal holds each entry once')
def check_journal(context):
    """Load the journal as the next process would."""
    close(context.group.journal)
    _, saved = load(context.group.journal.folder)
    assert [entry.index for entry in saved.entries] == [1, 2, 3], saved
