"""Records of a cell's log.  Times are in seconds since 1970."""

from dataclasses import dataclass

from daisygw.contracts._jobs import CellConfig, JobSpec, RunEnd, StepKey


@dataclass(frozen=True, slots=True)
class ConfigStored:
    """A configuration is in force from here on."""

    cfg: CellConfig


@dataclass(frozen=True, slots=True)
class JobEnqueued:
    """A job was accepted by the queue at ``host`` and ``prefix``."""

    job: JobSpec
    host: str
    prefix: str
    at: float


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job was cancelled."""

    job: str


@dataclass(frozen=True, slots=True)
class JobsPurged:
    """These jobs ended long ago; nobody may ask for them any more."""

    jobs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RunsPlaced:
    """Tasks of a step hold room: rows of index, run number and target."""

    step: StepKey
    rows: tuple[tuple[int, int, str], ...]


@dataclass(frozen=True, slots=True)
class RunFinished:
    """A run gave its room back; ``checkpoint`` is its newest checkpoint."""

    step: StepKey
    index: int
    number: int
    how: RunEnd
    checkpoint: str = ''


@dataclass(frozen=True, slots=True)
class InstanceClosed:
    """A target takes no new work; it drains."""

    instance: str


@dataclass(frozen=True, slots=True)
class InstanceEnded:
    """A target's life is over; nothing runs there."""

    instance: str


@dataclass(frozen=True, slots=True)
class EndsAcknowledged:
    """All ends of a target up to ``position`` are in the log."""

    instance: str
    position: int


@dataclass(frozen=True, slots=True)
class StepSnapshot:
    """A step's state in a snapshot; rows as in ``RunsPlaced``.

    ``numbers`` are rows of index and newest run number, ``failures`` of
    index (-1: the gang) and count, ``checkpoint`` of index and checkpoint;
    ``failed`` is the job's.
    """

    step: StepKey
    done: tuple[int, ...]
    numbers: tuple[tuple[int, int], ...]
    failures: tuple[tuple[int, int], ...]
    checkpoint: tuple[tuple[int, str], ...]
    rows: tuple[tuple[int, int, str], ...]
    failed: bool = False
