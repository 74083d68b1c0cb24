"""Membership: forming a group, and replacing a replica that lost its state.

A new replica joins as a learner.  Once it has caught up, the replica that it
replaces is removed, and then it becomes a voter.  Each change adds or removes
one name, and the next one waits until it is committed.  In this order the lost
replica and its successor are never voters at the same time, which would make
the majority larger.
"""

from dataclasses import replace

from daisygw.zones._messages import (
    FormGroup,
    Hello,
    HelloReply,
    Members,
    SnapshotTaken,
    host_of,
    member_hosts,
)
from daisygw.zones._replica import (
    Peer,
    Replica,
    Role,
    is_formed,
    last_index,
    reset_election_timer,
    send,
    update_members,
)
from daisygw.zones._replication import propose

# A join request is dropped if it is not repeated for this long; it spans
# several hello intervals, because some hellos may be lost.
_JOIN_REQUEST_TTL_S = 2.0
# A voter that has not replied for this long may be replaced: longer than an
# election, shorter than the time a replacement gets to catch up.
_VOTER_UNREACHABLE_S = 3.0
# A learner that has replied within this time is live: a few heartbeats.
_LEARNER_LIVE_S = 1.0
# Voters of a group that admits new hosts, if it has fewer than ``_MAX_VOTERS``.
_MIN_VOTERS = 3
# Voters of such a group with at least as many hosts: two of them may fail.
_MAX_VOTERS = 5


def send_hello(replica: Replica, now: float) -> None:
    """Send ``Hello`` to every other voter host and contact.

    Forms the group first, if their replies have shown that all are new.
    """
    replica.hello_due = now + replica.timing.hello
    _form_if_all_new(replica, now)
    hosts = replica.contacts.union(replica.voter_hosts)
    for host in sorted(hosts):
        if host != host_of(replica.name):
            formed = is_formed(replica)
            hello = Hello(replica.group, replica.name, host, formed)
            send(replica, hello)


def on_hello(replica: Replica, hello: Hello, now: float) -> None:
    """Reply to a replica that wants to join, and record its request.

    A follower also passes the request on to its leader, which alone admits
    members: the sender may know only hosts that do not lead.
    """
    replica.join_requests[host_of(hello.sender)] = (hello.sender, now)
    _record_formed(replica, hello.sender, formed=hello.formed)
    is_direct = hello.to == host_of(replica.name)
    if is_direct and replica.leader not in {'', replica.name}:
        send(replica, replace(hello, to=replica.leader))
    reply = HelloReply(
        replica.group,
        replica.name,
        hello.sender,
        is_formed(replica),
    )
    send(replica, reply)


def on_hello_reply(replica: Replica, reply: HelloReply, now: float) -> None:
    """Form the group once all voter hosts are known to be new.

    Only the first voter host does so.
    """
    _record_formed(replica, reply.sender, formed=reply.formed)
    _form_if_all_new(replica, now)


def _record_formed(replica: Replica, name: str, *, formed: bool) -> None:
    if formed:
        replica.unformed_replicas.pop(host_of(name), None)
    else:
        replica.unformed_replicas[host_of(name)] = name


def _form_if_all_new(replica: Replica, now: float) -> None:
    if not replica.voter_hosts:
        return
    names = {**replica.unformed_replicas, host_of(replica.name): replica.name}
    is_first = replica.voter_hosts[0] == host_of(replica.name)
    all_new = all(host in names for host in replica.voter_hosts)
    if is_formed(replica) or not is_first or not all_new:
        return
    members = Members(tuple(names[host] for host in replica.voter_hosts))
    _form_group(replica, members, now)
    for name in members.voters:
        if name != replica.name:
            form = FormGroup(replica.group, replica.name, name, members)
            send(replica, form)


def on_form(replica: Replica, form: FormGroup, now: float) -> None:
    """Adopt the group's first members, unless there are members already."""
    if not replica.members.voters:
        _form_group(replica, form.members, now)


def _form_group(replica: Replica, members: Members, now: float) -> None:
    replica.base = SnapshotTaken(0, 0, members, b'')
    update_members(replica)
    replica.role = Role.FOLLOWER
    replica.join_requests.clear()
    reset_election_timer(replica, now)


