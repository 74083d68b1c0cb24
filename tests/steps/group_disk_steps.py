"""Steps about a group with a disk: what it sends before its sync."""

import tempfile
from pathlib import Path

from behave import fixture, given, then, use_fixture, when

from daisygw.links.processes import (
    Group,
    Transport,
    carry_out,
    create,
)
from daisygw.zones import (
    Append,
    AppendReply,
    LogEntry,
    Members,
    OutgoingMessage,
    Replica,
    Role,
    SnapshotTaken,
    Timing,
    last_index,
    receive,
)
from tests.group_world import (
    REPLICA_NAMES,
    State,
    decide,
    new_leader,
    state_machine_of,
)


def _make_group(context, replica):
    place = use_fixture(_temporary_folder, context)
    journal = create(place / 'g', replica.name)
    context.state = State()
    context.group = Group(replica, journal, state_machine_of(context.state))
    context.sent = []
    context.outgoing = []
    context.transport = Transport(
        lambda message: context.sent.append((message, journal.syncs)),
        lambda outgoing: context.outgoing.append(outgoing.message),
    )


@fixture
def _temporary_folder(context):
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


@given('a group with a disk whose leader has decided a record')
def leader_with_disk(context):
    """Finish the election, and leave a record for the next turn."""
    _make_group(context, new_leader())
    carry_out(context.group, 1, context.transport)
    context.sent.clear()
    context.syncs = context.group.journal.syncs
    decide(context.state, 1)


@given('it has a request and a response to send')
def queue_messages(context):
    """Queue both; only the request may be sent before the commit."""
    context.state.outbox += [
        OutgoingMessage('', 'request', before_commit=True),
        OutgoingMessage('entry', 'response'),
    ]


@when('it runs its turn with both peers silent')
def run_turn_unanswered(context):
    """Run the turn 1 s after the last message of the peers."""
    carry_out(context.group, 2, context.transport)


@when('it runs its turn with both peers answering')
def run_turn(context):
    """Run the turn 0.1 s after the last message of the peers."""
    carry_out(context.group, 1.1, context.transport)


@then('its entries were sent and it has not synced')
def check_sync_deferred(context):
    """Expect sent entries and no new sync."""
    assert any(
        isinstance(message, Append) and message.entries
        for message, _ in context.sent
    )
    assert context.group.journal.syncs == context.syncs


@then('an entry that one peer holds is not committed, one that both hold is')
def check_majority(context):
    """Let the peers acknowledge one after the other."""
    replica = context.group.replica
    last = last_index(replica)
    for name, committed in (('b#1', False), ('c#1', True)):
        reply = AppendReply('g', name, 'a#1', replica.term, True, last, 0, 1.1)
        receive(replica, reply, 1.15)
        carry_out(context.group, 1.15, context.transport)
        assert (replica.commit == last) is committed, (name, replica.commit)
    assert context.group.journal.syncs == context.syncs


@then('it has synced 0.3 seconds later')
def check_synced(context):
    """Run a turn 0.3 s after the one that sent the entries."""
    carry_out(context.group, 1.4, context.transport)
    assert context.group.journal.syncs == context.syncs + 1


@then('its entries were sent before it synced')
def check_sent_before_sync(context):
    """Expect an append to each peer, sent before the only sync."""
    early = [
        message
        for message, syncs in context.sent
        if isinstance(message, Append) and message.entries
    ]
    assert len(early) == 2, context.sent
    assert all(syncs == context.syncs for _, syncs in context.sent)
    assert context.group.journal.syncs == context.syncs + 1


@then('the newest of them is not committed')
def check_uncommitted(context):
    """Expect a commit index below the last entry; no peer has answered."""
    replica = context.group.replica
    assert replica.commit < last_index(replica), replica.commit


@given('a follower with a disk')
def follower_with_disk(context):
    """Start a follower with the same members."""
    replica = Replica('g', 'b#1', ('a', 'b', 'c'), Timing(), 1)
    members = Members(REPLICA_NAMES)
    replica.base = SnapshotTaken(0, 0, members, b'')
    replica.members = members
    replica.role = Role.FOLLOWER
    _make_group(context, replica)


@when('it receives an entry from its leader')
def receive_entry(context):
    """Deliver an append with one entry."""
    entry = LogEntry(1, 1, b'')
    append = Append('g', 'a#1', 'b#1', 1, 0, 0, 0, 1, (entry,))
    receive(context.group.replica, append, 1)
    carry_out(context.group, 1, context.transport)


@then('its answer was sent after it synced')
def check_answered_after_sync(context):
    """Expect one answer, sent after the first sync."""
    answers = [
        syncs
        for message, syncs in context.sent
        if isinstance(message, AppendReply)
    ]
    assert answers == [1], context.sent


@then('the request was sent and the response was not')
def check_only_request_sent(context):
    """Compare the messages sent."""
    assert context.outgoing == ['request'], context.outgoing


def _acknowledge_all(context, stamp, now):
    replica = context.group.replica
    last = last_index(replica)
    for name in ('b#1', 'c#1'):
        reply = AppendReply(
            'g', name, 'a#1', replica.term, True, last, 0, stamp
        )
        receive(replica, reply, now)
    carry_out(context.group, now, context.transport)
    assert replica.commit == last


@when('it pauses, and late acknowledgements of its peers commit the turn')
def pause(context):
    """Deliver, after the pause, answers to messages sent before it."""
    _acknowledge_all(context, 1.1, 9)


@then('the response is sent once the peers answer its heartbeat')
def check_released(context):
    """Deliver answers to a message sent after the pause."""
    _acknowledge_all(context, 9, 9.1)
    assert context.outgoing == ['request', 'response'], context.outgoing


@when('its turn is committed, and it is asked once its lease has run out')
def ask_late(context):
    """Queue a response that needs no record, 8 s after the last message."""
    _acknowledge_all(context, 1.1, 1.15)
    context.state.outbox.append(OutgoingMessage('entry', 'response'))
    carry_out(context.group, 9, context.transport)


@then('it answers only after its peers have answered a heartbeat')
def check_answered_late(context):
    """Expect the response once the lease is valid again."""
    assert not context.outgoing, context.outgoing
    _acknowledge_all(context, 9, 9.1)
    assert context.outgoing == ['response'], context.outgoing
