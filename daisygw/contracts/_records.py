"""Records of the log that change jobs and tasks.

All times are in milliseconds since the epoch, stamped by the leader.
"""

from dataclasses import dataclass

from daisygw.contracts._request import Contract


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A request was accepted; its tasks wait to be placed."""

    contract: Contract
    at: int


@dataclass(frozen=True, slots=True)
class TaskPlaced:
    """A task's next attempt holds capacity on a target."""

    job: str
    index: int
    attempt: int
    target: str
    incarnation: str
    at: int


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A task is over, with a result code; ``run`` is in milliseconds."""

    job: str
    index: int
    attempt: int
    code: int
    at: int
    run: int = 0


@dataclass(frozen=True, slots=True)
class TaskRequeued:
    """An attempt is over and the task waits again.

    ``code`` says why; ``fault`` tells whether it counts against the retry
    budget and the target.
    """

    job: str
    index: int
    attempt: int
    code: int
    at: int
    fault: bool = False


@dataclass(frozen=True, slots=True)
class JobPurged:
    """An ended job was kept long enough and leaves the replicated state."""

    job: str


@dataclass(frozen=True, slots=True)
class RefusalsCounted:
    """How many submissions of a team were refused with one code."""

    team: str
    code: int
    count: int
