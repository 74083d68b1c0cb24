"""Placement: the leader assigns waiting tasks to workers and leases them."""

import heapq
from itertools import islice

from daisygw.contracts import (
    LANES,
    URGENT,
    Contract,
    Kind,
    QueuedTasks,
    Size,
    TaskKey,
    TaskPlaced,
    fits,
    is_within,
    minus,
    taken,
    times,
    weighted_share,
)
from daisygw.machines import Worker, candidates, refresh
from daisygw.zones._admission import quota_of
from daisygw.zones._leader import DomainLeader, is_open, record
from daisygw.zones._orders import send_order
from daisygw.zones._preempt import preempt
from daisygw.zones._reservation import (
    end_reservation,
    may_use_worker,
    reserve_workers,
)

# Workers that are scored for a task; bounds the cost of a decision.
_MAX_CANDIDATES = 8
# Jobs of a team that are tried before the next team's, so that a job that does
# not fit blocks no other.
_JOBS_TRIED_PER_TEAM = 4
# Tasks placed per lane in a turn; keeps a turn at about 20 ms.
_MAX_PLACED_PER_TURN = 512
_LONG_LANE = 'long'
# A team whose demand exceeds this multiple of its share is held back
# (docs/POLICY.md, "Fairness").
_HELD_BACK_FACTOR = 2


def place_waiting(lead: DomainLeader) -> None:
    """Place the waiting tasks that fit now, lane by lane.

    A bounded number is placed per call; the rest waits for the next turn.
    """
    _refresh_index(lead)
    end_reservation(lead)
    for name in LANES:
        _place_lane(lead, name)
        if name == URGENT:
            preempt(lead)


def _refresh_index(lead: DomainLeader) -> None:
    refresh(
        lead.index,
        lead.replicated.workers,
        lambda worker: is_open(lead, worker),
    )


def _weighted_share(lead: DomainLeader, team: str) -> float:
    held = lead.replicated.job_registry.held[team]
    weight = lead.cfg.teams[team].weight if team in lead.cfg.teams else 1
    return weighted_share(held, lead.replicated.capacity, weight)


def _place_lane(lead: DomainLeader, name: str) -> None:
    lane = lead.lanes.by_name[name]
    if not lane.teams:
        return
    queue = [(_weighted_share(lead, team), team) for team in lane.teams]
    heapq.heapify(queue)
    blocked: list[Size] = []
    placed = 0
    while queue and placed < _MAX_PLACED_PER_TURN:
        _, team = heapq.heappop(queue)
        if _place_next(lead, name, team, blocked):
            placed += 1
            if team in lane.teams:
                heapq.heappush(queue, (_weighted_share(lead, team), team))


def _place_next(
    lead: DomainLeader,
    name: str,
    team: str,
    blocked: list[Size],
) -> bool:
    if name != URGENT and _is_held_back(lead, name, team):
        return False
    jobs = list(
        islice(lead.lanes.by_name[name].teams[team], _JOBS_TRIED_PER_TEAM)
    )
    for waiting in jobs:
        if any(fits(size, waiting.size) for size in blocked):
            continue
        if not _is_within_limits(lead, name, waiting):
            continue
        if _place_job(lead, name, waiting):
            return True
        _record_unplaced(lead, waiting, blocked)
    return False


def _record_unplaced(
    lead: DomainLeader,
    waiting: QueuedTasks,
    blocked: list[Size],
) -> None:
    if waiting.contract.kind is Kind.GANG:
        reserve_workers(lead, waiting)
    elif not lead.reservation:
        blocked.append(waiting.size)


def _is_held_back(lead: DomainLeader, name: str, team: str) -> bool:
    """Tell whether a team must leave the last free slots to other teams.

    While less than ``policy.headroom`` of the slots is free, they are kept
    for the other teams that hold some, so that a burst of one team does not
    make them wait.  A team is held back if its demand, which is what it holds
    and what it waits for, is far over its share; never at or below its share.
    """
    capacity = lead.replicated.capacity.slots
    held = lead.replicated.held.slots
    own_slots = lead.replicated.job_registry.held[team].slots
    if own_slots == held or capacity - held >= capacity * lead.policy.headroom:
        return False
    share = _weighted_share(lead, team) * lead.total_weight
    return share > _HELD_BACK_FACTOR or (
        share > 1 and _demand_is_excessive(lead, name, team, share)
    )


