"""Targets under leases: one life of a target, and what a leader knows of it.

A target's clock is its own and may run slow; all that runs there is over
once that clock has passed the latest time the target was ever given.
"""

from dataclasses import dataclass

from daisygw.contracts import Size, StepKey

# Milliseconds in a second.
MS_PER_SECOND = 1000
# The platform's targets may measure a second as up to 2 % longer.
MAX_CLOCK_DRIFT = 0.02
# Covers the way back of an answer and the rounding of both clocks, s.
CLOCK_MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class TargetLife:
    """One life of a target: its name and the time of its start (ms)."""

    name: str
    born: int
    service: str
    address: str
    domain: str
    capacity: Size
    kind: str = ''
    rack: str = ''


@dataclass(frozen=True, slots=True)
class LifeListed:
    """Record: a target has announced a new life."""

    life: TargetLife


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target says of itself; ``number`` grows within a life.

    ``left`` means that it ends now; its ``life`` may then be unknown.
    """

    seq: int
    name: str
    life: TargetLife | None
    number: int = 0
    draining: bool = False
    left: bool = False


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that a target lists: its newest checkpoint and progress (%)."""

    step: StepKey
    index: int
    number: int
    saved: str
    percent: int


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """An end that a target lists until the leader has noted ``position``."""

    position: int
    step: StepKey
    index: int
    number: int
    how: str
    saved: str


@dataclass(frozen=True, slots=True)
class Holding:
    """A target's answer to a renewal: its clock (ms), runs and ends."""

    born: int
    clock: int
    active: tuple[ActiveRun, ...]
    ended: tuple[ListedEnd, ...]


def life_key(life: TargetLife) -> str:
    """Return the name of one life of a target."""
    return f'{life.name}@{life.born}'


class LeaseState:
    """What a leader knows of one target's life; times on its own clock."""

    def __init__(self, now: float, expired_at: float) -> None:
        """Begin unseen; earlier grants are over at ``expired_at`` (s)."""
        self.known_since = now
        self.inherited_until = expired_at
        self.clock_read_at = 0.0
        self.clock = 0
        self.granted_until = 0
        self.expired_at = expired_at
        self.last_answer_at = float('-inf')
        self.has_answered = False
        self.noted = 0
        self.failures = 0
        self.suspected_at = float('-inf')
        self.barred_until = float('-inf')


def is_sure(lease_state: LeaseState) -> bool:
    """Tell whether a target has answered all that it was asked last."""
    answers = lease_state.has_answered and lease_state.failures == 0
    return answers and lease_state.last_answer_at > lease_state.suspected_at


def record_clock(lease_state: LeaseState, received: float, clock: int) -> None:
    """Take a reading of the target's clock (ms) received just now."""
    lease_state.clock_read_at = received
    lease_state.clock = clock
    lease_state.last_answer_at = received
    _update_expiry(lease_state)


def grant_lease(lease_state: LeaseState, now: float, lease: float) -> int:
    """Return a time on the target's clock (ms), ``lease`` s from now."""
    passed = max(now - lease_state.clock_read_at, 0) * (1 - MAX_CLOCK_DRIFT)
    until = lease_state.clock + int((passed + lease) * MS_PER_SECOND)
    lease_state.granted_until = max(lease_state.granted_until, until)
    _update_expiry(lease_state)
    return until


def _update_expiry(lease_state: LeaseState) -> None:
    """Work out when the target's clock has surely passed all grants."""
    left = max(lease_state.granted_until - lease_state.clock, 0) / MS_PER_SECOND
    passed = (
        lease_state.clock_read_at
        + left * (1 + 2 * MAX_CLOCK_DRIFT)
        + CLOCK_MARGIN_S
    )
    lease_state.expired_at = max(passed, lease_state.inherited_until)
