"""Messages between the processes of a cell.

``seq`` is a request/response correlation id: the sender of a request chooses
it, and the response carries the same value.
"""

from dataclasses import dataclass

from daisygw.contracts._jobs import (
    CellConfig,
    JobSpec,
    JobVerb,
    RequestLimits,
    StepKey,
)


@dataclass(frozen=True, slots=True)
class JobRequest:
    """Forwards a caller's request about a job or a queue to the leader.

    ``key`` is the SHA-256 digest of the caller's key, empty without one.  A
    submission whose job is invalid has no ``job``; it is refused.  The caller
    of an ``overdue`` request has stopped waiting.
    """

    seq: int
    verb: JobVerb
    host: str
    path: str
    job: JobSpec | None = None
    key: bytes = b''
    overdue: bool = False


@dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Replaces the configuration, or reads it where ``cfg`` is None."""

    seq: int
    cfg: CellConfig | None = None


@dataclass(frozen=True, slots=True)
class CellResponse:
    """The leader's response; ``code`` is a result code.

    ``state`` and ``pending`` are for callers, ``document`` is for operators.
    ``retry_after`` is the delay (s) before a refused caller should retry.
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

    ``targets`` are the names of the targets to decide on, and ``work`` is the
    expected duration of that call (s).
    """

    seq: int
    step: StepKey
    targets: tuple[str, ...]
    work: float


@dataclass(frozen=True, slots=True)
class AdviceResponse:
    """The advisor's approvals: pairs of target and ticket.

    A start order on that target must carry the ticket.
    ``answered`` is false where the call to the advisor failed.
    """

    seq: int
    answered: bool
    tickets: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class SchedulerList:
    """The known schedulers, and the current leader ('' if unknown).

    ``limits`` are those of the newest configuration that the sender has.
    """

    hosts: tuple[str, ...]
    leader: str
    term: int
    limits: RequestLimits | None = None
