"""What targets announce about themselves, and the log records about them."""

from dataclasses import dataclass

from daisygw.contracts import Size, TaskKey


@dataclass(frozen=True, slots=True)
class TargetSpec:
    """A target's description, which rarely changes.

    ``incarnation`` differs at each start of the target's process; a target
    that is ``leaving`` takes no new work.
    """

    name: str
    incarnation: str
    address: str
    capacity: Size
    rack: str = ''
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt that a target runs now."""

    key: TaskKey
    attempt: int


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that has ended on a target; ``run`` is its run time (ms).

    A code of the not-run class guarantees that it never starts there.
    """

    key: TaskKey
    attempt: int
    code: int
    run: int = 0


@dataclass(frozen=True, slots=True)
class Announcement:
    """One heartbeat of a target.

    ``number`` increments within an incarnation; ``heard`` is the newest
    number whose acknowledgement the target has received; ``ended`` is
    repeated until acknowledged; ``usage`` is the measured usage, which lags.
    """

    spec: TargetSpec
    number: int
    heard: int
    running: tuple[RunningAttempt, ...] = ()
    ended: tuple[EndedAttempt, ...] = ()
    usage: Size = Size(slots=0)


@dataclass(frozen=True, slots=True)
class TargetListed:
    """Record: a target announced itself or a change of its description."""

    spec: TargetSpec


@dataclass(frozen=True, slots=True)
class TargetDropped:
    """Record: a target's lease has expired; nothing runs there any more."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class TargetDrained:
    """Record: an operator closes a target to new work, or reopens it."""

    name: str
    drained: bool


@dataclass(frozen=True, slots=True)
class TargetQuarantined:
    """Record: a target is quarantined (``aside``), as its jobs fail, or not."""

    name: str
    aside: bool


@dataclass(frozen=True, slots=True)
class ForwardedAnnouncement:
    """Forwards a target's announcement to the leader of its domain."""

    announcement: Announcement


@dataclass(frozen=True, slots=True)
class AnnouncementAccepted:
    """Acknowledges an announcement, and renews the target's lease.

    ``lease`` (s) counts from when the target sent that announcement;
    ``order_age`` (s) is the maximum age of the announcement that an order
    names; ``every`` (s) is the interval of announcements.
    """

    name: str
    incarnation: str
    number: int
    lease: float
    order_age: float
    every: float
