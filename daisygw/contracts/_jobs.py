"""Jobs made of steps, and the queues that accept them from callers.

Times are in seconds.  Sizes are in the units of ``Size``; they have no slots.
"""

import enum
from dataclasses import dataclass

from daisygw.contracts._size import Size


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind, which start once the steps in ``after`` are done.

    ``estimate`` is the expected run time (s) of a task.  The tasks of a
    ``gang`` run simultaneously, ``spread`` limits the tasks on one target
    (0: no limit), and a ``lasting`` step runs until it is cancelled.  Tasks
    with a ``label`` run only on targets of that kind or rack; ``data_rack``
    is preferred but not required.  Tasks of a step that ``fills`` hold memory
    and accelerators only.
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
    """A job as submitted; its tasks get ``payload`` unchanged.

    With ``repeats`` above 0, occurrence K is due at ``first_due`` +
    K x ``interval`` (seconds since the Unix epoch).
    """

    id: str
    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_due: float = 0
    interval: float = 0


@dataclass(frozen=True, slots=True)
class Advisor:
    """Timing of a queue's placement advisor, in seconds.

    A call takes ``decision`` plus ``per_target`` for each target in it, and
    its tickets are valid for ``validity``.
    """

    decision: float
    per_target: float
    validity: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue that accepts jobs under a host name and a path prefix.

    A job's latency objective is ``slack`` times the length of its critical
    path plus ``latency`` (s).  ``priority`` 0 is the highest.  Its tasks run
    on targets of ``service``; a job fails after ``attempts`` failures of one
    task.  Callers of a ``public`` queue need no key.
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
    public: bool = False


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer whose callers submit jobs.

    ``keys`` are the SHA-256 digests of the keys with which they identify
    themselves.  ``weight`` is its share of a full cell, and the number of
    jobs per second that are within its rate.  ``limit`` bounds what it may
    have running; a resource of 0 has no limit.
    """

    name: str
    keys: tuple[bytes, ...]
    weight: float
    limit: Size
    priority: int = 0


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on a request, from the configuration of ``version``.

    ``header`` and ``body`` are the longest header section and body (bytes).
    ``header_timeout`` is the longest time until a header section is complete,
    ``idle_timeout`` that in which a client may be silent (s).
    """

    header: int
    body: int
    header_timeout: float
    idle_timeout: float
    version: int = 0


@dataclass(frozen=True, slots=True)
class CellConfig:
    """A configuration of the cell and its source ``document``.

    ``max_body`` is the longest request body (bytes), ``max_header`` the
    longest header section.  A limit of 0 is that of the process; for the
    times (s) see ``RequestLimits``.  Without ``customers`` (None) no caller
    needs a key, and no job belongs to a customer.  ``connections`` has pairs
    of service and how many connections each of its targets accepts.
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[str, ...]
    max_body: int
    document: bytes
    customers: tuple[Customer, ...] | None = None
    max_header: int = 0
    header_timeout: float = 0
    idle_timeout: float = 0
    connections: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class StepKey:
    """Identifies a step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


@enum.unique
class JobState(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


@enum.unique
class RunEnd(enum.StrEnum):
    """How a run of a task ended.

    ``LAPSED`` means that the lease of its target ended, ``LOST`` that its
    target is gone, ``REFUSED`` that the target never started it.
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
    """Operation that a caller requests on a job or a queue."""

    SUBMIT = 'submit'
    SHOW = 'show'
    CANCEL = 'cancel'
    COUNT = 'count'


def queue_for(cfg: CellConfig, host: str, path: str) -> Queue | None:
    """Return the queue on ``host`` with the longest prefix of ``path``."""
    matching = [
        queue
        for queue in cfg.queues
        if queue.host == host and path.startswith(queue.prefix)
    ]
    return max(
        matching, key=lambda candidate: len(candidate.prefix), default=None
    )


def critical_path(
    steps: tuple[Step, ...],
    first: int | None = None,
) -> float:
    """Return the estimated length (s) of the longest chain of steps.

    The chain starts at the step ``first``, or at any step where it is None.
    """
    chains = [step.estimate for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            chains[earlier] = max(
                chains[earlier], steps[earlier].estimate + chains[number]
            )
    return max(chains, default=0) if first is None else chains[first]