def _demand_is_excessive(
    lead: DomainLeader, name: str, team: str, share: float
) -> bool:
    """Tell whether a team holds and waits for far more than its share.

    ``share`` is what it holds, as a multiple of its share.
    """
    own_slots = lead.replicated.job_registry.held[team].slots
    slots_until_limit = own_slots * (_HELD_BACK_FACTOR / share - 1)
    for waiting in lead.lanes.by_name[name].teams[team]:
        slots_until_limit -= waiting.size.slots * len(waiting.indexes)
        if slots_until_limit < 0:
            return True
    return False


def _is_within_limits(
    lead: DomainLeader, name: str, waiting: QueuedTasks
) -> bool:
    contract = waiting.contract
    count = contract.count if contract.kind is Kind.GANG else 1
    need = times(contract.size, count)
    held = lead.replicated.job_registry.held[contract.team]
    if contract.team not in lead.cfg.teams:
        return False
    if not is_within(held, need, quota_of(lead, contract.team)):
        return False
    if name != _LONG_LANE:
        return True
    slots = lead.replicated.capacity.slots
    long_limit = max(slots - int(slots * lead.policy.short_share), 1)
    return lead.long_slots + need.slots <= long_limit


def _place_job(lead: DomainLeader, name: str, waiting: QueuedTasks) -> bool:
    lead.decisions += 1
    if waiting.contract.kind is Kind.GANG:
        return _place_gang(lead, waiting)
    worker = _choose_worker(lead, waiting)
    if worker is None:
        return False
    index = waiting.indexes.popleft()
    taken(lead.lanes, waiting, 1)
    _lease_task(lead, waiting.contract, index, worker)
    if name == _LONG_LANE:
        lead.long_tasks.add(TaskKey(waiting.contract.id, index))
        lead.long_slots += 1
    _refresh_index(lead)
    return True


def _choose_worker(lead: DomainLeader, waiting: QueuedTasks) -> Worker | None:
    size = waiting.size
    avoided = _avoided_targets(lead, waiting)
    usable = (
        worker
        for worker in candidates(
            lead.index, size, _candidate_limit(lead, avoided)
        )
        if worker.spec.name not in avoided
        and may_use_worker(lead, waiting, worker)
    )
    return min(
        usable,
        key=lambda worker: lead.score(worker, size),
        default=None,
    )


def _candidate_limit(lead: DomainLeader, avoided: frozenset[str]) -> int:
    reserved = len(lead.reservation.workers) if lead.reservation else 0
    return _MAX_CANDIDATES + len(avoided) + reserved


def _avoided_targets(
    lead: DomainLeader, waiting: QueuedTasks
) -> frozenset[str]:
    """Return the targets where the next task failed, if others are open."""
    job = lead.replicated.job_registry.jobs[waiting.contract.id]
    failed_on = frozenset(job.tasks[waiting.indexes[0]].failed_on)
    if not failed_on:
        return failed_on
    others = any(
        worker.open and name not in failed_on
        for name, worker in lead.replicated.workers.by_name.items()
    )
    return failed_on if others else frozenset()


def _lease_task(
    lead: DomainLeader,
    contract: Contract,
    index: int,
    worker: Worker,
) -> None:
    job = lead.replicated.job_registry.jobs[contract.id]
    placed = TaskPlaced(
        contract.id,
        index,
        job.tasks[index].attempt + 1,
        worker.spec.name,
        worker.spec.incarnation,
        lead.wall,
    )
    record(lead, placed)
    send_order(lead, job, TaskKey(contract.id, index))


def _place_gang(lead: DomainLeader, waiting: QueuedTasks) -> bool:
    contract = waiting.contract
    chosen = _choose_gang(lead, contract, len(waiting.indexes))
    if chosen is None:
        return False
    indexes = list(waiting.indexes)
    waiting.indexes.clear()
    taken(lead.lanes, waiting, len(indexes))
    for index, worker in zip(indexes, chosen, strict=True):
        _lease_task(lead, contract, index, worker)
    _refresh_index(lead)
    return True


def _choose_gang(
    lead: DomainLeader,
    contract: Contract,
    count: int,
) -> list[Worker] | None:
    chosen: list[Worker] = []
    for worker in candidates(lead.index, contract.size, count):
        free = worker.free
        while len(chosen) < count and fits(contract.size, free):
            chosen.append(worker)
            free = minus(free, contract.size)
        if len(chosen) == count:
            return chosen
    return None
