"""Preemption: stop tasks that can checkpoint to make way for urgent ones."""

from collections.abc import Iterator

from daisygw.contracts import (
    URGENT,
    Priority,
    ResultCode,
    Size,
    TaskKey,
    fits,
    plus,
)
from daisygw.zones._leader import DomainLeader, OutstandingOrder
from daisygw.zones._orders import send_stop

# When the order was sent (s), the task and the order.
Victim = tuple[float, TaskKey, OutstandingOrder]


def preempt(lead: DomainLeader) -> None:
    """Stop running tasks for the urgent ones that could not be placed.

    The cheapest task to stop is the one that was started last, so it comes
    first.  Tasks that are not repeatable or can not checkpoint are never
    stopped.
    """
    lane = lead.lanes.by_name[URGENT]
    unplaced = [
        waiting.size for queue in lane.teams.values() for waiting in queue
    ]
    if not unplaced:
        return
    victims = sorted(_victims(lead), key=lambda victim: -victim[0])
    pending = sum(
        outstanding.stopping == ResultCode.PREEMPTED
        for outstanding in lead.orders.values()
    )
    for size in unplaced[pending:]:
        _stop_victim_for(lead, size, victims)


def _victims(lead: DomainLeader) -> Iterator[Victim]:
    jobs = lead.replicated.job_registry.jobs
    for key, outstanding in lead.orders.items():
        contract = jobs[key.job].contract
        may_stop = contract.checkpoint and contract.repeatable
        urgent = contract.priority is Priority.URGENT
        if may_stop and not urgent and not outstanding.stopping:
            yield outstanding.at, key, outstanding


def _stop_victim_for(
    lead: DomainLeader, size: Size, victims: list[Victim]
) -> None:
    for victim in victims:
        _, key, outstanding = victim
        job = lead.replicated.job_registry.jobs[key.job]
        task = job.tasks[key.index]
        worker = lead.replicated.workers.by_name[task.target]
        if fits(size, plus(worker.free, job.contract.size)):
            outstanding.stopping = ResultCode.PREEMPTED
            stopping = outstanding.stopping
            send_stop(lead, key, task.attempt, task.target, stopping)
            victims.remove(victim)
            return
