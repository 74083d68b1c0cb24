"""Types that describe a load on a cell."""

from dataclasses import dataclass

from daisygw.contracts import Advisor


@dataclass(frozen=True, slots=True)
class JobKind:
    """One kind of job: its rate (1/s), shape, objective and worth.

    ``steps`` is the mean number of steps of a job, ``tasks_per_step`` the
    mean number of tasks of a step.  ``work`` (s), ``cpus`` (thousandths) and
    ``memory`` (MiB) are means for one task.  ``gangs`` is the share of steps
    that are gangs, ``approved`` the share of targets that the advisor
    approves.  A job's objective is ``slack`` times its critical path plus
    ``latency`` (s).  ``worth`` is earned within it, ``late_worth`` after it.
    ``attempts`` limits the runs of a task; ``priority`` 0 is the highest.
    ``off`` is the error of estimates (sigma of a log-normal factor).
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
    late_worth: float
    advisor: Advisor
    approved: float
    attempts: int
    off: float


@dataclass(frozen=True, slots=True)
class Burst:
    """A burst: ``factor`` times the usual arrival rate of a kind.

    It begins at ``at`` (s) and lasts ``seconds``.
    """

    kind: str
    at: float
    seconds: float
    factor: float


@dataclass(frozen=True, slots=True)
class Surge:
    """A customer sends ``factor`` times its usual jobs.

    ``customer`` is its index in ``Load.weights``; the surge begins at ``at``
    (s) and lasts ``seconds``.
    """

    customer: int
    at: float
    seconds: float
    factor: float


@dataclass(frozen=True, slots=True)
class Load:
    """A load profile: kinds of jobs, targets, and callers of advice.

    ``rack`` is the number of targets per rack.  Jobs arrive for ``seconds``;
    arrival rates vary as a sine with the relative amplitude ``rate_swing``
    and the period ``swing_period`` (s).  Targets have ``target_cpus``
    (thousandths) and ``target_memory`` (MiB).  Customers send jobs in
    proportion to their ``weights``; there are none without weights.  A
    customer's limit is ``limit_factor`` times its share of the processors.
    """

    kinds: tuple[JobKind, ...]
    targets: int
    rack: int
    callers: int
    bursts: tuple[Burst, ...] = ()
    seconds: float = 34.0
    rate_swing: float = 0.55
    swing_period: float = 15.0
    target_cpus: int = 64_000
    target_memory: int = 262_144
    weights: tuple[int, ...] = ()
    surge: Surge | None = None
    limit_factor: float = 2.0
