"""Steps about a group with a disk: what leaves before its sync."""

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
    NAMES,
    State,
    decide,
    machine_of,
    new_leader,
)


def _disk_group(context, replica):
    place = use_fixture(_folder, context)
    journal = create(place / 'g', replica.name)
    context.state = State()
    context.group = Group(replica, journal, machine_of(context.state))
    context.sent = []
    context.told = []
    context.transport = Transport(
        lambda message: context.sent.append((message, journal.syncs)),
        lambda tell: context.told.append(tell.message),
    )


@fixture
def _folder(context):
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


@given('a group with a disk whose leader has decided something')
def leader_with_disk(context):
    """Let the election be over, and one record wait for its turn."""
    _disk_group(context, new_leader())
    carry_out(context.group, 1, context.transport)
    context.sent.clear()
    context.syncs = context.group.journal.syncs
    decide(context.state, 1)


@given('it has a question to ask and an answer to give')
def leave_tells(context):
    """Leave both for the turn."""
    context.state.outbox += [
        OutgoingMessage('', 'question', before_commit=True),
        OutgoingMessage('entry', 'answer'),
    ]


@when('it carries out its turn with both peers silent')
def take_turn_alone(context):
    """Append, sync and send 1 s after they were heard."""
    carry_out(context.group, 2, context.transport)


@when('it carries out its turn with both peers answering')
def run_turn(context):
    """Append and send just after they were heard."""
    carry_out(context.group, 1.1, context.transport)


@then('its entries left and it has not synced')
def check_later(context):
    """Look at what left, and at the disk."""
    assert any(
        isinstance(message, Append) and message.entries
        for message, _ in context.sent
    )
    assert context.group.journal.syncs == context.syncs


@then('what one peer holds is not committed, and what both hold is')
def check_majority(context):
    """Let them answer one after the other."""
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
    """Let the time pass."""
    carry_out(context.group, 1.4, context.transport)
    assert context.group.journal.syncs == context.syncs + 1


@then('its entries left before it synced')
def check_early(context):
    """Compare with the number of syncs at that moment."""
    early = [
        message
        for message, syncs in context.sent
        if isinstance(message, Append) and message.entries
    ]
    assert len(early) == 2, context.sent
    assert all(syncs == context.syncs for _, syncs in context.sent)
    assert context.group.journal.syncs == context.syncs + 1


@then('nothing of it counts as committed')
def check_uncommitted(context):
    """No peer has answered yet."""
    replica = context.group.replica
    assert replica.commit < last_index(replica), replica.commit


@given('a group with a disk that follows')
def follower_with_disk(context):
    """Make a follower with the same members."""
    replica = Replica('g', 'b#1', ('a', 'b', 'c'), Timing(), 1)
    members = Members(NAMES)
    replica.base = SnapshotTaken(0, 0, members, b'')
    replica.members = members
    replica.role = Role.FOLLOWER
    _disk_group(context, replica)


@when('it takes an entry from its leader')
def take_entry(context):
    """Let an append arrive."""
    entry = LogEntry(1, 1, b'')
    append = Append('g', 'a#1', 'b#1', 1, 0, 0, 0, 1, (entry,))
    receive(context.group.replica, append, 1)
    carry_out(context.group, 1, context.transport)


@then('its answer left after it synced')
def check_late(context):
    """Compare with the number of syncs at that moment."""
    answers = [
        syncs
        for message, syncs in context.sent
        if isinstance(message, AppendReply)
    ]
    assert answers == [1], context.sent


@then('the question has left and the answer has not')
def check_told(context):
    """Look at what was let out."""
    assert context.told == ['question'], context.told


def _answer_all(context, stamp, now):
    replica = context.group.replica
    last = last_index(replica)
    for name in ('b#1', 'c#1'):
        reply = AppendReply(
            'g', name, 'a#1', replica.term, True, last, 0, stamp
        )
        receive(replica, reply, now)
    carry_out(context.group, now, context.transport)
    assert replica.commit == last


@when('it pauses, and late answers of its peers commit the turn')
def pause(context):
    """Let answers to what it sent before the pause arrive after it."""
    _answer_all(context, 1.1, 9)


@then('the answer leaves once they answer its heartbeat')
def check_released(context):
    """Let answers to a message sent after the pause arrive."""
    _answer_all(context, 9, 9.1)
    assert context.told == ['question', 'answer'], context.told
