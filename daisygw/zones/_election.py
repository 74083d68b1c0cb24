"""Elections: pre-vote, vote, and when a leader gives up.

A replica that has heard a leader lately grants no vote, so a returning
replica unseats nobody; a leader that no majority answers steps down.
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
    add_entries,
    is_voter,
    last_index,
    majority,
    reset_election,
    send,
    step_down,
    term_at,
)


def _others(replica: Replica) -> list[str]:
    return [name for name in replica.members.voters if name != replica.name]


def _ask(replica: Replica, *, trial: bool, handover: bool) -> None:
    last = last_index(replica)
    term = replica.term + 1 if trial else replica.term
    for name in _others(replica):
        request = VoteRequest(
            replica.group,
            replica.name,
            name,
            term,
            last,
            term_at(replica, last),
            trial,
            handover,
        )
        send(replica, request)


def _become_candidate(
    replica: Replica, now: float, *, handover: bool = False
) -> None:
    replica.term += 1
    replica.vote = replica.name
    replica.role = Role.CANDIDATE
    replica.leader = ''
    replica.trial = False
    replica.votes = {replica.name}
    _ask(replica, trial=False, handover=handover)
    _count(replica, now)


def campaign(replica: Replica, now: float) -> None:
    """Ask for trial votes; only a majority of them leads to an election."""
    reset_election(replica, now)
    if not is_voter(replica):
        return
    replica.role = Role.CANDIDATE
    replica.leader = ''
    replica.trial = True
    replica.votes = {replica.name}
    _ask(replica, trial=True, handover=False)
    _count(replica, now)


def _count(replica: Replica, now: float) -> None:
    granted = replica.votes & set(replica.members.voters)
    if len(granted) < majority(replica.members):
        return
    if replica.trial:
        _become_candidate(replica, now)
    else:
        _lead(replica, now)


def _lead(replica: Replica, now: float) -> None:
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
    add_entries(replica, (first,))
    replica.heartbeat_due = now
    replica.effects.append(Elected(replica.term))


def _heard_lately(replica: Replica, now: float) -> bool:
    if replica.role is Role.LEADER:
        return now < lease_end(replica)
    return now - replica.heard < replica.timing.election


def _up_to_date(replica: Replica, request: VoteRequest) -> bool:
    last = last_index(replica)
    mine = (term_at(replica, last), last)
    return (request.last_term, request.last_index) >= mine


def _grants(replica: Replica, request: VoteRequest, now: float) -> bool:
    if request.term < replica.term or not _up_to_date(replica, request):
        return False
    if request.trial:
        return not _heard_lately(replica, now)
    return replica.vote in {'', request.sender}


def on_vote_request(
    replica: Replica,
    request: VoteRequest,
    now: float,
) -> None:
    """Answer a request for a vote."""
    guarded = _heard_lately(replica, now) and not request.handover
    if guarded and request.sender != replica.leader:
        granted = False
    else:
        if not request.trial and request.term > replica.term:
            step_down(replica, request.term, now)
        granted = _grants(replica, request, now)
    if granted and not request.trial:
        replica.vote = request.sender
        reset_election(replica, now)
    reply = VoteReply(
        replica.group,
        replica.name,
        request.sender,
        request.term if granted else replica.term,
        request.trial,
        granted,
    )
    send(replica, reply)


def on_vote_reply(replica: Replica, reply: VoteReply, now: float) -> None:
    """Count a vote."""
    if not reply.granted and reply.term > replica.term:
        step_down(replica, reply.term, now)
        return
    asked = replica.term + 1 if reply.trial else replica.term
    awaited = replica.role is Role.CANDIDATE and reply.trial == replica.trial
    if awaited and reply.granted and reply.term == asked:
        replica.votes.add(reply.sender)
        _count(replica, now)


def on_take_over(replica: Replica, order: TimeoutNow, now: float) -> None:
    """Stand at once, because the leader asks for it."""
    if order.term == replica.term and is_voter(replica):
        _become_candidate(replica, now, handover=True)


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
    stamps = sorted(
        (
            replica.peers[name].acked
            for name in _others(replica)
            if name in replica.peers
        ),
        reverse=True,
    )
    if len(stamps) < needed:
        return float('-inf')
    span = replica.timing.election * (1 - replica.timing.drift)
    return stamps[needed - 1] + span


def check_quorum(replica: Replica, now: float) -> None:
    """Step down where no majority has answered for an election time."""
    recent = sum(
        now - replica.peers[name].heard < 2 * replica.timing.election
        for name in _others(replica)
        if name in replica.peers
    )
    if recent + int(is_voter(replica)) < majority(replica.members):
        step_down(replica, replica.term, now)


def hand_over(replica: Replica, now: float) -> None:
    """From the tie-breaker: let a home replica that caught up lead."""
    if replica.is_tie_breaker:
        transfer_leadership(replica, now)


def transfer_leadership(replica: Replica, now: float, behind: int = 0) -> None:
    """As the leader, let a voter lead that lacks ``behind`` entries at most.

    It steps down first, so that its own lease is over before another leads.
    """
    wanted = last_index(replica) - behind
    for name in _others(replica):
        peer = replica.peers.get(name)
        near = peer and now - peer.heard < replica.timing.election
        if near and peer.match >= wanted:
            order = TimeoutNow(replica.group, replica.name, name, replica.term)
            step_down(replica, replica.term, now)
            send(replica, order)
            return


def holds_leader_lease(replica: Replica, now: float) -> bool:
    """Tell whether this replica surely is the only leader now."""
    return replica.role is Role.LEADER and now < lease_end(replica)
