"""The entry process of a cell: it passes callers' requests to the leader.

It keeps no state that must survive, and decides nothing about jobs.
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
from daisygw.links import log
from daisygw.links.processes import Link, post
from daisygw.nodes._meters import Meters, watch
from daisygw.nodes._peers import (
    Peers,
    apply_scheduler_list,
    leader_last_heard,
    linked,
    on_answer,
)
from daisygw.nodes._settings import NodeSettings, TargetCalls

# A call to the advisor may wait behind others of this host for so long, s.
ADVICE_PATIENCE = 2.0

# An entry that has not heard the leader for this long sends callers
# elsewhere, s: an election and the first news of it.
_LEADER_AGE = 1.5


class EntryNode:
    """The state of an entry process."""

    def __init__(self, cfg: NodeSettings, calls: TargetCalls) -> None:
        """Begin with no links."""
        self.cfg = cfg
        self.calls = calls
        self.peers = Peers(f'entry/{cfg.host}', cfg.host, cfg.port)
        self.meters = Meters()
        watch(
            self.meters,
            'questions_open',
            'Questions to the leader without an answer',
            lambda: len(self.peers.open),
        )
        self.stopping = False
        self.stopped = asyncio.Event()
        self.background_tasks: set[asyncio.Task] = set()


async def give_advice(
    calls: TargetCalls,
    ask: AdviceRequest,
) -> AdviceResponse:
    """Call the placement advisor for the leader."""
    try:
        tickets = await calls.advise(
            ask.step, ask.targets, ask.work + ADVICE_PATIENCE
        )
    except LinkError as exc:
        log('advisor failed', id=ask.step.job, reason=exc.reason)
        return AdviceResponse(ask.seq, answered=False)
    return AdviceResponse(ask.seq, answered=True, tickets=tickets)


async def _advise(node: EntryNode, link: Link, ask: AdviceRequest) -> None:
    post(link, await give_advice(node.calls, ask))


def _on_message(node: EntryNode, link: Link, message: Any) -> None:
    match message:
        case CellResponse():
            on_answer(node.peers, message)
        case SchedulerList():
            apply_scheduler_list(node.peers, message, link.peer)
        case AdviceRequest():
            task = asyncio.ensure_future(_advise(node, link, message))
            node.background_tasks.add(task)
            task.add_done_callback(node.background_tasks.discard)


def is_ready(node: EntryNode) -> bool:
    """Tell whether new callers should come here.

    A change of leader does not count: it is over sooner than a balancer
    notices.
    """
    heard = leader_last_heard(node.peers)
    now = asyncio.get_running_loop().time()
    return not node.stopping and now - heard < _LEADER_AGE


@asynccontextmanager
async def running_entry(
    cfg: NodeSettings,
    calls: TargetCalls,
) -> AsyncGenerator[EntryNode, None]:
    """Run an entry while the body serves callers."""
    node = EntryNode(cfg, calls)
    async with linked(node.peers, cfg.seeds, partial(_on_message, node)):
        yield node
    for task in node.background_tasks:
        task.cancel()
