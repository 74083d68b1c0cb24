"""The state of a leader's effects in progress, and who may carry them out."""

import asyncio
from collections import Counter
from functools import partial
from typing import Any

from daisygw.cell import CellLeader, OrderLimits, on_advice, order_limits
from daisygw.contracts import AdviceResponse
from daisygw.links import log
from daisygw.links.processes import Link
from daisygw.nodes import _clock
from daisygw.nodes._advisor_calls import AdvisorCalls
from daisygw.nodes._order_queue import OrderQueue
from daisygw.nodes._scheduler import SchedulerNode
from daisygw.zones import holds_leader_lease

# Orders that are open at the same time.  A turn of the loop that begins so many
# calls takes less than a heartbeat.
_MAX_OPEN_STARTS = 128
_MAX_OPEN_STOPS = 384
# Orders for targets that are gone are dropped instead of sent.
_UNKNOWN_TARGET_LIMITS = OrderLimits(1, 1)


class EffectExecutor:
    """State of the effects in progress on the leader.

    ``renewal_tasks`` has one task per target; ``noted`` wakes renewals that
    wait for a commit.  ``open_probes`` counts the open probes by target
    (key), and ``waiting_probes`` has the targets that are probed once more.
    """

    def __init__(self, node: SchedulerNode) -> None:
        """Create the state with no effects in progress."""
        self.node = node
        self.renewal_tasks: dict[str, asyncio.Task] = {}
        self.noted = asyncio.Event()
        self.open_probes: Counter[str] = Counter()
        self.waiting_probes: set[str] = set()
        self.starts = OrderQueue(
            _MAX_OPEN_STARTS, lambda key: _order_limits(self, key).starts
        )
        self.stops = OrderQueue(
            _MAX_OPEN_STOPS, lambda key: _order_limits(self, key).stops
        )
        self.advisor_calls = AdvisorCalls(
            partial(_advisor_callers, node),
            partial(_apply_advice, self),
            partial(start_background_task, self),
        )


def _order_limits(executor: EffectExecutor, key: str) -> OrderLimits:
    lead = executor.node.state.lead
    target = lead.cell.targets.get(key) if lead else None
    return order_limits(lead, target) if target else _UNKNOWN_TARGET_LIMITS


def current_lead(executor: EffectExecutor) -> CellLeader | None:
    """Return the leader's state, or None unless this leader's lease is valid.

    Updates the clock of the state.
    """
    node = executor.node
    lead = node.state.lead
    if lead is None or not holds_leader_lease(node.group.replica, _clock.now()):
        return None
    lead.now = _clock.now()
    return lead


def still_leads(executor: EffectExecutor, lead: CellLeader) -> bool:
    """Return whether ``lead`` still leads in its term.

    Only then may a reply be applied to it.  If so, updates its clock and
    wakes the turn loop.
    """
    if executor.node.state.lead is not lead:
        return False
    lead.now = _clock.now()
    executor.node.wake.set()
    return True


def start_background_task(executor: EffectExecutor, work: Any) -> None:
    """Run a coroutine as a task; log the error with which it ends."""
    task = asyncio.ensure_future(work)
    background_tasks = executor.node.background_tasks
    background_tasks.add(task)
    task.add_done_callback(partial(_on_task_done, background_tasks))


def _on_task_done(
    background_tasks: set[asyncio.Task], task: asyncio.Task
) -> None:
    background_tasks.discard(task)
    if not task.cancelled() and task.exception():
        log('background task failed', error=repr(task.exception()))


def _advisor_callers(
    node: SchedulerNode, max_silence: float
) -> dict[str, Link | None]:
    """Return this process and the linked ones heard within a time (s).

    Each name maps to its link, that of this process to None.
    """
    since = asyncio.get_running_loop().time() - max_silence
    callers: dict[str, Link | None] = {
        name: link
        for name, link in node.sessions.items()
        if link.up and link.heard > since
    }
    callers[node.cfg.host] = None
    return callers


def _apply_advice(executor: EffectExecutor, answer: AdviceResponse) -> None:
    lead = executor.node.state.lead
    if lead and still_leads(executor, lead):
        on_advice(lead, answer)
