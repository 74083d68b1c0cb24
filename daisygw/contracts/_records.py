"""Log records that change jobs and tasks.

All times are in milliseconds since the Unix epoch, on the leader's clock.
"""

from dataclasses import dataclass

from daisygw.contracts._request import Contract


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A request was accepted; its tasks are queued for placement."""

    contract: Contract
    at: int


@dataclass(frozen=True, slots=True)
class TaskPlaced:
    """The next attempt of a task reserved capacity on a target."""

    job: str
    index: int
    attempt: int
    target: str
    incarnation: str
    at: int


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A task ended with a result code; ``run`` is in milliseconds."""

    job: str
    index: int
    attempt: int
    code: int
    at: int
    run: int = 0


@dataclass(frozen=True, slots=True)
class TaskRequeued:
    """An attempt ended and its task is queued again.

    ``code`` is the result of the attempt; ``fault`` tells whether it counts
    against the retry budget and the target.
    """

    job: str
    index: int
    attempt: int
    code: int
    at: int
    fault: bool = False


@dataclass(frozen=True, slots=True)
class JobPurged:
    """An ended job was removed from the state after its retention time."""

    job: str


@dataclass(frozen=True, slots=True)
class RefusalsCounted:
    """Number of submissions of a team that were rejected with one code."""

    team: str
    code: int
    count: int
