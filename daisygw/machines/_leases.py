"""Target instances, their status reports, and the leases they hold.

A target measures its lease on its own clock, which may run slow.  Everything
it runs has ended once that clock has passed the end of its latest lease.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from daisygw.contracts import Size, StepKey

MS_PER_S = 1000
# Fraction by which a target's clock may run slow, according to the platform.
MAX_CLOCK_DRIFT = 0.02
# Covers the network delay of a reply and the rounding of both clocks.
CLOCK_MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class TargetInstance:
    """One target process, identified by its name and start time (ms)."""

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
    """Record: a target has reported a new instance."""

    instance: TargetInstance


@dataclass(frozen=True, slots=True)
class TargetReport:
    """A target's status report; ``number`` grows within an instance.

    ``left`` means that the target shuts down; ``instance`` may then be none.
    """

    seq: int
    name: str
    instance: TargetInstance | None
    number: int = 0
    draining: bool = False
    left: bool = False


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that a target lists, its newest checkpoint and progress (%)."""

    step: StepKey
    index: int
    number: int
    checkpoint: str
    percent: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """An ended run that a target lists until ``position`` is acknowledged."""

    position: int
    step: StepKey
    index: int
    number: int
    how: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class RenewalReply:
    """A target's reply to a lease renewal: its clock (ms), runs and ends.

    ``born`` is the start time (ms) of the instance that replied.  ``ended``
    may be the first page of a longer list: with ``more_ended``, ends that it
    lacks may follow once those that it has are acknowledged.
    """

    born: int
    clock: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    more_ended: bool = False


# The reply of a target with another name, which has no part in the call.
OTHER_TARGET = RenewalReply(-1, 0, (), ())


def instance_key(instance: TargetInstance) -> str:
    """Return the key that identifies a target instance."""
    return f'{instance.name}@{instance.born}'


def agrees(one: TargetInstance, other: TargetInstance) -> bool:
    """Tell whether two reports of an instance agree on what cannot change."""
    return (one.service, one.address) == (other.service, other.address)


def keys_in_dispute(instances: Sequence[TargetInstance]) -> list[str]:
    """Return the keys of the instances that share a name or address."""
    names = Counter(instance.name for instance in instances)
    addresses = Counter(instance.address for instance in instances)
    return [
        instance_key(instance)
        for instance in instances
        if names[instance.name] > 1 or addresses[instance.address] > 1
    ]


class LeaseState:
    """What a leader knows about a target instance and its lease.

    Times are on the leader's clock (s), except ``clock`` and
    ``granted_until``, which are on the target's clock (ms).  ``noted`` is the
    acknowledged position of its run ends, ``failures`` the number of renewals
    in a row that were not answered.  Leases that an earlier leader granted
    have ended at ``inherited_until``, all leases at ``expires_at``.  A target
    is quarantined after failed jobs, and unavailable after a refused start.
    Since ``disputed_at`` another instance has been known with its name or
    address; a reply to a later renewal tells which of them is there.
    ``generation`` is part of the fencing token of its calls: it is higher than
    in all calls that were sent before the instance became known.
    """

    def __init__(
        self, now: float, expires_at: float, generation: int = 0
    ) -> None:
        """Begin without answers; earlier leases end at ``expires_at`` (s)."""
        self.generation = generation
        self.known_since = now
        self.inherited_until = expires_at
        self.clock_read_at = 0.0
        self.clock = 0
        self.granted_until = 0
        self.expires_at = expires_at
        self.last_answer_at = float('-inf')
        self.has_answered = False
        self.noted = 0
        self.failures = 0
        self.suspected_at = float('-inf')
        self.quarantined_until = float('-inf')
        self.unavailable_until = float('-inf')
        self.disputed_at = float('-inf')


def is_responsive(lease_state: LeaseState) -> bool:
    """Tell whether a target has answered the latest renewals and orders."""
    reachable = lease_state.has_answered and lease_state.failures == 0
    suspected = lease_state.last_answer_at <= lease_state.suspected_at
    return reachable and not suspected and not is_disputed(lease_state)


def is_disputed(lease_state: LeaseState) -> bool:
    """Tell whether another instance may have replaced this one."""
    return lease_state.disputed_at > float('-inf')


def record_clock(lease_state: LeaseState, received: float, clock: int) -> None:
    """Record a reading of the target's clock (ms), ``received`` at a time (s).

    ``received`` is on the leader's clock.
    """
    lease_state.clock_read_at = received
    lease_state.clock = clock
    lease_state.last_answer_at = received
    _update_expiry(lease_state)


def grant_lease(lease_state: LeaseState, now: float, lease: float) -> int:
    """Grant a lease (s); return its end on the target's clock (ms)."""
    elapsed = max(now - lease_state.clock_read_at, 0) * (1 - MAX_CLOCK_DRIFT)
    until = lease_state.clock + int((elapsed + lease) * MS_PER_S)
    lease_state.granted_until = max(lease_state.granted_until, until)
    _update_expiry(lease_state)
    return until


def granted_expiry(lease_state: LeaseState) -> float:
    """Return when the leases granted by this leader have ended for sure (s)."""
    remaining = max(lease_state.granted_until - lease_state.clock, 0) / MS_PER_S
    return (
        lease_state.clock_read_at
        + remaining * (1 + 2 * MAX_CLOCK_DRIFT)
        + CLOCK_MARGIN_S
    )


def assume_longest_lease(
    lease_state: LeaseState, clock: int, longest_lease: float
) -> None:
    """Assume that a target holds the longest lease (s) at ``clock`` (ms).

    Until a leader's call has reached an instance, it may have carried out a
    renewal that was meant for the instance before, on whose clock the deadline
    was set.
    """
    lease_state.granted_until = clock + int(longest_lease * MS_PER_S)


def lease_bound(longest_lease: float) -> float:
    """Return how long (s) a lease may last that is granted now."""
    return longest_lease * (1 + 2 * MAX_CLOCK_DRIFT) + CLOCK_MARGIN_S


def _update_expiry(lease_state: LeaseState) -> None:
    """Compute when the target's clock has certainly passed all its leases."""
    expiry = granted_expiry(lease_state)
    lease_state.expires_at = max(expiry, lease_state.inherited_until)
