"""The state of an entry process, and its requests to group leaders."""

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
from daisygw.links import codec
from daisygw.links.processes import Link, post
from daisygw.settings import Settings, configuration_of

# A request that got no response is sent again after this time; an election
# takes 0.5 to 1 s.
_RESEND_INTERVAL_S = 1.0
# How often to check for a leader while none can be reached.
_LEADER_POLL_INTERVAL_S = 0.05
# Time to wait for a view: an election and one resend.
VIEW_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class AnswerLocation:
    """Identifies an attempt's answer and the target that stores it."""

    key: TaskKey
    attempt: int
    address: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one task ended: result code, and its answer or its location."""

    index: int
    attempt: int
    code: int
    body: bytes | None = None
    at: AnswerLocation | None = None


class DrivenJob:
    """A job whose attempts this entry starts on targets for its callers.

    ``outcomes`` and ``runs`` (attempts in progress) are by task index;
    ``changed`` is set, and replaced, with every outcome; ``submission`` is
    the response of the home domain.
    """

    def __init__(self, contract: Contract, body: bytes) -> None:
        """Start without outcomes; ``body`` is sent with every attempt."""
        self.contract = contract
        self.body = body
        self.outcomes: dict[int, Outcome] = {}
        self.runs: dict[int, tuple[TaskStartOrder, asyncio.Task]] = {}
        self.changed = asyncio.Event()
        self.caller_count = 0
        self.submission: asyncio.Future[SchedulerResponse] | None = None


class Entry:
    """The state of one entry process.

    ``cfg`` is the configuration in force, once ``configured``; ``asked`` has
    the futures of pending requests by correlation id, ``announced`` those of
    announcements by target name, incarnation and number.  ``leaders`` has the
    leader of each group, ``driven`` the jobs that it drives by request id.
    """

    def __init__(self, settings: Settings, host: str) -> None:
        """Create the state for the entry on ``host``, without links."""
        self.boot_settings = settings
        self.host = host
        self.domain = settings.hosts[host].domain
        self.domains = tuple(sorted(settings.domains))
        self.cfg: Configuration = configuration_of(settings, 0)
        self.links: dict[str, Link] = {}
        self.leaders: dict[str, LeaderStatus] = {}
        self.driven: dict[str, DrivenJob] = {}
        self.asked: dict[int, asyncio.Future[SchedulerResponse]] = {}
        self.announced: dict[tuple[str, str, int], asyncio.Future] = {}
        self.seq_numbers = count(1)
        self.http_session: aiohttp.ClientSession | None = None
        self.configured = False
        self.stopping = False
        self.stopped = asyncio.Event()
        self.in_progress = 0
        self.answered = 0
        self.refused = 0
        self.background_tasks: set[asyncio.Task] = set()


def _hash64(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode('utf-8'))


def request_home(entry: Entry, request_id: str) -> str:
    """Return the home failure domain of a request id."""
    return home_domain(request_id, entry.domains, _hash64)


def leader_link(entry: Entry, group: str) -> Link | None:
    """Return the link to a group's leader, or None if it is not up."""
    leader_status = entry.leaders.get(group)
    link = entry.links.get(leader_status.host) if leader_status else None
    return link if link and link.up else None


def post_to_group(link: Link, group: str, message: Any) -> None:
    """Send a message for one group, selecting that group on the link first."""
    if link.current_group != group:
        post(link, SelectGroup(group))
        link.current_group = group
    post(link, message)


def send_to_leader(entry: Entry, group: str, message: Any) -> bool:
    """Send a message to a group's leader; return False if unreachable."""
    link = leader_link(entry, group)
    if link is None:
        return False
    post_to_group(link, group, message)
    return True


async def call_leader(
    entry: Entry,
    group: str,
    make_message: Callable[[int], Any],
    patience: float,
) -> tuple[SchedulerResponse | None, bool]:
    """Send a request to a group's leader and wait for the response.

    The request is sent again, with a new correlation id, until any copy is
    answered or ``patience`` (s) has passed.  Returns the response or None,
    and whether any copy was sent.  Raises ``ContractError`` (NOT_STORABLE) for
    a request that has no encoding.
    """
    codec.check_storable(make_message(0))
    loop = asyncio.get_running_loop()
    until = loop.time() + patience
    fut = loop.create_future()
    forwarded = False
    seqs = []
    while not fut.done() and loop.time() < until:
        seqs.append(next(entry.seq_numbers))
        entry.asked[seqs[-1]] = fut
        sent = send_to_leader(entry, group, make_message(seqs[-1]))
        forwarded = forwarded or sent
        await asyncio.wait(
            [fut],
            timeout=_RESEND_INTERVAL_S if sent else _LEADER_POLL_INTERVAL_S,
        )
    for seq in seqs:
        entry.asked.pop(seq, None)
    return (fut.result() if fut.done() else None), forwarded


def start_background_task(entry: Entry, work: Any) -> asyncio.Task:
    """Run a coroutine as a task; keep a reference until it has ended."""
    task = asyncio.ensure_future(work)
    entry.background_tasks.add(task)
    task.add_done_callback(entry.background_tasks.discard)
    return task


def unanswered_result(
    *, forwarded: bool, id_generated: bool
) -> tuple[ResultCode, str]:
    """Return code and reason for a submission that got no response."""
    if forwarded:
        reason = 'the request was sent but not answered; retry with its id'
        return ResultCode.OUTCOME_UNKNOWN, reason
    if id_generated:
        reason = 'no leader could be reached; the request was not sent'
        return ResultCode.NO_LEADER, reason
    reason = (
        'the home failure domain could not be reached: this submission was '
        'not sent, but an earlier one with the same id may have been'
    )
    return ResultCode.HOME_UNREACHABLE, reason


async def query_view(
    entry: Entry,
    group: str,
    view: str,
    name: str = '',
    wait: float = VIEW_TIMEOUT_S,
) -> SchedulerResponse | None:
    """Request a view from a group's leader; None if it does not respond."""
    answer, _ = await call_leader(
        entry,
        group,
        lambda seq: Query(seq, view, name),
        wait,
    )
    return answer
