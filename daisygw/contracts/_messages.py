"""Messages between an entry and a scheduler about requests.

``seq`` is a request/response correlation id: the entry chooses it, and the
response carries the same value.
"""

from dataclasses import dataclass

from daisygw.contracts._request import Contract
from daisygw.contracts._task import TaskKey


@dataclass(frozen=True, slots=True)
class SelectGroup:
    """Selects the replica group of the messages that follow on this link.

    A group has the name of its failure domain; the one that replicates the
    configuration is ``CONFIGURATION_GROUP``.
    """

    group: str


@dataclass(frozen=True, slots=True)
class LeaderStatus:
    """Announces that a scheduler leads a group, or no longer leads it."""

    group: str
    host: str
    term: int
    leads: bool = True


@dataclass(frozen=True, slots=True)
class Submit:
    """Submits a request to its home; idempotent."""

    seq: int
    contract: Contract


@dataclass(frozen=True, slots=True)
class TaskReport:
    """Reports the result of an attempt; ``run`` is in milliseconds.

    A code of the not-run class means that the entry never sent the order to
    the target.
    """

    key: TaskKey
    attempt: int
    code: int
    run: int = 0


@dataclass(frozen=True, slots=True)
class OrderRejected:
    """Rejects an order for a job that the entry no longer handles."""

    key: TaskKey
    attempt: int


@dataclass(frozen=True, slots=True)
class RefusedAtEntry:
    """Counts a submission that the entry refused on its own."""

    team: str
    code: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels jobs by id, with one response for all of them."""

    seq: int
    jobs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Drain:
    """Closes a target to new work, or opens it again."""

    seq: int
    target: str
    drained: bool


@dataclass(frozen=True, slots=True)
class Query:
    """Requests the view called ``view``; ``name`` is the job of a job view."""

    seq: int
    view: str
    name: str = ''


@dataclass(frozen=True, slots=True)
class Change:
    """Requests a change to the configuration of version ``expected``.

    ``at`` is the time of the request in milliseconds since the Unix epoch.
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
    """Response to any request; ``retry_after`` is in seconds.

    Where the code is NO_LEADER, ``leader`` names the host to send the request
    to instead.  ``view`` is a JSON text.
    """

    seq: int
    code: int
    reason: str = ''
    retry_after: float = 0
    leader: str = ''
    view: str = ''


@dataclass(frozen=True, slots=True)
class TaskSettled:
    """Reports the result of a task to an entry.

    ``address`` is that of the target, empty where the task had none.
    """

    key: TaskKey
    attempt: int
    code: int
    address: str = ''
