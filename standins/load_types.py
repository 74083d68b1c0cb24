"""What a load on a cell is made of."""

from dataclasses import dataclass

from daisygw.contracts import Advisor


@dataclass(frozen=True, slots=True)
class JobKind:
    """One kind of job: its rate (1/s), shape, objective and worth.

    ``work`` (s), ``cpus`` (thousandths) and ``memory`` (MiB) are means of
    one task; ``approved`` is the share of targets that an advisor approves,
    ``off`` how far estimates are off (the sigma of a log-normal factor).
    """

    name: str
    rate: float
    steps: float
    tasks_per_step: float
    work: float
    cpus: int
    memory: int
    gangs: float
    slack: float
    latency: float
    priority: int
    worth: float
    late: float
    advisor: Advisor
    approved: float
    attempts: int
    off: float


@dataclass(frozen=True, slots=True)
class Burst:
    """``factor`` times the usual arrivals of a kind for ``seconds``."""

    kind: str
    at: float
    seconds: float
    factor: float


@dataclass(frozen=True, slots=True)
class Load:
    """What a cell is to carry: kinds of jobs, targets, callers of advice."""

    kinds: tuple[JobKind, ...]
    targets: int
    rack: int
    callers: int
    bursts: tuple[Burst, ...] = ()
    seconds: float = 34.0
    swing: float = 0.55
    period: float = 15.0
