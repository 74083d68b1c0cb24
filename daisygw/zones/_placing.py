"""Placing: the leader's loop from waiting tasks to leases."""

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
    dominant_share,
    fits,
    minus,
    plus,
    taken,
    times,
)
from daisygw.machines import Worker, candidates, refresh
from daisygw.zones._admit import quota_of
from daisygw.zones._leader import DomainLeader, is_open, record
from daisygw.zones._orders import give_order
from daisygw.zones._preempt import preempt
from daisygw.zones._reserve import end_reservation, may_use, reserve

# Candidates that are scored for a task; chosen, bounds the work of a decision.
_LOOK_AT = 8
# Jobs of a team that are tried before the next team: what does not fit blocks
# no other.
_LOOK_INTO = 4
# Tasks placed in a turn; bounds a turn at about 20 ms.
_MOST_PER_TURN = 512
_LONG_LANE = 'long'
# Times its share that a team wants when it is held back (docs/POLICY.md,
# "Fairness").
_GREEDY = 2


def place_waiting(lead: DomainLeader) -> None:
    """Place what fits now, lane by lane, a bounded number in a turn."""
    _refresh(lead)
    end_reservation(lead)
    for name in LANES:
        _place_lane(lead, name)
        if name == URGENT:
            preempt(lead)


def _refresh(lead: DomainLeader) -> None:
    refresh(
        lead.index,
        lead.replicated.workers,
        lambda worker: is_open(lead, worker),
    )


def _rank(lead: DomainLeader, team: str) -> float:
    held = lead.replicated.job_registry.held[team]
    weight = lead.cfg.teams[team].weight if team in lead.cfg.teams else 1
    return dominant_share(held, lead.replicated.capacity) / weight


def _place_lane(lead: DomainLeader, name: str) -> None:
    lane = lead.lanes.by_name[name]
    if not lane.teams:
        return
    queue = [(_rank(lead, team), team) for team in lane.teams]
    heapq.heapify(queue)
    blocked: list[Size] = []
    placed = 0
    while queue and placed < _MOST_PER_TURN:
        _, team = heapq.heappop(queue)
        if _place_next(lead, name, team, blocked):
            placed += 1
            if team in lane.teams:
                heapq.heappush(queue, (_rank(lead, team), team))


def _place_next(
    lead: DomainLeader,
    name: str,
    team: str,
    blocked: list[Size],
) -> bool:
    if name != URGENT and _is_greedy(lead, name, team):
        return False
    jobs = list(islice(lead.lanes.by_name[name].teams[team], _LOOK_INTO))
    for waiting in jobs:
        if any(fits(size, waiting.size) for size in blocked):
            continue
        if not _may_hold(lead, name, waiting):
            continue
        if _place_job(lead, name, waiting):
            return True
        _note_unplaced(lead, waiting, blocked)
    return False


def _note_unplaced(
    lead: DomainLeader,
    waiting: QueuedTasks,
    blocked: list[Size],
) -> None:
    if waiting.contract.kind is Kind.GANG:
        reserve(lead, waiting)
    elif not lead.reserved:
        blocked.append(waiting.size)


def _is_greedy(lead: DomainLeader, name: str, team: str) -> bool:
    """Tell whether a team wants far more than its share while little is free.

    The last part of the slots is kept for the other teams that run work, so
    that one team's flood does not make them wait.  What a team wants is what
    it holds and what it waits for; a team at its share is never held back.
    """
    capacity = lead.replicated.capacity.slots
    held = lead.replicated.held.slots
    mine = lead.replicated.job_registry.held[team].slots
    if mine == held or capacity - held >= capacity * lead.policy.headroom:
        return False
    share = _rank(lead, team) * lead.weights
    return share > _GREEDY or (share > 1 and _wants(lead, name, team, share))


def _wants(lead: DomainLeader, name: str, team: str, share: float) -> bool:
    """Tell whether what a team holds and waits for is far over its share."""
    mine = lead.replicated.job_registry.held[team].slots
    missing = mine * (_GREEDY / share - 1)
    for waiting in lead.lanes.by_name[name].teams[team]:
        missing -= waiting.size.slots * len(waiting.indexes)
        if missing < 0:
            return True
    return False


def _may_hold(lead: DomainLeader, name: str, waiting: QueuedTasks) -> bool:
    contract = waiting.contract
    count = contract.count if contract.kind is Kind.GANG else 1
    need = times(contract.size, count)
    held = lead.replicated.job_registry.held[contract.team]
    if contract.team not in lead.cfg.teams:
        return False
    if not fits(plus(held, need), quota_of(lead, contract.team)):
        return False
    if name != _LONG_LANE:
        return True
    slots = lead.replicated.capacity.slots
    open_to_long = max(slots - int(slots * lead.policy.short_share), 1)
    return lead.long_slots + need.slots <= open_to_long


def _place_job(lead: DomainLeader, name: str, waiting: QueuedTasks) -> bool:
    lead.decisions += 1
    if waiting.contract.kind is Kind.GANG:
        return _place_gang(lead, waiting)
    worker = _choose(lead, waiting)
    if worker is None:
        return False
    index = waiting.indexes.popleft()
    taken(lead.lanes, waiting, 1)
    _lease(lead, waiting.contract, index, worker)
    if name == _LONG_LANE:
        lead.long_tasks.add(TaskKey(waiting.contract.id, index))
        lead.long_slots += 1
    _refresh(lead)
    return True


def _choose(lead: DomainLeader, waiting: QueuedTasks) -> Worker | None:
    size = waiting.size
    avoided = _avoided(lead, waiting)
    found = (
        worker
        for worker in candidates(lead.index, size, _looked_at(lead, avoided))
        if worker.spec.name not in avoided and may_use(lead, waiting, worker)
    )
    return min(
        found,
        key=lambda worker: lead.score(worker, size),
        default=None,
    )


def _looked_at(lead: DomainLeader, avoided: frozenset[str]) -> int:
    reserved = len(lead.reserved.workers) if lead.reserved else 0
    return _LOOK_AT + len(avoided) + reserved


def _avoided(lead: DomainLeader, waiting: QueuedTasks) -> frozenset[str]:
    """Return where the next task failed, while there is another worker."""
    job = lead.replicated.job_registry.jobs[waiting.contract.id]
    failed_on = frozenset(job.tasks[waiting.indexes[0]].failed_on)
    if not failed_on:
        return failed_on
    others = any(
        worker.open and name not in failed_on
        for name, worker in lead.replicated.workers.by_name.items()
    )
    return failed_on if others else frozenset()


def _lease(
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
    give_order(lead, job, TaskKey(contract.id, index))


def _place_gang(lead: DomainLeader, waiting: QueuedTasks) -> bool:
    contract = waiting.contract
    chosen = _choose_gang(lead, contract, len(waiting.indexes))
    if chosen is None:
        return False
    indexes = list(waiting.indexes)
    waiting.indexes.clear()
    taken(lead.lanes, waiting, len(indexes))
    for index, worker in zip(indexes, chosen, strict=True):
        _lease(lead, contract, index, worker)
    _refresh(lead)
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
