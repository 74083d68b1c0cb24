"""Steps about the transfer of a snapshot to a peer."""

from behave import given, then, when

from daisygw.zones import (
    Append,
    Members,
    Replica,
    Role,
    SnapshotTaken,
    Timing,
    compact,
    drain,
    flush,
    propose,
    receive,
    tick,
)
from daisygw.zones import Send as SendEffect
from tests.group_world import REPLICA_NAMES, new_leader

_PEER = 'b#1'
_PARTS = 3
_STATE_BYTES = _PARTS * Timing().batch


def _sent(replica, to):
    return [
        effect.message
        for effect in drain(replica)
        if isinstance(effect, SendEffect)
        and effect.message.to == to
        and not isinstance(effect.message, Append)
    ]


def _exchange(context, messages, now):
    """Deliver messages to the peer, and its replies to the leader."""
    while messages:
        for message in messages:
            receive(context.peer, message, now)
        for reply in _sent(context.peer, context.leader.name):
            receive(context.leader, reply, now)
        messages = _sent(context.leader, _PEER)


@given('a leader that sends its snapshot in {parts:d} parts to a peer')
def send_first_parts(context, parts):
    """Deliver the first part, its reply and the second part."""
    assert parts == _PARTS
    context.leader = new_leader(10)
    context.leader.commit = 10
    compact(context.leader, 5, b'1' * _STATE_BYTES)
    peer = Replica('g', _PEER, ('a', 'b', 'c'), Timing(), 1)
    peer.base = SnapshotTaken(0, 0, Members(REPLICA_NAMES), b'')
    peer.members = peer.base.members
    peer.role = Role.FOLLOWER
    context.peer = peer
    drain(context.leader)
    flush(context.leader, 1)
    for _ in range(2):
        (part,) = _sent(context.leader, _PEER)
        receive(peer, part, 1)
        context.replies = _sent(peer, context.leader.name)
        if part.offset == 0:
            receive(context.leader, context.replies[0], 1)


@when('it takes a newer snapshot before the second part is acknowledged')
def take_newer(context):
    """Let a heartbeat pass before the reply to the second part arrives."""
    compact(context.leader, 8, b'2' * _STATE_BYTES)
    propose(context.leader, b'x')
    tick(context.leader, 1.3)
    messages = _sent(context.leader, _PEER)
    assert messages
    _exchange(context, messages, 1.3)
    for reply in context.replies:
        receive(context.leader, reply, 1.4)
    _exchange(context, _sent(context.leader, _PEER), 1.4)


@then('the peer installs the newer snapshot, whole')
def check_whole(context):
    """Compare the snapshots of both."""
    assert context.peer.base.index == context.leader.base.index == 8
    assert context.peer.base.state == context.leader.base.state, (
        context.peer.base.state[:3],
        context.peer.base.state[-3:],
    )
