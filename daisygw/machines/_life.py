"""Targets under leases: one life of a target, and what a leader knows of it.

A target's clock is its own and may run slow; all that runs there is over
once that clock has passed the latest time the target was ever given.
"""

from dataclasses import dataclass

from daisygw.contracts import Size, StepKey

# Milliseconds in a second.
MS = 1000
# The platform's targets may measure a second as up to 2 % longer.
CLOCK_DRIFT = 0.02
# Covers the way back of an answer and the rounding of both clocks, s.
CLOCK_MARGIN = 0.1


@dataclass(frozen=True, slots=True)
class TargetInstance:
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
class InstanceListed:
    """Record: a target has announced a new life."""

    instance: TargetInstance


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target says of itself; ``number`` grows within a life.

    ``left`` means that it ends now; its ``instance`` may then be unknown.
    """

    seq: int
    name: str
    instance: TargetInstance | None
    number: int = 0
    draining: bool = False
    left: bool = False


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that a target lists: its newest checkpoint and progress (%)."""

    step: StepKey
    index: int
    number: int
    checkpoint: str
    percent: int


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """An end that a target lists until the leader has noted ``position``."""

    position: int
    step: StepKey
    index: int
    number: int
    how: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class RenewalReply:
    """A target's answer to a renewal: its clock (ms), runs and ends."""

    born: int
    clock: int
    active: tuple[ActiveRun, ...]
    ended: tuple[ListedEnd, ...]


def instance_key(instance: TargetInstance) -> str:
    """Return the name of one life of a target."""
    return f'{instance.name}@{instance.born}'


class Contact:
    """What a leader knows of one target's life; times on its own clock."""

    def __init__(self, now: float, over_at: float) -> None:
        """Begin unseen; earlier grants are over at ``over_at`` (s)."""
        self.known = now
        self.inherited = over_at
        self.read_at = 0.0
        self.clock = 0
        self.granted = 0
        self.over_at = over_at
        self.seen = float('-inf')
        self.reached = False
        self.noted = 0
        self.failures = 0
        self.doubted = float('-inf')
        self.quarantined_until = float('-inf')


def is_responsive(contact: Contact) -> bool:
    """Tell whether a target has answered all that it was asked last."""
    answers = contact.reached and contact.failures == 0
    return answers and contact.seen > contact.doubted


def note_clock(contact: Contact, received: float, clock: int) -> None:
    """Take a reading of the target's clock (ms) received just now."""
    contact.read_at = received
    contact.clock = clock
    contact.seen = received
    _note_over(contact)


def grant(contact: Contact, now: float, lease: float) -> int:
    """Return a time on the target's clock (ms), ``lease`` s from now."""
    passed = max(now - contact.read_at, 0) * (1 - CLOCK_DRIFT)
    until = contact.clock + int((passed + lease) * MS)
    contact.granted = max(contact.granted, until)
    _note_over(contact)
    return until


def _note_over(contact: Contact) -> None:
    """Work out when the target's clock has surely passed all grants."""
    left = max(contact.granted - contact.clock, 0) / MS
    passed = contact.read_at + left * (1 + 2 * CLOCK_DRIFT) + CLOCK_MARGIN
    contact.over_at = max(passed, contact.inherited)
