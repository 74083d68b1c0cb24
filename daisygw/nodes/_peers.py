"""Links to the schedulers of the cell, and questions to their leader.

Questions may be repeated: a question that was on its way when the leader
changed is sent to the next one.
"""

import asyncio
import itertools
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

from daisygw.contracts import CellResponse, ResultCode, SchedulerList
from daisygw.links import log
from daisygw.links.processes import Link, LinkTiming, keep_connected, post

# How long a question waits for a leader to be in reach, s: the end of most
# elections; a caller is better told soon when to come back.
NO_LEADER_WAIT = 0.3
# A question that was passed on waits for so long for the next leader, s:
# two elections, because the first may be split, after the loss was noticed.
# The next leader knows the outcome, and a caller can do little without it.
UNKNOWN_WAIT = 1.5
# An election is over this long after the leader was heard last, s: the
# longest wait of a follower, and votes.  Without one a question is refused
# at once, because nothing tells when there will be a leader.
_ELECTION_OVER = 1.3
# When to come back while there is no leader, s: a host that restarts leads
# within this time, and callers wait for few seconds only.
_COME_BACK = 1.0

# A link is broken after several pulses that did not come.
_PULSE = 0.25
# A link that was silent this long is closed, s: nearly 5 pulses.
_SILENCE = 1.2
PACE = LinkTiming(_PULSE, _SILENCE)
# A question is passed on only over a link heard this lately, s: what went
# out over a link that is broken already can't be answered truthfully.
_FRESH = 0.7
# How often an open question looks for a leader, s.
_LOOK = 0.1


class _Question:
    """A question that is not answered yet."""

    def __init__(self, message: Any) -> None:
        self.message = message
        self.copies = 0
        self.fut = asyncio.get_running_loop().create_future()


class Peers:
    """The schedulers that a process knows, and its open questions."""

    def __init__(self, me: str, host: str, port: int) -> None:
        """Know nobody yet; ``me`` names this process to the others."""
        self.me = me
        self.host = host
        self.port = port
        self.links: dict[str, Link] = {}
        self.leader = ''
        self.term = 0
        self.led_until = float('-inf')
        self.numbers = itertools.count(1)
        self.open: dict[int, _Question] = {}
        self.decide_here: Callable[[Any], None] | None = None
        self.on_message: Callable[[Link, Any], None] = _ignore
        self.tasks: dict[str, asyncio.Task] = {}


def _ignore(link: Link, message: Any) -> None:
    """Take no message."""


def connect_to_hosts(peers: Peers, hosts: tuple[str, ...]) -> None:
    """Open links to schedulers that were not known."""
    for host in hosts:
        if host in peers.links or host == peers.host:
            continue
        link = Link(host)
        peers.links[host] = link
        connecting = keep_connected(
            link,
            peers.me,
            f'{host}:{peers.port}',
            peers.on_message,
            partial(_on_link, peers),
            PACE,
        )
        peers.tasks[host] = asyncio.ensure_future(connecting)


def _on_link(peers: Peers, link: Link) -> None:
    event = 'link up' if link.up else 'link lost'
    log(event, peer=link.peer, leader=peers.leader, term=peers.term)
    if link.up and link.peer == peers.leader:
        _send_open(peers)


def apply_scheduler_list(
    peers: Peers, roster: SchedulerList, source: str
) -> None:
    """Take news from ``source`` of who leads; ask it what is open."""
    connect_to_hosts(peers, roster.hosts)
    if source == peers.leader and roster.leader != source:
        peers.led_until = asyncio.get_running_loop().time()
        peers.leader = ''
    if roster.term < peers.term or not roster.leader:
        return
    changed = roster.leader != peers.leader
    peers.term = roster.term
    peers.leader = roster.leader
    if changed:
        log('leader', host=roster.leader, term=roster.term)
        _send_open(peers)


def _send_open(peers: Peers) -> None:
    for question in list(peers.open.values()):
        _send(peers, question)


def _send(peers: Peers, question: _Question) -> None:
    if peers.leader == peers.host and peers.decide_here:
        question.copies += 1
        peers.decide_here(question.message)
        return
    if _reaches_leader(peers):
        question.copies += 1
        post(peers.links[peers.leader], question.message)


def on_answer(peers: Peers, answer: CellResponse) -> None:
    """Take the leader's answer to a question."""
    question = peers.open.get(answer.seq)
    if question is None or question.fut.done():
        return
    if answer.code == ResultCode.NO_LEADER:
        question.copies -= 1
    else:
        question.fut.set_result(answer)


async def call_leader(
    peers: Peers,
    make: Callable[[int], Any],
    patience: float,
) -> CellResponse:
    """Ask the leader, for at most ``patience`` s.

    Without a leader in reach the answer is NO_LEADER (not passed on); if
    none comes after it was passed on, OUTCOME_UNKNOWN.
    """
    seq = next(peers.numbers)
    question = _Question(make(seq))
    peers.open[seq] = question
    _send(peers, question)
    try:
        return await _wait_for(peers, question, seq, patience)
    finally:
        peers.open.pop(seq)


def leader_last_heard(peers: Peers) -> float:
    """Return when the leader was heard last, on the loop's clock (s)."""
    link = peers.links.get(peers.leader)
    return max(link.heard, peers.led_until) if link else peers.led_until


def _reaches_leader(peers: Peers) -> bool:
    """Tell whether the leader was heard lately."""
    if peers.leader == peers.host and peers.decide_here:
        return True
    link = peers.links.get(peers.leader)
    now = asyncio.get_running_loop().time()
    return link is not None and link.up and now - link.heard < _FRESH


async def _wait_for(
    peers: Peers,
    question: _Question,
    seq: int,
    patience: float,
) -> CellResponse:
    loop = asyncio.get_running_loop()
    reached = loop.time()
    until = reached + patience
    while not question.fut.done() and loop.time() < until:
        if _reaches_leader(peers):
            reached = loop.time()
        elif loop.time() - reached >= _longest_wait(peers, question):
            break
        if not question.copies:
            _send(peers, question)
        left = max(until - loop.time(), 0)
        await asyncio.wait([question.fut], timeout=min(_LOOK, left))
    if question.fut.done():
        return question.fut.result()
    return _no_answer(question, seq)


def _longest_wait(peers: Peers, question: _Question) -> float:
    """Return how long a question waits for a leader in reach (s)."""
    if question.copies:
        return UNKNOWN_WAIT
    lost_for = asyncio.get_running_loop().time() - leader_last_heard(peers)
    return NO_LEADER_WAIT if lost_for < _ELECTION_OVER else 0


def _no_answer(question: _Question, seq: int) -> CellResponse:
    known = ResultCode.OUTCOME_UNKNOWN
    code = known if question.copies else ResultCode.NO_LEADER
    return CellResponse(seq, code, retry_after=_COME_BACK)


@asynccontextmanager
async def linked(
    peers: Peers,
    hosts: tuple[str, ...],
    on_message: Callable[[Link, Any], None],
) -> AsyncGenerator[None, None]:
    """Hold links to all schedulers known while the body runs."""
    peers.on_message = on_message
    connect_to_hosts(peers, hosts)
    try:
        yield
    finally:
        for task in peers.tasks.values():
            task.cancel()
        await asyncio.gather(*peers.tasks.values(), return_exceptions=True)
