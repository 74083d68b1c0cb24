"""Membership: forming a group, and replacing a replica that lost its state.

A new replica first learns, votes only when it has caught up, and only then
is the replica that it replaces removed: one change at a time.
"""

from daisygw.zones._messages import (
    FormGroup,
    Hello,
    HelloReply,
    Members,
    SnapshotTaken,
    host_of,
)
from daisygw.zones._replica import (
    Peer,
    Replica,
    Role,
    is_formed,
    last_index,
    reset_election,
    send,
    take_members,
)
from daisygw.zones._replication import propose

# A newcomer that has not asked again for this long is forgotten, s: some
# of its greetings may be lost.
_NEWCOMER_AGE = 2.0
# A voter that was not heard for this long may be replaced, s: longer than
# an election, shorter than a successor is given to catch up.
_GONE = 3.0
# A learner is live if it was heard this lately, s: a few heartbeats.
_LIVE = 1.0
# How many voters an open group wants, by the least number of its hosts.
_FEW_VOTERS = 3
# Voters of a group with as many hosts: two may be lost.
_MANY_VOTERS = 5


def say_hello(replica: Replica, now: float) -> None:
    """As a new replica, ask every voter host whether the group is formed."""
    replica.hello_due = now + replica.timing.hello
    _form_if_new(replica, now)
    hosts = replica.contacts.union(replica.voter_hosts)
    for host in sorted(hosts):
        if host != host_of(replica.name):
            formed = is_formed(replica)
            hello = Hello(replica.group, replica.name, host, formed)
            send(replica, hello)


def on_hello(replica: Replica, hello: Hello, now: float) -> None:
    """Answer a newcomer, and remember it."""
    replica.newcomers[host_of(hello.sender)] = (hello.sender, now)
    _note_formed(replica, hello.sender, formed=hello.formed)
    reply = HelloReply(
        replica.group,
        replica.name,
        hello.sender,
        is_formed(replica),
    )
    send(replica, reply)


def on_hello_reply(replica: Replica, reply: HelloReply, now: float) -> None:
    """Form the group once every voter host is known to be new."""
    _note_formed(replica, reply.sender, formed=reply.formed)
    _form_if_new(replica, now)


def _note_formed(replica: Replica, name: str, *, formed: bool) -> None:
    if formed:
        replica.unformed.pop(host_of(name), None)
    else:
        replica.unformed[host_of(name)] = name


def _form_if_new(replica: Replica, now: float) -> None:
    if not replica.voter_hosts:
        return
    names = {**replica.unformed, host_of(replica.name): replica.name}
    first = replica.voter_hosts[0] == host_of(replica.name)
    known = all(host in names for host in replica.voter_hosts)
    if is_formed(replica) or not first or not known:
        return
    members = Members(tuple(names[host] for host in replica.voter_hosts))
    _take_form(replica, members, now)
    for name in members.voters:
        if name != replica.name:
            form = FormGroup(replica.group, replica.name, name, members)
            send(replica, form)


def on_form(replica: Replica, form: FormGroup, now: float) -> None:
    """Take the group's first members."""
    if not replica.members.voters:
        _take_form(replica, form.members, now)


def _take_form(replica: Replica, members: Members, now: float) -> None:
    replica.base = SnapshotTaken(0, 0, members, b'')
    take_members(replica)
    replica.role = Role.FOLLOWER
    replica.newcomers.clear()
    reset_election(replica, now)


def _settled(replica: Replica) -> bool:
    pending = replica.log[replica.commit - replica.base.index :]
    return not any(entry.members for entry in pending)


def _welcome(replica: Replica, now: float) -> Members | None:
    members = replica.members
    known = {*members.voters, *members.learners}
    for name, asked in replica.newcomers.values():
        if name not in known and now - asked < _NEWCOMER_AGE:
            stale = host_of(name)
            learners = tuple(
                other for other in members.learners if host_of(other) != stale
            )
            return Members(members.voters, (*learners, name))
    return None


def _remove_stale(replica: Replica) -> Members | None:
    voters = replica.members.voters
    newest: dict[str, str] = {}
    for name in voters:
        newest[host_of(name)] = name
    kept = tuple(name for name in voters if newest[host_of(name)] == name)
    return None if kept == voters else Members(kept, replica.members.learners)


def _voters_wanted(replica: Replica) -> int:
    members = replica.members
    hosts = {host_of(one) for one in (*members.voters, *members.learners)}
    return _FEW_VOTERS if len(hosts) < _MANY_VOTERS else _MANY_VOTERS


def _gone(replica: Replica, now: float) -> list[str]:
    """Return the voters that this leader has not heard for long."""
    return [
        name
        for name in replica.members.voters
        if name != replica.name and now - replica.peers[name].heard > _GONE
    ]


def _remove_gone(replica: Replica, now: float) -> Members | None:
    """Remove a voter that is gone, once others vote in its place."""
    members = replica.members
    gone = _gone(replica, now)
    wanted = _voters_wanted(replica)
    if (
        not replica.accepts_new_hosts
        or not gone
        or len(members.voters) <= wanted
    ):
        return None
    kept = tuple(one for one in members.voters if one != gone[0])
    return Members(kept, members.learners)


def _may_vote(replica: Replica, name: str, now: float) -> bool:
    """Tell whether a learner is to become a voter."""
    if not replica.accepts_new_hosts:
        return host_of(name) in replica.voter_hosts
    voters = replica.members.voters
    if now - replica.peers[name].heard > _LIVE:
        return False
    if host_of(name) in {host_of(one) for one in voters}:
        return True
    wanted = _voters_wanted(replica)
    lacking = len(voters) < wanted
    return lacking or (len(voters) == wanted and bool(_gone(replica, now)))


def _promote(replica: Replica, now: float) -> Members | None:
    members = replica.members
    for name in members.learners:
        peer = replica.peers.get(name)
        ready = peer is not None and peer.match >= replica.commit
        if ready and _may_vote(replica, name, now):
            learners = tuple(one for one in members.learners if one != name)
            return Members((*members.voters, name), learners)
    return None


def review(replica: Replica, now: float) -> None:
    """As the leader, take the next step of a replacement, if any."""
    if not _settled(replica):
        return
    change = (
        _remove_stale(replica)
        or _remove_gone(replica, now)
        or _promote(replica, now)
        or _welcome(replica, now)
    )
    if change is None:
        return
    propose(replica, b'', change)
    everyone = {*change.voters, *change.learners}
    for name in everyone - {replica.name} - set(replica.peers):
        peer = Peer(last_index(replica))
        peer.heard = now
        replica.peers[name] = peer
    for gone in set(replica.peers) - everyone:
        replica.peers.pop(gone)
    replica.newcomers = {
        host: (name, asked)
        for host, (name, asked) in replica.newcomers.items()
        if name not in everyone
    }
