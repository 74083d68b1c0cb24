"""One step of a replica: an event and the time in, effects left behind."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from daisygw.zones._election import (
    campaign,
    check_quorum,
    hand_over,
    on_take_over,
    on_vote_reply,
    on_vote_request,
)
from daisygw.zones._membership import (
    on_form,
    on_hello,
    on_hello_reply,
    review,
    say_hello,
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
from daisygw.zones._replica import Replica, Role, belongs
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
        TimeoutNow: on_take_over,
        VoteReply: on_vote_reply,
        VoteRequest: on_vote_request,
    })
)


def receive(replica: Replica, message: Any, now: float) -> None:
    """Take one message; one for another replica is dropped."""
    if message.to not in {replica.name, host_of(replica.name)}:
        return
    _BY_TYPE[type(message)](replica, message, now)


def tick(replica: Replica, now: float) -> None:
    """Let time pass: heartbeats, elections, greetings."""
    if now >= replica.hello_due and _seeks_group(replica, now):
        say_hello(replica, now)
    if replica.role is Role.LEADER:
        _tick_leader(replica, now)
    elif replica.role is not Role.NEW and now >= replica.election_due:
        campaign(replica, now)
    flush(replica, now)


def _seeks_group(replica: Replica, now: float) -> bool:
    """Tell whether a replica has no group, or may have been removed."""
    if not belongs(replica):
        return True
    unheard = now - replica.heard > 2 * replica.timing.election
    follows = replica.role is not Role.LEADER
    return replica.accepts_new_hosts and follows and unheard


def _tick_leader(replica: Replica, now: float) -> None:
    check_quorum(replica, now)
    if replica.role is Role.LEADER and now >= replica.heartbeat_due:
        review(replica, now)
        heartbeat(replica, now)
        hand_over(replica, now)
