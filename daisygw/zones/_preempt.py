"""Preemption: urgent work takes the place of work that can checkpoint."""

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
from daisygw.zones._leader import DomainLeader, Ordered
from daisygw.zones._orders import give_stop

Victim = tuple[float, TaskKey, Ordered]


def preempt(lead: DomainLeader) -> None:
    """Stop the cheapest victims for urgent tasks that found no place.

    The cheapest is the one that was started last.  A task that is not
    repeatable, or can not checkpoint, is never stopped.
    """
    lane = lead.lanes.by_name[URGENT]
    wanted = [
        waiting.size for queue in lane.teams.values() for waiting in queue
    ]
    if not wanted:
        return
    victims = sorted(_victims(lead), key=lambda victim: -victim[0])
    pending = sum(
        ordered.stopping == ResultCode.PREEMPTED
        for ordered in lead.orders.values()
    )
    for size in wanted[pending:]:
        _stop_for(lead, size, victims)


def _victims(lead: DomainLeader) -> Iterator[Victim]:
    jobs = lead.replicated.job_registry.jobs
    for key, ordered in lead.orders.items():
        contract = jobs[key.job].contract
        may_stop = contract.checkpoint and contract.repeatable
        urgent = contract.priority is Priority.URGENT
        if may_stop and not urgent and not ordered.stopping:
            yield ordered.at, key, ordered


def _stop_for(lead: DomainLeader, size: Size, victims: list[Victim]) -> None:
    for victim in victims:
        _, key, ordered = victim
        job = lead.replicated.job_registry.jobs[key.job]
        task = job.tasks[key.index]
        worker = lead.replicated.workers.by_name[task.target]
        if fits(size, plus(worker.free, job.contract.size)):
            ordered.stopping = ResultCode.PREEMPTED
            stopping = ordered.stopping
            give_stop(lead, key, task.attempt, task.target, stopping)
            victims.remove(victim)
            return
