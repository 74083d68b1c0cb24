"""Records of a cell's replicated log.

Times are in seconds since the Unix epoch.
"""

from dataclasses import dataclass

from daisygw.contracts._jobs import (
    CellConfig,
    JobSpec,
    Queue,
    RunEnd,
    StepKey,
)


@dataclass(frozen=True, slots=True)
class ConfigStored:
    """A configuration takes effect at this log position."""

    cfg: CellConfig


@dataclass(frozen=True, slots=True)
class QueueRetained:
    """In a snapshot: a queue that is no longer configured but has jobs."""

    queue: Queue


@dataclass(frozen=True, slots=True)
class JobEnqueued:
    """The queue at ``host`` and ``prefix`` accepted a job at time ``at``.

    It belongs to ``customer`` ('': to nobody).  A ``surplus`` job exceeded its
    customer's rate.
    """

    job: JobSpec
    host: str
    prefix: str
    at: float
    customer: str = ''
    surplus: bool = False


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job was cancelled."""

    job: str


@dataclass(frozen=True, slots=True)
class CancelNoted:
    """A job that is not known was cancelled; it would be of ``customer``."""

    job: str
    customer: str


@dataclass(frozen=True, slots=True)
class CancelsPurged:
    """Noted cancels were removed; ``rows`` are pairs of customer and job."""

    rows: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class JobStarted:
    """A target has confirmed the start of a job's first task."""

    job: str


@dataclass(frozen=True, slots=True)
class JobsPurged:
    """Ended jobs were removed from the state after their retention time."""

    jobs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RunsPlaced:
    """Tasks of a step reserved capacity on targets.

    ``rows`` holds (task index, run number, target).
    """

    step: StepKey
    rows: tuple[tuple[int, int, str], ...]


@dataclass(frozen=True, slots=True)
class RunFinished:
    """A run ended and released its capacity.

    ``number`` is the run number, ``how`` the way it ended, and ``checkpoint``
    names the newest checkpoint.
    """

    step: StepKey
    index: int
    number: int
    how: RunEnd
    checkpoint: str = ''


@dataclass(frozen=True, slots=True)
class InstanceClosed:
    """A target instance is draining and accepts no new work."""

    instance: str


@dataclass(frozen=True, slots=True)
class InstanceEnded:
    """A target instance has ended; none of its runs is active."""

    instance: str


@dataclass(frozen=True, slots=True)
class EndsAcknowledged:
    """A target instance's run ends up to ``position`` are in the log."""

    instance: str
    position: int


@dataclass(frozen=True, slots=True)
class StepSnapshot:
    """The state of a step in a snapshot; ``rows`` is as in ``RunsPlaced``.

    ``done`` holds the indexes of completed tasks, ``numbers`` pairs of index
    and newest run number, ``failures`` pairs of index (-1 for the whole gang)
    and failure count, and ``checkpoint`` pairs of index and newest checkpoint.
    ``failed`` tells whether the job has failed, and ``failed_run`` is the
    number of a gang's newest failed run.
    """

    step: StepKey
    done: tuple[int, ...]
    numbers: tuple[tuple[int, int], ...]
    failures: tuple[tuple[int, int], ...]
    checkpoint: tuple[tuple[int, str], ...]
    rows: tuple[tuple[int, int, str], ...]
    failed: bool = False
    failed_run: int = 0
