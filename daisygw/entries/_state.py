"""The state of an entry process, and its questions to the leaders."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Any

import aiohttp
import xxhash

from daisygw.contracts import (
    Configuration,
    Contract,
    LeaderStatus,
    Query,
    ResultCode,
    SchedulerResponse,
    SelectGroup,
    TaskKey,
    TaskStartOrder,
    home_domain,
)
from daisygw.links.processes import Link, post
from daisygw.settings import Settings, configuration_of

# A question without an answer is asked again after this, s: an election takes
# 0.5 to 1.
_ASK_AGAIN = 1.0
# How often a leader is looked for while none is known, s.
_LOOK_AGAIN = 0.05
# Longest wait for a view, s: an election and a repeat.
VIEW_WAIT = 2.0


@dataclass(frozen=True, slots=True)
class AnswerAt:
    """Where a target keeps the answer of an attempt."""

    key: TaskKey
    attempt: int
    address: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one task ended: a code, and its answer or where to get it."""

    index: int
    attempt: int
    code: int
    body: bytes | None = None
    at: AnswerAt | None = None


class Driven:
    """A job that this entry carries out for its callers."""

    def __init__(self, contract: Contract, body: bytes) -> None:
        """Begin with no outcome; ``body`` goes to each task's target."""
        self.contract = contract
        self.body = body
        self.outcomes: dict[int, Outcome] = {}
        self.runs: dict[int, tuple[TaskStartOrder, asyncio.Task]] = {}
        self.changed = asyncio.Event()
        self.callers = 0
        self.submitted: asyncio.Future[SchedulerResponse] | None = None


class Entry:
    """The state of one entry process."""

    def __init__(self, settings: Settings, host: str) -> None:
        """Begin unconnected, as the host called ``host``."""
        self.boot = settings
        self.host = host
        self.domain = settings.hosts[host].domain
        self.domains = tuple(sorted(settings.domains))
        self.cfg: Configuration = configuration_of(settings, 0)
        self.links: dict[str, Link] = {}
        self.leaders: dict[str, LeaderStatus] = {}
        self.driven: dict[str, Driven] = {}
        self.asked: dict[int, asyncio.Future[SchedulerResponse]] = {}
        self.announced: dict[tuple[str, str, int], asyncio.Future] = {}
        self.numbers = count(1)
        self.http: aiohttp.ClientSession | None = None
        self.configured = False
        self.stopping = False
        self.stopped = asyncio.Event()
        self.in_progress = 0
        self.answered = 0
        self.refused = 0
        self.background_tasks: set[asyncio.Task] = set()


def _digest(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode('utf-8'))


def home(entry: Entry, request_id: str) -> str:
    """Return the home failure domain of a request id."""
    return home_domain(request_id, entry.domains, _digest)


def leader_link(entry: Entry, group: str) -> Link | None:
    """Return the link to a group's leader, if one is known and up."""
    news = entry.leaders.get(group)
    link = entry.links.get(news.host) if news else None
    return link if link and link.up else None


def post_to_group(link: Link, group: str, message: Any) -> None:
    """Send a message that concerns one group."""
    if link.current_group != group:
        post(link, SelectGroup(group))
        link.current_group = group
    post(link, message)


def send_to_leader(entry: Entry, group: str, message: Any) -> bool:
    """Send a message to a group's leader, if there is one in reach."""
    link = leader_link(entry, group)
    if link is None:
        return False
    post_to_group(link, group, message)
    return True


async def call_leader(
    entry: Entry,
    group: str,
    make: Callable[[int], Any],
    patience: float,
) -> tuple[SchedulerResponse | None, bool]:
    """Ask a group's leader until it answers or ``patience`` (s) is over.

    An answer to any sending of the question will do.  Returns the answer,
    and whether the question was ever passed on.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + patience
    fut = loop.create_future()
    passed_on = False
    seqs = []
    while not fut.done() and loop.time() < until:
        seqs.append(next(entry.numbers))
        entry.asked[seqs[-1]] = fut
        sent = send_to_leader(entry, group, make(seqs[-1]))
        passed_on = passed_on or sent
        await asyncio.wait([fut], timeout=_ASK_AGAIN if sent else _LOOK_AGAIN)
    for seq in seqs:
        entry.asked.pop(seq, None)
    return (fut.result() if fut.done() else None), passed_on


def in_background(entry: Entry, work: Any) -> asyncio.Task:
    """Run a coroutine that nobody waits for; keep hold of it meanwhile."""
    task = asyncio.ensure_future(work)
    entry.background_tasks.add(task)
    task.add_done_callback(entry.background_tasks.discard)
    return task


def unanswered(*, passed_on: bool, minted: bool) -> tuple[ResultCode, str]:
    """Return the honest code for a submission that got no answer."""
    if passed_on:
        reason = 'it was passed on, and no answer came; ask again by its id'
        return ResultCode.OUTCOME_UNKNOWN, reason
    if minted:
        reason = 'no leader could be reached; it was not passed on'
        return ResultCode.NO_LEADER, reason
    reason = (
        'its home could not be reached: this submission was not passed on, '
        'an earlier one of the same id may have been'
    )
    return ResultCode.HOME_UNREACHABLE, reason


async def ask_view(
    entry: Entry,
    group: str,
    view: str,
    name: str = '',
    wait: float = VIEW_WAIT,
) -> SchedulerResponse | None:
    """Ask a group's leader for a view; None where none answered in time."""
    answer, _ = await call_leader(
        entry,
        group,
        lambda seq: Query(seq, view, name),
        wait,
    )
    return answer
