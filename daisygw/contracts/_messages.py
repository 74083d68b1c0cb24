"""Messages between an entry and a scheduler about requests.

``seq`` is the entry's own number for a question; the answer repeats it.
"""

from dataclasses import dataclass

from daisygw.contracts._request import Contract
from daisygw.contracts._task import TaskKey


@dataclass(frozen=True, slots=True)
class SelectGroup:
    """The messages that follow on this link concern one replica group.

    A group is named by its failure domain, or is the configuration's.
    """

    group: str


@dataclass(frozen=True, slots=True)
class LeaderStatus:
    """A scheduler leads a group now, or (``leads`` false) not any more."""

    group: str
    host: str
    term: int
    leads: bool = True


@dataclass(frozen=True, slots=True)
class Submit:
    """Hand a request to its home; harmless when repeated."""

    seq: int
    contract: Contract


@dataclass(frozen=True, slots=True)
class TaskReport:
    """What the entry saw of an attempt; ``run`` is in milliseconds.

    A code of the not-run class means that the order never left the entry.
    """

    key: TaskKey
    attempt: int
    code: int
    run: int = 0


@dataclass(frozen=True, slots=True)
class OrderRejected:
    """The entry got an order for a job that it does not carry out any more."""

    key: TaskKey
    attempt: int


@dataclass(frozen=True, slots=True)
class RefusedAtEntry:
    """A submission that the entry refused itself, for the tally."""

    team: str
    code: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel jobs by id, all answered at once."""

    seq: int
    jobs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Drain:
    """Close a target to new work, or open it again."""

    seq: int
    target: str
    drained: bool


@dataclass(frozen=True, slots=True)
class Query:
    """Ask for a view of the replicated state: ``view`` names it."""

    seq: int
    view: str
    name: str = ''


@dataclass(frozen=True, slots=True)
class Change:
    """Ask for a change of the configuration from version ``expected``.

    ``at`` is when it was asked, in milliseconds since the epoch.
    """

    seq: int
    change: str
    expected: int
    operator: str
    at: int
    base: str
    overlays: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class SchedulerResponse:
    """Answers any question; ``retry_after`` is in seconds.

    ``leader`` names the host to ask instead where the code is NO_LEADER;
    ``view`` is a JSON text.
    """

    seq: int
    code: int
    reason: str = ''
    retry_after: float = 0
    leader: str = ''
    view: str = ''


@dataclass(frozen=True, slots=True)
class TaskSettled:
    """Tells an entry how a task ended, and at which target if at any."""

    key: TaskKey
    attempt: int
    code: int
    address: str = ''
