"""Links to the cell's schedulers, and requests to their leader.

Requests are idempotent: one that is unanswered when the leader changes is
sent again to the new leader.
"""

import asyncio
import itertools
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

from daisygw.contracts import (
    CellResponse,
    RequestLimits,
    ResultCode,
    SchedulerList,
)
from daisygw.links import codec, log
from daisygw.links.processes import (
    Link,
    LinkTiming,
    keep_connected,
    post,
    set_idle,
)
from daisygw.nodes import _clock

# How long an unsent request waits for a reachable leader.  Most elections
# finish in this time; beyond it, callers are better served by a prompt
# refusal that says when to retry.
NO_LEADER_WAIT_S = 0.3
# How long a request that was sent waits for the next leader: two elections,
# because the first may end in a split vote, after the loss is detected.  The
# new leader knows the outcome, and a caller can do little without it.
SENT_REQUEST_WAIT_S = 1.5
# Longest time from the last message of a leader to the end of the election
# that follows: a follower's longest timeout plus voting.  After that, a
# request is refused at once, because nothing tells when a leader will be
# elected.
_MAX_ELECTION_S = 1.3
# Retry delay given to callers while there is no leader: a restarted host
# leads within this time, and callers wait for a few seconds only.
_RETRY_AFTER_S = 1.0

# Interval of heartbeats on a link, which breaks after several missed ones.
_HEARTBEAT_INTERVAL_S = 0.25
# A link without messages for this long is closed: nearly 5 heartbeats.
_LINK_TIMEOUT_S = 1.2
# The same for links between an entry and a scheduler that does not lead.  The
# interval is shorter than the usual timeout, as one end may know of a new
# leader before the other.
_IDLE_INTERVAL_S = 0.8
_IDLE_TIMEOUT_S = 2.5
LINK_TIMING = LinkTiming(
    _HEARTBEAT_INTERVAL_S, _LINK_TIMEOUT_S, _IDLE_INTERVAL_S, _IDLE_TIMEOUT_S
)
# A request is sent only over a link that received something this recently:
# the outcome of one sent over a link that is already broken stays unknown.
_LEADER_MAX_SILENCE_S = 0.7
_US_PER_S = 1_000_000
# How often a pending request checks for a reachable leader.
_POLL_INTERVAL_S = 0.1


class _PendingRequest:
    """A request that is not answered yet.

    ``times_sent`` counts the copies sent, except those answered NO_LEADER.
    """

    def __init__(self, message: Any) -> None:
        self.message = message
        self.times_sent = 0
        self.fut = asyncio.get_running_loop().create_future()


class Peers:
    """Links to the known schedulers, and the pending requests.

    ``open`` has the pending requests by correlation id; ids begin at the start
    time (us), as a response may come for a request of an earlier process of
    the same name.  A scheduler sets
    ``handle_locally``, which handles requests while this process leads.
    ``leader_left_at`` is the loop time (s) when a leader last said that it no
    longer leads.  ``answer_by`` is the loop time (s) at which all pending
    requests are given up, because this process ends soon.  ``limits`` are those
    of the newest configuration that a scheduler has reported.
    """

    def __init__(self, own_name: str, host: str, port: int) -> None:
        """Create the state without links.

        ``own_name`` identifies this process to its peers; schedulers listen
        at ``port``.
        """
        self.own_name = own_name
        self.host = host
        self.port = port
        self.links: dict[str, Link] = {}
        self.leader = ''
        self.limits: RequestLimits | None = None
        self.term = 0
        self.leader_left_at = float('-inf')
        self.answer_by = float('inf')
        # A restarted process must not take an answer to its predecessor for
        # one to a request of its own.
        self.seq_numbers = itertools.count(int(_clock.wall() * _US_PER_S))
        self.open: dict[int, _PendingRequest] = {}
        self.handle_locally: Callable[[Any], None] | None = None
        self.on_message: Callable[[Link, Any], None] = _ignore_message
        self.tasks: dict[str, asyncio.Task] = {}


def _ignore_message(link: Link, message: Any) -> None:
    """Ignore a message."""


def connect_to_hosts(peers: Peers, hosts: tuple[str, ...]) -> None:
    """Open links to the hosts that have none yet."""
    for host in hosts:
        if host in peers.links or host == peers.host:
            continue
        link = Link(host)
        peers.links[host] = link
        connecting = keep_connected(
            link,
            peers.own_name,
            f'{host}:{peers.port}',
            peers.on_message,
            partial(_on_link_change, peers),
            LINK_TIMING,
        )
        peers.tasks[host] = asyncio.ensure_future(connecting)


def _on_link_change(peers: Peers, link: Link) -> None:
    _update_idle_links(peers)
    event = 'link up' if link.up else 'link lost'
    log(event, peer=link.peer, leader=peers.leader, term=peers.term)
    if link.up and link.peer == peers.leader:
        _send_pending(peers)


def apply_scheduler_list(
    peers: Peers, scheduler_list: SchedulerList, source: str
) -> None:
    """Apply a scheduler list received from ``source``.

    Connects to new hosts.  Only the leader itself can report that there is no
    leader any more; a leader of an earlier term is ignored.  Pending requests
    are sent to a new leader at once.
    """
    connect_to_hosts(peers, scheduler_list.hosts)
    _apply_limits(peers, scheduler_list.limits)
    if source == peers.leader and scheduler_list.leader != source:
        peers.leader_left_at = asyncio.get_running_loop().time()
        peers.leader = ''
        _update_idle_links(peers)
    if scheduler_list.term < peers.term or not scheduler_list.leader:
        return
    changed = scheduler_list.leader != peers.leader
    peers.term = scheduler_list.term
    peers.leader = scheduler_list.leader
    if changed:
        _update_idle_links(peers)
        log('leader', host=scheduler_list.leader, term=scheduler_list.term)
        _send_pending(peers)


