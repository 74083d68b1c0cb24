"""Scheduling lanes: queues of accepted tasks, separated by kind of work.

Short tasks have a lane of their own, so that they never wait behind long
ones.  Each lane has one queue per team; the next task comes from the team
that uses the least capacity relative to its weight.
"""

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import TypeAlias

from daisygw.contracts._configuration import Policy
from daisygw.contracts._request import Contract, Kind, Priority
from daisygw.contracts._size import Size

# Returns the lane of a contract, given its expected run time (s).
LaneSelector: TypeAlias = Callable[[Contract, float], str]

URGENT = 'urgent'
SHORT = 'short'
GANG = 'gang'
LONG = 'long'
LANES = (URGENT, SHORT, GANG, LONG)


class QueuedTasks:
    """The queued tasks of one job; ``run`` is the expected run time (s)."""

    def __init__(self, contract: Contract, run: float, since: float) -> None:
        """Start without tasks; ``since`` (s) is on the leader's clock."""
        self.contract = contract
        self.run = run
        self.since = since
        self.indexes: deque[int] = deque()

    @property
    def size(self) -> Size:
        """The resources that one task needs."""
        return self.contract.size


class Lane:
    """A scheduling lane with a queue of jobs for each team."""

    def __init__(self) -> None:
        """Start empty; ``backlog`` is the sum of expected run times (s)."""
        self.teams: dict[str, deque[QueuedTasks]] = {}
        self.backlog = 0.0
        self.tasks = 0


class Lanes:
    """All lanes, with an index from a job's id to its lane in ``where``."""

    def __init__(self) -> None:
        """Start with empty lanes."""
        self.by_name = {name: Lane() for name in LANES}
        self.where: dict[str, tuple[str, QueuedTasks]] = {}


def by_lanes(policy: Policy) -> LaneSelector:
    """Return a selector that separates urgent, short, gang and long work."""

    def lane_of(contract: Contract, run: float) -> str:
        if contract.priority is Priority.URGENT:
            return URGENT
        if contract.kind is Kind.GANG:
            return GANG
        return SHORT if run <= policy.short_run else LONG

    return lane_of


def by_arrival(policy: Policy) -> LaneSelector:
    """Return a selector with one lane for all but gangs: the baseline."""

    def lane_of(contract: Contract, run: float) -> str:
        return GANG if contract.kind is Kind.GANG else LONG

    return lane_of


ORDERINGS: Mapping[str, Callable[[Policy], LaneSelector]] = MappingProxyType({
    'lanes': by_lanes,
    'fifo': by_arrival,
})


def enqueue(
    lanes: Lanes,
    name: str,
    waiting: QueuedTasks,
    indexes: Iterator[int] | range,
) -> None:
    """Queue the tasks ``indexes`` of a job in the lane ``name``.

    Tasks of a job that is queued already join its lane, whatever ``name`` is.
    """
    contract = waiting.contract
    queued = lanes.where.get(contract.id)
    if queued:
        name, waiting = queued
    lane = lanes.by_name[name]
    count_before = len(waiting.indexes)
    waiting.indexes.extend(indexes)
    added = len(waiting.indexes) - count_before
    lane.tasks += added
    lane.backlog += added * waiting.run
    if queued is None:
        lanes.where[contract.id] = (name, waiting)
        lane.teams.setdefault(contract.team, deque()).append(waiting)


def taken(lanes: Lanes, waiting: QueuedTasks, count: int) -> None:
    """Account for ``count`` tasks of a job that have left the queue."""
    name, _ = lanes.where[waiting.contract.id]
    lane = lanes.by_name[name]
    lane.tasks -= count
    lane.backlog -= count * waiting.run
    if not waiting.indexes:
        _remove(lanes, lane, waiting)


def _remove(lanes: Lanes, lane: Lane, waiting: QueuedTasks) -> None:
    contract = waiting.contract
    lanes.where.pop(contract.id)
    queue = lane.teams[contract.team]
    if queue[0] is waiting:
        queue.popleft()
    else:
        queue.remove(waiting)
    if not queue:
        lane.teams.pop(contract.team)


def remove_job(lanes: Lanes, job: str) -> tuple[int, ...]:
    """Remove all queued tasks of a job; return their indexes."""
    queued = lanes.where.get(job)
    if queued is None:
        return ()
    _, waiting = queued
    indexes = tuple(waiting.indexes)
    waiting.indexes.clear()
    taken(lanes, waiting, len(indexes))
    return indexes


def backlog_ahead(lanes: Lanes, name: str) -> float:
    """Return the expected run time (s) queued in ``name`` and earlier lanes."""
    end = LANES.index(name) + 1
    return sum(lanes.by_name[lane].backlog for lane in LANES[:end])
