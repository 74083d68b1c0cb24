"""Targets: the workers that run tasks, and what they announce."""

from dataclasses import dataclass

from daisygw.contracts import Size, TaskKey


@dataclass(frozen=True, slots=True)
class TargetSpec:
    """What a target says of itself; changes seldom.

    ``incarnation`` is new at each start of the target's process; a target
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
    """An attempt that a target has ended; ``run`` is in milliseconds.

    A code of the not-run class is a promise that it never starts there.
    """

    key: TaskKey
    attempt: int
    code: int
    run: int = 0


@dataclass(frozen=True, slots=True)
class Announcement:
    """One heartbeat of a target.

    ``number`` grows by one each time within an incarnation; ``heard`` is
    the newest number whose acknowledgement the target has received;
    ``ended`` repeats until acknowledged; ``usage`` is the usage measured,
    which lags.
    """

    spec: TargetSpec
    number: int
    heard: int
    running: tuple[RunningAttempt, ...] = ()
    ended: tuple[EndedAttempt, ...] = ()
    usage: Size = Size(slots=0)


@dataclass(frozen=True, slots=True)
class TargetListed:
    """Record: a target announced itself, or changed what it says."""

    spec: TargetSpec


@dataclass(frozen=True, slots=True)
class TargetDropped:
    """Record: a target's lease is over and nothing runs there any more."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class TargetDrained:
    """Record: an operator closes a target to new work, or opens it."""

    name: str
    drained: bool


@dataclass(frozen=True, slots=True)
class TargetQuarantined:
    """Record: a target fails what it starts, or a probe cleared it."""

    name: str
    aside: bool


@dataclass(frozen=True, slots=True)
class ForwardedAnnouncement:
    """Passes a target's announcement on to its domain's leader."""

    announcement: Announcement


@dataclass(frozen=True, slots=True)
class AnnouncementAccepted:
    """Acknowledges an announcement, and renews the target's lease.

    ``lease`` is in seconds from when the target sent that announcement;
    ``order_age`` (seconds) is how old an announcement an order may name.
    """

    name: str
    incarnation: str
    number: int
    lease: float
    order_age: float
    every: float
