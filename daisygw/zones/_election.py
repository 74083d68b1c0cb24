"""Elections: pre-vote, vote, leader lease and leadership transfer.

A replica that has recently heard from a leader grants no vote, so a replica
that returns after a partition does not depose a working leader.  A leader
that gets no replies from a majority steps down.
"""

from daisygw.zones._messages import (
    Elected,
    LogEntry,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from daisygw.zones._replica import (
    Peer,
    Replica,
    Role,
    append_entries,
    is_voter,
    last_index,
    majority,
    reset_election_timer,
    send,
    step_down,
    term_at,
)


def _other_voters(replica: Replica) -> list[str]:
    return [name for name in replica.members.voters if name != replica.name]


def _request_votes(replica: Replica, *, pre_vote: bool, transfer: bool) -> None:
    last = last_index(replica)
    term = replica.term + 1 if pre_vote else replica.term
    for name in _other_voters(replica):
        request = VoteRequest(
            replica.group,
            replica.name,
            name,
            term,
            last,
            term_at(replica, last),
            pre_vote,
            transfer,
        )
        send(replica, request)


def _become_candidate(
    replica: Replica, now: float, *, transfer: bool = False
) -> None:
    replica.term += 1
    replica.vote = replica.name
    replica.role = Role.CANDIDATE
    replica.leader = ''
    replica.pre_vote = False
    replica.votes = {replica.name}
    _request_votes(replica, pre_vote=False, transfer=transfer)
    _count_votes(replica, now)


def start_pre_vote(replica: Replica, now: float) -> None:
    """Start a pre-vote; an election follows only if a majority grants it."""
    reset_election_timer(replica, now)
    if not is_voter(replica) or replica.snapshots.unreadable:
        return
    replica.role = Role.CANDIDATE
    replica.leader = ''
    replica.pre_vote = True
    replica.votes = {replica.name}
    _request_votes(replica, pre_vote=True, transfer=False)
    _count_votes(replica, now)


def _count_votes(replica: Replica, now: float) -> None:
    granted = replica.votes & set(replica.members.voters)
    if len(granted) < majority(replica.members):
        return
    if replica.pre_vote:
        _become_candidate(replica, now)
    else:
        _become_leader(replica, now)


def _become_leader(replica: Replica, now: float) -> None:
    replica.role = Role.LEADER
    replica.leader = replica.name
    next_index = last_index(replica) + 1
    all_members = (*replica.members.voters, *replica.members.learners)
    replica.peers = {
        name: Peer(next_index) for name in all_members if name != replica.name
    }
    for peer in replica.peers.values():
        peer.heard = now
    first = LogEntry(next_index, replica.term, b'', replica.members)
    append_entries(replica, (first,))
    replica.heartbeat_due = now
    replica.effects.append(Elected(replica.term))


def _has_live_leader(replica: Replica, now: float) -> bool:
    if replica.role is Role.LEADER:
        return now < lease_end(replica)
    return now - replica.heard < replica.timing.election


def _is_log_up_to_date(replica: Replica, request: VoteRequest) -> bool:
    last = last_index(replica)
    own_last = (term_at(replica, last), last)
    return (request.last_term, request.last_index) >= own_last


def _should_grant(replica: Replica, request: VoteRequest, now: float) -> bool:
    if request.term < replica.term or not _is_log_up_to_date(replica, request):
        return False
    if request.pre_vote:
        return not _has_live_leader(replica, now)
    return replica.vote in {'', request.sender}


def on_vote_request(
    replica: Replica,
    request: VoteRequest,
    now: float,
) -> None:
    """Grant or deny a vote."""
    has_live_leader = _has_live_leader(replica, now) and not request.transfer
    if has_live_leader and request.sender != replica.leader:
        granted = False
    else:
        if not request.pre_vote and request.term > replica.term:
            step_down(replica, request.term, now)
        granted = _should_grant(replica, request, now)
    if granted and not request.pre_vote:
        replica.vote = request.sender
        reset_election_timer(replica, now)
    reply = VoteReply(
        replica.group,
        replica.name,
        request.sender,
        request.term if granted else replica.term,
        request.pre_vote,
        granted,
    )
    send(replica, reply)


def on_vote_reply(replica: Replica, reply: VoteReply, now: float) -> None:
    """Count a granted vote; step down if the voter has a newer term."""
    if not reply.granted and reply.term > replica.term:
        step_down(replica, reply.term, now)
        return
    expected_term = replica.term + 1 if reply.pre_vote else replica.term
    is_pending = (
        replica.role is Role.CANDIDATE and reply.pre_vote == replica.pre_vote
    )
    if is_pending and reply.granted and reply.term == expected_term:
        replica.votes.add(reply.sender)
        _count_votes(replica, now)


def on_timeout_now(replica: Replica, request: TimeoutNow, now: float) -> None:
    """Start an election at once, as the leader asks for it."""
    if request.term == replica.term and is_voter(replica):
        _become_candidate(replica, now, transfer=True)


def lease_end(replica: Replica) -> float:
    """Return the end of the leader lease, on this replica's clock (s).

    No other replica can be elected before.  The lease is one election time,
    less the clock drift allowed for; it starts when the newest message that
    a majority has acknowledged was sent.  It is -inf for a replica that does
    not lead, and inf for the only voter.
    """
    if replica.role is not Role.LEADER:
        return float('-inf')
    needed_replies = majority(replica.members) - int(is_voter(replica))
    if needed_replies <= 0:
        return float('inf')
    sent_times = sorted(
        (
            replica.peers[name].acked_sent_at
            for name in _other_voters(replica)
            if name in replica.peers
        ),
        reverse=True,
    )
    if len(sent_times) < needed_replies:
        return float('-inf')
    lease = replica.timing.election * (1 - replica.timing.drift)
    return sent_times[needed_replies - 1] + lease


def check_quorum(replica: Replica, now: float) -> None:
    """Step down if no majority has replied for two election times."""
    recent = sum(
        now - replica.peers[name].heard < 2 * replica.timing.election
        for name in _other_voters(replica)
        if name in replica.peers
    )
    if recent + int(is_voter(replica)) < majority(replica.members):
        step_down(replica, replica.term, now)


def return_leadership(replica: Replica, now: float) -> None:
    """As the tie-breaker, transfer leadership to one of the domain's hosts."""
    if replica.is_tie_breaker:
        transfer_leadership(replica, now)


def transfer_leadership(replica: Replica, now: float, behind: int = 0) -> None:
    """Transfer leadership to a voter that lacks at most ``behind`` entries.

    The leader steps down first, so that it no longer relies on its lease when
    the other one is elected.  Without such a voter nothing happens.
    """
    min_match = last_index(replica) - behind
    for name in _other_voters(replica):
        peer = replica.peers.get(name)
        is_live = peer and now - peer.heard < replica.timing.election
        if is_live and peer.match >= min_match:
            request = TimeoutNow(
                replica.group, replica.name, name, replica.term
            )
            step_down(replica, replica.term, now)
            send(replica, request)
            return


def holds_leader_lease(replica: Replica, now: float) -> bool:
    """Tell whether this replica is certainly the only leader now."""
    return replica.role is Role.LEADER and now < lease_end(replica)
