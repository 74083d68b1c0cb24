"""Records of a cell's replicated log.

Times are in seconds since the Unix epoch.
"""

from dataclasses import dataclass

from daisygw.contracts._jobs import CellConfig, JobSpec, RunEnd, StepKey


@dataclass(frozen=True, slots=True)
class ConfigStored:
    """A configuration takes effect at this log position."""

    cfg: CellConfig


@dataclass(frozen=True, slots=True)
class JobEntered:
    """The queue at ``host`` and ``prefix`` accepted a job at time ``at``."""

    job: JobSpec
    host: str
    prefix: str
    at: float


@dataclass(frozen=True, slots=True)
class JobWithdrawn:
    """A job was cancelled."""

    job: str


@dataclass(frozen=True, slots=True)
class JobsForgotten:
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
class RunOver:
    """A run ended and released its capacity.

    ``number`` is the run number, ``how`` the way it ended, and ``saved``
    names the newest checkpoint.
    """

    step: StepKey
    index: int
    number: int
    how: RunEnd
    saved: str = ''


@dataclass(frozen=True, slots=True)
class LifeClosed:
    """A target instance is draining and accepts no new work."""

    life: str


@dataclass(frozen=True, slots=True)
class LifeOver:
    """A target instance has ended; none of its runs is active."""

    life: str


@dataclass(frozen=True, slots=True)
class EndsNoted:
    """A target instance's run ends up to ``position`` are in the log."""

    life: str
    position: int


@dataclass(frozen=True, slots=True)
class StepKept:
    """The state of a step in a snapshot; ``rows`` is as in ``RunsPlaced``.

    ``done`` holds the indexes of finished tasks, ``numbers`` pairs of index
    and newest run number, ``failures`` pairs of index (-1 for the whole gang)
    and failure count, and ``saved`` pairs of index and newest checkpoint.
    ``failed`` tells whether the job has failed.
    """

    step: StepKey
    done: tuple[int, ...]
    numbers: tuple[tuple[int, int], ...]
    failures: tuple[tuple[int, int], ...]
    saved: tuple[tuple[int, str], ...]
    rows: tuple[tuple[int, int, str], ...]
    failed: bool = False
