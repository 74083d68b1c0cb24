"""The entry process of a cell, which forwards requests to the leader.

It keeps no durable state and makes no decisions about jobs.
"""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

from daisygw.contracts import (
    AdviceRequest,
    AdviceResponse,
    CellResponse,
    LinkError,
    SchedulerList,
)
from daisygw.links import log, log_error
from daisygw.links.processes import Link, post
from daisygw.nodes._meters import Meters, add_gauge
from daisygw.nodes._peers import (
    Peers,
    apply_scheduler_list,
    connected_to_peers,
    leader_last_known,
    on_response,
)
from daisygw.nodes._settings import NodeSettings, TargetCalls

# How long a call to the advisor may queue behind other calls of this host.
ADVISOR_QUEUE_TIMEOUT_S = 2.0

# An entry without contact to a leader for this long reports itself not ready.
# Covers an election and the first message about its result.
_READY_MAX_SILENCE_S = 1.5


class EntryNode:
    """The state of an entry process."""

    def __init__(self, cfg: NodeSettings, calls: TargetCalls) -> None:
        """Create the state without opening any links."""
        self.cfg = cfg
        self.calls = calls
        self.peers = Peers(f'entry/{cfg.host}', cfg.host, cfg.port)
        self.meters = Meters()
        add_gauge(
            self.meters,
            'questions_open',
            'Questions to the leader without an answer',
            lambda: len(self.peers.open),
        )
        self.stopping = False
        self.stopped = asyncio.Event()
        self.background_tasks: set[asyncio.Task] = set()


async def call_advisor(
    calls: TargetCalls,
    request: AdviceRequest,
) -> AdviceResponse:
    """Call the placement advisor, and turn a failed call into a response."""
    try:
        tickets = await calls.advise(
            request.step,
            request.targets,
            request.work + ADVISOR_QUEUE_TIMEOUT_S,
        )
    except LinkError as exc:
        log('advisor failed', id=request.step.job, reason=exc.reason)
        return AdviceResponse(request.seq, answered=False)
    except Exception as exc:
        log_error('advisor call crashed', exc, id=request.step.job)
        return AdviceResponse(request.seq, answered=False)
    return AdviceResponse(request.seq, answered=True, tickets=tickets)


async def _answer_advice_request(
    node: EntryNode, link: Link, request: AdviceRequest
) -> None:
    post(link, await call_advisor(node.calls, request))


def _on_message(node: EntryNode, link: Link, message: Any) -> None:
    match message:
        case CellResponse():
            on_response(node.peers, message)
        case SchedulerList():
            apply_scheduler_list(node.peers, message, link.peer)
        case AdviceRequest():
            task = asyncio.ensure_future(
                _answer_advice_request(node, link, message)
            )
            node.background_tasks.add(task)
            task.add_done_callback(node.background_tasks.discard)


def is_ready(node: EntryNode) -> bool:
    """Return whether a load balancer should send new callers here.

    The entry stays ready during a change of leader, which completes before
    a load balancer would react.
    """
    last_known = leader_last_known(node.peers)
    now = asyncio.get_running_loop().time()
    return not node.stopping and now - last_known < _READY_MAX_SILENCE_S


@asynccontextmanager
async def running_entry(
    cfg: NodeSettings,
    calls: TargetCalls,
) -> AsyncGenerator[EntryNode, None]:
    """Run an entry process for the duration of the context."""
    node = EntryNode(cfg, calls)
    async with connected_to_peers(
        node.peers, cfg.seeds, partial(_on_message, node)
    ):
        yield node
    for task in node.background_tasks:
        task.cancel()
