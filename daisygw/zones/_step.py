"""Entry points of a replica: incoming messages and the passing of time.

Both add the resulting effects to ``Replica.effects``.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from daisygw.zones._election import (
    check_quorum,
    on_timeout_now,
    on_vote_reply,
    on_vote_request,
    return_leadership,
    start_pre_vote,
)
from daisygw.zones._membership import (
    on_form,
    on_hello,
    on_hello_reply,
    send_hello,
    update_membership,
)
from daisygw.zones._messages import (
    Append,
    AppendReply,
    FormGroup,
    Hello,
    HelloReply,
    SnapshotPart,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
    host_of,
)
from daisygw.zones._replica import Replica, Role, is_member
from daisygw.zones._replication import (
    flush,
    heartbeat,
    on_append,
    on_append_reply,
    on_snapshot_part,
    on_snapshot_reply,
)

_BY_TYPE: Mapping[type, Callable[[Replica, Any, float], None]] = (
    MappingProxyType({
        Append: on_append,
        AppendReply: on_append_reply,
        FormGroup: on_form,
        Hello: on_hello,
        HelloReply: on_hello_reply,
        SnapshotPart: on_snapshot_part,
        SnapshotReply: on_snapshot_reply,
        TimeoutNow: on_timeout_now,
        VoteReply: on_vote_reply,
        VoteRequest: on_vote_request,
    })
)


def receive(replica: Replica, message: Any, now: float) -> None:
    """Handle one message; ignore one that is for another replica."""
    if message.to not in {replica.name, host_of(replica.name)}:
        return
    _BY_TYPE[type(message)](replica, message, now)


def tick(replica: Replica, now: float) -> None:
    """Do what is due at ``now`` (s): hellos, heartbeats, elections, appends."""
    if now >= replica.hello_due and _should_send_hello(replica, now):
        send_hello(replica, now)
    if replica.role is Role.LEADER:
        _tick_leader(replica, now)
    elif replica.role is not Role.NEW and now >= replica.election_due:
        start_pre_vote(replica, now)
    flush(replica, now)


def _should_send_hello(replica: Replica, now: float) -> bool:
    """Tell whether a replica is in no group, or may have been removed."""
    if not is_member(replica):
        return True
    unheard = now - replica.heard > 2 * replica.timing.election
    follows = replica.role is not Role.LEADER
    return replica.accepts_new_hosts and follows and unheard


def _tick_leader(replica: Replica, now: float) -> None:
    check_quorum(replica, now)
    if replica.role is Role.LEADER and now >= replica.heartbeat_due:
        update_membership(replica, now)
        heartbeat(replica, now)
        return_leadership(replica, now)
