"""What a process of a cell is told at its start."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from daisygw.cell import LeaseRenewal, OrderOutcome, Run, StartOrder
from daisygw.contracts import StepKey
from daisygw.machines import RenewalReply, TargetInstance


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """One process: where it stands, and how it finds the others.

    ``host`` is its IP number; schedulers listen for links at ``port`` on
    every host.  ``first_start`` is true only when the whole cell is new.
    ``data`` is the folder on disk (none without a disk); ``grace`` (s) is
    how long it may take to stop; targets take no lease over
    ``longest_lease`` (s).
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

    ``start`` and ``stop`` take the target's life, the order, (a deadline on
    the target's clock, ms) and the fence; ``hold`` the life, the fence and
    the renewal; ``advise`` a step, names of targets and a patience (s).
    """

    start: Callable[
        [TargetInstance, StartOrder, int, int],
        Awaitable[tuple[OrderOutcome, str]],
    ]
    stop: Callable[[TargetInstance, Run, int], Awaitable[OrderOutcome]]
    hold: Callable[
        [TargetInstance, int, LeaseRenewal],
        Awaitable[RenewalReply],
    ]
    advise: Callable[
        [StepKey, tuple[str, ...], float],
        Awaitable[tuple[tuple[str, str], ...]],
    ]
