"""Elections: pre-vote, vote, and when a leader gives up.

A replica that has heard a leader lately grants no vote, so a returning
replica unseats nobody; a leader that no majority answers steps down.
"""

from daisygw.zones._messages import (
    Elected,
    LogEntry,
    TakeOver,
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
    """Ask for trial votes; only a majority of them leads to an election."""
    reset_election_timer(replica, now)
    if not is_voter(replica):
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
    following = last_index(replica) + 1
    everyone = (*replica.members.voters, *replica.members.learners)
    replica.peers = {
        name: Peer(following) for name in everyone if name != replica.name
    }
    for peer in replica.peers.values():
        peer.heard = now
    first = LogEntry(following, replica.term, b'', replica.members)
    append_entries(replica, (first,))
    replica.heartbeat_due = now
    replica.effects.append(Elected(replica.term))


def _has_live_leader(replica: Replica, now: float) -> bool:
    if replica.role is Role.LEADER:
        return now < lease_end(replica)
    return now - replica.heard < replica.timing.election


def _up_to_date(replica: Replica, request: VoteRequest) -> bool:
    last = last_index(replica)
    mine = (term_at(replica, last), last)
    return (request.last_term, request.last_index) >= mine


def _should_grant(replica: Replica, request: VoteRequest, now: float) -> bool:
    if request.term < replica.term or not _up_to_date(replica, request):
        return False
    if request.pre_vote:
        return not _has_live_leader(replica, now)
    return replica.vote in {'', request.sender}


def on_vote_request(
    replica: Replica,
    request: VoteRequest,
    now: float,
) -> None:
    """Answer a request for a vote."""
    guarded = _has_live_leader(replica, now) and not request.transfer
    if guarded and request.sender != replica.leader:
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
    """Count a vote."""
    if not reply.granted and reply.term > replica.term:
        step_down(replica, reply.term, now)
        return
    asked = replica.term + 1 if reply.pre_vote else replica.term
    awaited = (
        replica.role is Role.CANDIDATE and reply.pre_vote == replica.pre_vote
    )
    if awaited and reply.granted and reply.term == asked:
        replica.votes.add(reply.sender)
        _count_votes(replica, now)


def on_take_over(replica: Replica, order: TakeOver, now: float) -> None:
    """Stand at once, because the leader asks for it."""
    if order.term == replica.term and is_voter(replica):
        _become_candidate(replica, now, transfer=True)


def lease_end(replica: Replica) -> float:
    """Return until when (own clock) no other replica can lead.

    It counts from the moment a majority's newest acknowledged message was
    sent, less the drift that clocks may have.
    """
    if replica.role is not Role.LEADER:
        return float('-inf')
    needed = majority(replica.members) - int(is_voter(replica))
    if needed <= 0:
        return float('inf')
    sent_times = sorted(
        (
            replica.peers[name].acked_sent_at
            for name in _other_voters(replica)
            if name in replica.peers
        ),
        reverse=True,
    )
    if len(sent_times) < needed:
        return float('-inf')
    span = replica.timing.election * (1 - replica.timing.drift)
    return sent_times[needed - 1] + span


def check_quorum(replica: Replica, now: float) -> None:
    """Step down where no majority has answered for an election time."""
    recent = sum(
        now - replica.peers[name].heard < 2 * replica.timing.election
        for name in _other_voters(replica)
        if name in replica.peers
    )
    if recent + int(is_voter(replica)) < majority(replica.members):
        step_down(replica, replica.term, now)


def return_leadership(replica: Replica, now: float) -> None:
    """From the tie-breaker: let a home replica that caught up lead."""
    if replica.away:
        resign(replica, now)


def resign(replica: Replica, now: float, behind: int = 0) -> None:
    """As the leader, let a voter lead that lacks ``behind`` entries at most.

    It steps down first, so that its own lease is over before another leads.
    """
    wanted = last_index(replica) - behind
    for name in _other_voters(replica):
        peer = replica.peers.get(name)
        near = peer and now - peer.heard < replica.timing.election
        if near and peer.match >= wanted:
            order = TakeOver(replica.group, replica.name, name, replica.term)
            step_down(replica, replica.term, now)
            send(replica, order)
            return


def has_authority(replica: Replica, now: float) -> bool:
    """Tell whether this replica surely is the only leader now."""
    return replica.role is Role.LEADER and now < lease_end(replica)