def _apply_limits(peers: Peers, limits: RequestLimits | None) -> None:
    """Apply limits, unless they are of an older configuration."""
    if limits is None:
        return
    if peers.limits is None or limits.version > peers.limits.version:
        peers.limits = limits


def _update_idle_links(peers: Peers) -> None:
    """Keep only the leader's link busy, if this process has no replica."""
    if peers.handle_locally is None:
        for host, link in peers.links.items():
            set_idle(link, idle=bool(peers.leader) and host != peers.leader)


def _send_pending(peers: Peers) -> None:
    for request in list(peers.open.values()):
        _send(peers, request)


def _send(peers: Peers, request: _PendingRequest) -> None:
    if peers.leader == peers.host and peers.handle_locally:
        request.times_sent += 1
        peers.handle_locally(request.message)
        return
    if _is_leader_reachable(peers):
        request.times_sent += 1
        post(peers.links[peers.leader], request.message)


def on_response(peers: Peers, answer: CellResponse) -> None:
    """Complete the pending request that ``answer`` belongs to.

    A scheduler that does not lead answers NO_LEADER.  That copy then counts
    as not sent; without another one, the request is sent again once a leader
    is reachable.
    """
    request = peers.open.get(answer.seq)
    if request is None or request.fut.done():
        return
    if answer.code == ResultCode.NO_LEADER:
        request.times_sent -= 1
    else:
        request.fut.set_result(answer)


async def call_leader(
    peers: Peers,
    make_request: Callable[[int], Any],
    patience: float,
) -> CellResponse:
    """Send a request to the leader and return its response.

    ``make_request`` builds the message from a correlation id; ``patience`` is
    the timeout (s).  Without a response the code is NO_LEADER if no leader
    can have received the request, and OUTCOME_UNKNOWN otherwise.  Raises
    ``ContractError`` (NOT_STORABLE) for a request that has no encoding.
    """
    seq = next(peers.seq_numbers)
    request = _PendingRequest(make_request(seq))
    codec.check_storable(request.message)
    peers.open[seq] = request
    _send(peers, request)
    try:
        return await _wait_for_response(peers, request, seq, patience)
    finally:
        peers.open.pop(seq)


def leader_last_known(peers: Peers) -> float:
    """Return the loop time (s) when a leader was last known to lead.

    This is when the current leader last sent anything, or when an earlier one
    said that it no longer leads, whichever is later.
    """
    link = peers.links.get(peers.leader)
    return (
        max(link.heard, peers.leader_left_at) if link else peers.leader_left_at
    )


def _is_leader_reachable(peers: Peers) -> bool:
    """Return whether the leader is this process or was heard recently."""
    if peers.leader == peers.host and peers.handle_locally:
        return True
    link = peers.links.get(peers.leader)
    now = asyncio.get_running_loop().time()
    return (
        link is not None
        and link.up
        and now - link.heard < _LEADER_MAX_SILENCE_S
    )


async def _wait_for_response(
    peers: Peers,
    request: _PendingRequest,
    seq: int,
    patience: float,
) -> CellResponse:
    loop = asyncio.get_running_loop()
    last_reachable = loop.time()
    until = last_reachable + patience
    while not request.fut.done() and _time_left(peers, until) > 0:
        if _is_leader_reachable(peers):
            last_reachable = loop.time()
        elif loop.time() - last_reachable >= _max_leader_wait(peers, request):
            break
        if not request.times_sent:
            _send(peers, request)
        timeout = min(_POLL_INTERVAL_S, _time_left(peers, until))
        await asyncio.wait([request.fut], timeout=timeout)
    if request.fut.done():
        return request.fut.result()
    return _failure_response(request, seq)


def _time_left(peers: Peers, until: float) -> float:
    """Return how long a request may still wait for its response (s)."""
    now = asyncio.get_running_loop().time()
    return max(min(until, peers.answer_by) - now, 0)


def _max_leader_wait(peers: Peers, request: _PendingRequest) -> float:
    """Return how long a request waits for a reachable leader (s).

    An unsent one does not wait once an election should have ended.
    """
    if request.times_sent:
        return SENT_REQUEST_WAIT_S
    silent_for = asyncio.get_running_loop().time() - leader_last_known(peers)
    return NO_LEADER_WAIT_S if silent_for < _MAX_ELECTION_S else 0


def _failure_response(request: _PendingRequest, seq: int) -> CellResponse:
    unknown = ResultCode.OUTCOME_UNKNOWN
    code = unknown if request.times_sent else ResultCode.NO_LEADER
    return CellResponse(seq, code, retry_after=_RETRY_AFTER_S)


@asynccontextmanager
async def connected_to_peers(
    peers: Peers,
    hosts: tuple[str, ...],
    on_message: Callable[[Link, Any], None],
) -> AsyncGenerator[None, None]:
    """Keep links to all known schedulers open within the context."""
    peers.on_message = on_message
    connect_to_hosts(peers, hosts)
    try:
        yield
    finally:
        for task in peers.tasks.values():
            task.cancel()
        await asyncio.gather(*peers.tasks.values(), return_exceptions=True)