def _no_change_pending(replica: Replica) -> bool:
    pending = replica.log[replica.commit - replica.base.index :]
    return not any(entry.members for entry in pending)


def _add_learner(replica: Replica, now: float) -> Members | None:
    members = replica.members
    all_members = {*members.voters, *members.learners}
    for name, requested_at in replica.join_requests.values():
        if name not in all_members and now - requested_at < _JOIN_REQUEST_TTL_S:
            host = host_of(name)
            learners = tuple(
                other for other in members.learners if host_of(other) != host
            )
            return Members(members.voters, (*learners, name))
    return None


def _is_ready(replica: Replica, learner: str, now: float) -> bool:
    """Tell whether a learner is live and has the committed entries."""
    peer = replica.peers.get(learner)
    if peer is None or now - peer.heard > _LEARNER_LIVE_S:
        return False
    return peer.match >= replica.commit


def _ready_learners(replica: Replica, now: float) -> list[str]:
    return [
        name
        for name in replica.members.learners
        if _is_ready(replica, name, now)
    ]


def _remove_replaced(replica: Replica, now: float) -> Members | None:
    """Remove a voter that lost its state, when its successor is ready."""
    voters = replica.members.voters
    newest = {
        host_of(name): name
        for name in (*voters, *_ready_learners(replica, now))
    }
    replaced = [name for name in voters if newest[host_of(name)] != name]
    if not replaced:
        return None
    kept = tuple(name for name in voters if name != replaced[0])
    return Members(kept, replica.members.learners)


def _desired_voters(replica: Replica) -> int:
    hosts = member_hosts(replica.members)
    return _MIN_VOTERS if len(hosts) < _MAX_VOTERS else _MAX_VOTERS


def _unreachable_voters(replica: Replica, now: float) -> list[str]:
    """Return the voters that have not replied to this leader for long."""
    return [
        name
        for name in replica.members.voters
        if name != replica.name
        and now - replica.peers[name].heard > _VOTER_UNREACHABLE_S
    ]


def _remove_unreachable(replica: Replica, now: float) -> Members | None:
    """Remove an unreachable voter, when a learner can take its place."""
    members = replica.members
    unreachable = _unreachable_voters(replica, now)
    surplus = len(members.voters) - _desired_voters(replica)
    replaceable = surplus > 0 or (
        surplus == 0 and bool(_ready_learners(replica, now))
    )
    if not replica.accepts_new_hosts or not unreachable or not replaceable:
        return None
    kept = tuple(name for name in members.voters if name != unreachable[0])
    return Members(kept, members.learners)


def _may_vote(replica: Replica, name: str) -> bool:
    """Tell whether a ready learner may become a voter."""
    voters = replica.members.voters
    if host_of(name) in {host_of(voter) for voter in voters}:
        return False
    if not replica.accepts_new_hosts:
        return host_of(name) in replica.voter_hosts
    return len(voters) < _desired_voters(replica)


def _promote_learner(replica: Replica, now: float) -> Members | None:
    members = replica.members
    for name in _ready_learners(replica, now):
        if _may_vote(replica, name):
            learners = tuple(
                other for other in members.learners if other != name
            )
            return Members((*members.voters, name), learners)
    return None


def update_membership(replica: Replica, now: float) -> None:
    """As the leader, propose the next membership change, if one is due."""
    if not _no_change_pending(replica):
        return
    change = (
        _remove_replaced(replica, now)
        or _remove_unreachable(replica, now)
        or _promote_learner(replica, now)
        or _add_learner(replica, now)
    )
    if change is None:
        return
    propose(replica, b'', change)
    all_members = {*change.voters, *change.learners}
    for name in all_members - {replica.name} - set(replica.peers):
        peer = Peer(last_index(replica))
        peer.heard = now
        replica.peers[name] = peer
    for removed in set(replica.peers) - all_members:
        replica.peers.pop(removed)
    replica.join_requests = {
        host: (name, requested_at)
        for host, (name, requested_at) in replica.join_requests.items()
        if name not in all_members
    }
