"""Settings of a cell's processes, and the calls that they make."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from daisygw.cell import LeaseRenewal, OrderOutcome, Run, StartOrder
from daisygw.contracts import StepKey
from daisygw.machines import RenewalReply, TargetInstance


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Location of one process, and how it finds the others.

    ``host`` is its IP address; schedulers accept links at ``port`` on every
    host, and ``seeds`` are the hosts contacted first.  ``first_start`` is
    true only when the cell is bootstrapped.  ``data`` is the data directory
    (None without a disk); ``grace`` is the time allowed for shutdown (s);
    ``longest_lease`` is the longest lease that targets accept (s).
    """

    name: str
    host: str
    domain: str
    port: int
    seeds: tuple[str, ...]
    first_start: bool
    data: Path | None
    grace: float
    longest_lease: float


@dataclass(frozen=True, slots=True)
class TargetCalls:
    """Calls to targets and the placement advisor; each may raise LinkError.

    ``start`` takes a target instance, the order, a deadline on the target's
    clock (ms) and the fencing token, and returns the outcome and its reason;
    ``stop`` takes an instance, the run and the token; ``renew`` an instance,
    the token and the lease renewal; ``advise`` a step, target names and a
    timeout (s), and returns pairs of target name and ticket.  ``disconnect``
    closes all connections to targets; open calls fail.
    """

    start: Callable[
        [TargetInstance, StartOrder, int, int],
        Awaitable[tuple[OrderOutcome, str]],
    ]
    stop: Callable[[TargetInstance, Run, int], Awaitable[OrderOutcome]]
    renew: Callable[
        [TargetInstance, int, LeaseRenewal],
        Awaitable[RenewalReply],
    ]
    advise: Callable[
        [StepKey, tuple[str, ...], float],
        Awaitable[tuple[tuple[str, str], ...]],
    ]
    disconnect: Callable[[], Awaitable[None]]
