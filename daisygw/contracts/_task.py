"""Tasks, their attempts and leases, and the orders that start or stop them."""

import enum
from dataclasses import dataclass

from daisygw.contracts._codes import ResultCode
from daisygw.contracts._size import Size


class TaskState(enum.IntEnum):
    """Scheduling state of a task."""

    QUEUED = 0
    LEASED = 1
    ENDED = 2


@dataclass(frozen=True, slots=True)
class TaskKey:
    """Identifies a task by the request's id and its index in the request."""

    job: str
    index: int


@dataclass(frozen=True, slots=True)
class Task:
    """A task in the replicated state.

    ``attempt`` counts the leases so far.  ``since`` is the start of the
    current state and ``ready`` the time of acceptance, both in milliseconds
    since the Unix epoch.  ``failed_on`` names the targets where it failed.
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
    """Fencing token by which a target rejects an outdated order.

    ``term`` is the leader's; ``announced`` is the number of the newest
    announcement that it had received of the target's current ``incarnation``.
    """

    term: int
    incarnation: str
    announced: int


@dataclass(frozen=True, slots=True)
class TaskStartOrder:
    """Orders an entry to start an attempt on a target, or attach to it.

    ``lease`` is in seconds, counted by the target from the announcement that
    ``fence`` names.
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
class TaskStopOrder:
    """Orders an entry to stop an attempt on its target."""

    key: TaskKey
    attempt: int
    address: str
    fence: Fence
    code: int
