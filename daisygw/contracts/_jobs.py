"""Jobs of steps: what callers hand in, and the queues they hand it to.

Times are in seconds, sizes in the units of ``Size`` with no slots.
"""

import enum
from dataclasses import dataclass

from daisygw.contracts._size import Size


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind, started once the steps in ``after`` are done.

    A ``gang`` runs all its tasks together; ``spread`` is the most tasks on
    one target (0: any number); a ``lasting`` step runs until cancelled.
    """

    count: int
    size: Size
    estimate: float
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    data_rack: str = ''
    spread: int = 0
    speculative: bool = False
    lasting: bool = False
    checkpoints: bool = False
    fills: bool = False


@dataclass(frozen=True, slots=True)
class JobSpec:
    """One job: ``payload`` goes to its tasks as it is.

    With ``repeats`` above 0, occurrence K is due at ``first_due`` +
    K x ``interval`` (seconds since 1970).
    """

    id: str
    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_due: float = 0
    interval: float = 0


@dataclass(frozen=True, slots=True)
class Advisor:
    """What a call to a queue's placement advisor takes and gives (s).

    It takes ``decision`` and ``per_target`` for each target asked about;
    its tickets hold for ``validity``.
    """

    decision: float
    per_target: float
    validity: float


@dataclass(frozen=True, slots=True)
class Queue:
    """Where callers hand in jobs: a host name and a path prefix.

    A job's latency objective is ``slack`` times its longest chain of work
    and ``latency`` (s) more; ``priority`` 0 goes first.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout: float
    latency: float
    priority: int
    attempts: int
    slack: float
    advisor: Advisor | None = None


@dataclass(frozen=True, slots=True)
class CellConfig:
    """A configuration of the cell, and the ``document`` it was read from."""

    version: int
    queues: tuple[Queue, ...]
    services: tuple[str, ...]
    max_body: int
    document: bytes


@dataclass(frozen=True, slots=True)
class StepKey:
    """One step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


@enum.unique
class JobState(enum.StrEnum):
    """What a caller may see of a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


@enum.unique
class RunEnd(enum.StrEnum):
    """How a run of a task ended.

    ``LOST``: its target is gone; ``REFUSED``: the target never started it.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    LOST = 'lost'
    REFUSED = 'refused'


@enum.unique
class JobVerb(enum.StrEnum):
    """What a caller asks about a job or a queue."""

    SUBMIT = 'submit'
    SHOW = 'show'
    CANCEL = 'cancel'
    COUNT = 'count'


def queue_for(cfg: CellConfig, host: str, path: str) -> Queue | None:
    """Return the queue with the longest prefix that ``path`` begins with."""
    matching = [
        queue
        for queue in cfg.queues
        if queue.host == host and path.startswith(queue.prefix)
    ]
    return max(matching, key=lambda one: len(one.prefix), default=None)


def critical_path(
    steps: tuple[Step, ...],
    first: int | None = None,
) -> float:
    """Return the longest chain of estimated work (s), from any step or one."""
    ends = [0.0 for _ in steps]
    for number in range(len(steps) - 1, -1, -1):
        following = [
            ends[other]
            for other in range(number + 1, len(steps))
            if number in steps[other].after
        ]
        ends[number] = steps[number].estimate + max(following, default=0)
    return max(ends, default=0) if first is None else ends[first]
