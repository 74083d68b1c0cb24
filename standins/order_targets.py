"""Targets that take time for orders, or leave them unanswered.

They have no network: the calls of a scheduler node are closures over them.
"""

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import Any

from daisygw.cell import CellLeader, LeaseRenewal, OrderOutcome, Run, StartOrder
from daisygw.contracts import LinkError, ResultCode
from daisygw.machines import RenewalReply, TargetInstance, instance_key

STOP_TIMEOUT_S = 1.0
START_TIMEOUT_S = 0.2


class OrderTargets:
    """What the targets of a leader were sent, and which calls are open.

    Orders take ``order_s`` (s); ``silent`` targets (keys) answer none, but
    renewals.  ``sent`` counts the stops by run; times are in loop time (s).
    ``most_open`` is by kind of call and target.
    """

    def __init__(self, lead: CellLeader, order_s: float) -> None:
        """Begin without calls."""
        self.lead = lead
        self.order_s = order_s
        self.silent: set[str] = set()
        self.sent: Counter[Run] = Counter()
        self.sent_at: dict[Run, float] = {}
        self.confirmed_at: dict[Run, float] = {}
        self.probes: list[float] = []
        self.open: Counter[tuple[str, str]] = Counter()
        self.most_open: Counter[tuple[str, str]] = Counter()

    def count(self, kind: str, key: str, change: int) -> None:
        """Count an open call of a kind at a target."""
        self.open[kind, key] += change
        most = max(self.most_open[kind, key], self.open[kind, key])
        self.most_open[kind, key] = most

    async def order(self, run: Run, timeout_s: float) -> OrderOutcome:
        """Answer an order after a while, unless the target is silent."""
        silent = run.instance in self.silent
        self.count('orders', run.instance, 1)
        await asyncio.sleep(timeout_s if silent else self.order_s)
        self.count('orders', run.instance, -1)
        if silent:
            raise LinkError(ResultCode.OUTCOME_UNKNOWN, 'timeout')
        self.confirmed_at[run] = asyncio.get_running_loop().time()
        return OrderOutcome.TAKEN

    async def stop(
        self, instance: TargetInstance, run: Run, fence: int
    ) -> OrderOutcome:
        """Stop a run."""
        self.sent[run] += 1
        return await self.order(run, STOP_TIMEOUT_S)

    async def start(
        self,
        instance: TargetInstance,
        order: StartOrder,
        deadline: int,
        fence: int,
    ) -> tuple[OrderOutcome, str]:
        """Start a run."""
        self.sent_at[order.run] = asyncio.get_running_loop().time()
        return await self.order(order.run, START_TIMEOUT_S), ''

    async def renew(
        self, instance: TargetInstance, fence: int, renewal: LeaseRenewal
    ) -> RenewalReply:
        """Answer a renewal at the end of its wait."""
        key = instance_key(instance)
        if not renewal.wait:
            self.probes.append(asyncio.get_running_loop().time())
        self.count('renewals', key, 1)
        await asyncio.sleep(renewal.wait + 0.01)
        self.count('renewals', key, -1)
        clock = self.lead.lease_states[key].clock
        return RenewalReply(instance.born, clock, (), ())


async def _disconnect() -> None:
    """Close nothing."""


def scheduler_node(targets: OrderTargets) -> Any:
    """Return what a leader's effects need of a scheduler node."""
    return SimpleNamespace(
        calls=SimpleNamespace(
            stop=targets.stop,
            start=targets.start,
            renew=targets.renew,
            disconnect=_disconnect,
        ),
        cfg=SimpleNamespace(host='10.0.0.1'),
        state=SimpleNamespace(lead=targets.lead),
        group=SimpleNamespace(replica=None),
        sessions={},
        wake=asyncio.Event(),
        background_tasks=set(),
        execute_effect=None,
        meters=None,
    )
