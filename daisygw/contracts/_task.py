"""Tasks, their attempts and leases, and the orders given for them."""

import enum
from dataclasses import dataclass

from daisygw.contracts._codes import ResultCode
from daisygw.contracts._size import Size


class TaskState(enum.IntEnum):
    """Where a task stands in its life."""

    QUEUED = 0
    LEASED = 1
    ENDED = 2


@dataclass(frozen=True, slots=True)
class TaskKey:
    """Names one task: the request's id and the task's place in it."""

    job: str
    index: int


@dataclass(frozen=True, slots=True)
class Task:
    """One task as the replicated state holds it.

    ``attempt`` counts leases given so far; ``since`` is when the present
    state began and ``ready`` when the task was accepted, both in
    milliseconds since the epoch.
    """

    index: int
    ready: int
    state: TaskState = TaskState.QUEUED
    attempt: int = 0
    target: str = ''
    incarnation: str = ''
    since: int = 0
    code: int = ResultCode.ACCEPTED
    failed_on: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Fence:
    """What lets a target refuse an order that is out of date.

    ``term`` is the leader's; ``announced`` is the newest announcement that
    the leader had seen of the target's present ``incarnation``.
    """

    term: int
    incarnation: str
    announced: int


@dataclass(frozen=True, slots=True)
class TaskStartOrder:
    """Tells an entry to start (or attach to) one attempt on a target.

    ``lease`` is in seconds, counted by the target from its announcement.
    """

    key: TaskKey
    attempt: int
    target: str
    address: str
    fence: Fence
    lease: float
    size: Size
    spec: str = ''


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Tells an entry to have a target stop one attempt."""

    key: TaskKey
    attempt: int
    address: str
    fence: Fence
    code: int
