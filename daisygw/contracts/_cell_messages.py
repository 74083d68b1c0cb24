"""Messages between the processes of a cell.

``seq`` is the asker's own number for a question; the answer repeats it.
"""

from dataclasses import dataclass

from daisygw.contracts._jobs import CellConfig, JobSpec, JobVerb, StepKey


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A caller's request about a job or a queue."""

    seq: int
    verb: JobVerb
    host: str
    path: str
    job: JobSpec | None = None


@dataclass(frozen=True, slots=True)
class ConfigRequest:
    """An operator's new configuration, or (none given) a read of it."""

    seq: int
    cfg: CellConfig | None = None


@dataclass(frozen=True, slots=True)
class CellResponse:
    """The leader's answer; ``code`` is a result code.

    ``state`` and ``pending`` answer callers, ``document`` operators;
    ``retry_after`` (s) tells a refused caller when to come back.
    """

    seq: int
    code: int
    state: str = ''
    pending: int = 0
    document: bytes = b''
    retry_after: float = 0
    reason: str = ''


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Asks a process to call the placement advisor for the leader.

    ``work`` (s) is how long the call is expected to take.
    """

    seq: int
    step: StepKey
    targets: tuple[str, ...]
    work: float


@dataclass(frozen=True, slots=True)
class AdviceResponse:
    """The advisor's tickets: rows of target and ticket; or a failure."""

    seq: int
    answered: bool
    tickets: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class SchedulerList:
    """The schedulers known, and the one that leads (empty: none known)."""

    hosts: tuple[str, ...]
    leader: str
    term: int
