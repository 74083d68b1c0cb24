"""The working state of a failure domain's leader.

Nothing here is replicated: a newly elected leader builds it again from the
replicated state.  A decision is a plain function over ``DomainLeader``.  It
appends records for the log, and effects that are executed once those records
are committed.
"""

import heapq
from collections import Counter
from dataclasses import dataclass
from typing import Any

from daisygw.contracts import (
    ORDERINGS,
    Configuration,
    Job,
    Lanes,
    LaneSelector,
    TaskKey,
    TaskState,
)
from daisygw.machines import SCORINGS, FreeIndex, Score, Worker
from daisygw.zones._replicated import ReplicatedState, apply


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """Effect: send a message to an entry once the turn's records commit.

    With ``before_commit`` it does not wait for that, which is safe only for a
    message that reveals no decision.
    """

    entry: str
    message: Any
    before_commit: bool = False


@dataclass(frozen=True, slots=True)
class Reservation:
    """Workers reserved for a waiting gang, which can start at ``due`` (s)."""

    job: str
    workers: frozenset[str]
    due: float


class Observation:
    """What a leader knows of one target; times on the leader's clock (s).

    ``number`` is that of the newest announcement, 0 before the first.
    Another incarnation announced itself under the name at ``contested_at``.
    ``failures`` names the tasks that failed there since the last success, and
    ``probe_due`` is when a quarantine ends.
    """

    def __init__(self, incarnation: str, lease_end: float) -> None:
        """Begin without an announcement in this term."""
        self.incarnation = incarnation
        self.number = 0
        self.last_seen = float('-inf')
        self.lease_end = lease_end
        self.avoided_until = float('-inf')
        self.contested_at = float('-inf')
        self.failures: set[str] = set()
        self.probe_due = float('inf')


class OutstandingOrder:
    """An order sent for an attempt that is not closed yet.

    ``entries`` are those that were given the order.  ``sender_unknown`` marks
    an order that may have been sent by an entry that does not know of it, as an
    earlier leader placed the attempt or one of ``entries`` may have restarted.
    ``running`` marks an attempt that its target has listed.  ``stopping`` is
    the code with which it is being stopped, or 0.
    ``absent_since`` is the number of the first announcement that lacked the
    attempt after the order had expired, 0 while there is none.
    """

    def __init__(self, attempt: int, at: float) -> None:
        """Begin with no entry; ``at`` is on the leader's clock (s)."""
        self.attempt = attempt
        self.at = at
        self.entries: set[str] = set()
        self.sender_unknown = False
        self.running = False
        self.stopping = 0
        self.absent_since = 0
        self.resends = 0


class DomainLeader:
    """The working state of a failure domain's leader.

    ``serving_entries`` maps a job to the entries that serve its callers;
    ``parked`` maps a job without such an entry to the time (s) at which its
    queued tasks end.  ``long_tasks`` are the leased tasks of the long lane,
    ``long_slots`` their slots; ``speeds`` holds the relative run times of
    targets.  ``deadlines`` and ``ended`` are heaps of (time (s), job): when
    its queued tasks end, and when an ended job is purged.  ``now`` is monotonic
    (s), ``wall`` since the epoch (ms).
    """

    def __init__(
        self,
        domain: str,
        share: float,
        replicated: ReplicatedState,
        cfg: Configuration,
        term: int,
    ) -> None:
        """Begin with empty queues; ``share`` is the domain's part of quotas."""
        self.domain = domain
        self.share = share
        self.replicated = replicated
        self.term = term
        self.now = 0.0
        self.wall = 0
        self.records: list[Any] = []
        self.outbox: list[OutgoingMessage] = []
        self.lanes = Lanes()
        self.index = FreeIndex()
        self.observations: dict[str, Observation] = {}
        self.serving_entries: dict[str, set[str]] = {}
        self.entries: dict[str, None] = {}
        self.orders: dict[TaskKey, OutstandingOrder] = {}
        self.parked: dict[str, float] = {}
        self.long_slots = 0
        self.long_tasks: set[TaskKey] = set()
        self.refusals: Counter[tuple[str, int]] = Counter()
        self.deadlines: list[tuple[float, str]] = []
        self.ended: list[tuple[float, str]] = []
        self.sweep_due = 0.0
        self.decisions = 0
        self.speeds: dict[str, float] = {}
        self.reservation: Reservation | None = None
        self.configure(cfg)

    def configure(self, cfg: Configuration) -> None:
        """Replace the configuration."""
        self.cfg = cfg
        self.policy = cfg.policy
        self.total_weight = sum(team.weight for team in cfg.teams.values())
        self.lane_of: LaneSelector = ORDERINGS[cfg.policy.ordering](cfg.policy)
        scoring = SCORINGS[cfg.policy.scoring]
        self.score: Score = scoring(self.index.slowness)


def record(lead: DomainLeader, change: Any) -> None:
    """Apply a record to the replicated state and add it to the log.

    It may be lost until it is committed, so effects wait for the commit.
    """
    apply(lead.replicated, change)
    lead.records.append(change)


def send_to_entry(lead: DomainLeader, entry: str, message: Any) -> None:
    """Add a message to an entry to the effects."""
    lead.outbox.append(OutgoingMessage(entry, message))


def send_to_serving_entries(lead: DomainLeader, job: str, message: Any) -> None:
    """Add a message to every entry that serves the job's callers."""
    for entry in lead.serving_entries.get(job, ()):
        send_to_entry(lead, entry, message)


def is_open(lead: DomainLeader, worker: Worker) -> bool:
    """Tell whether a worker may be given new tasks now."""
    observation = lead.observations.get(worker.spec.name)
    return (
        worker.open
        and observation is not None
        and observation.number > 0
        and lead.now >= observation.avoided_until
    )


def schedule_purge(lead: DomainLeader, job: Job) -> None:
    """Schedule an ended job's purge in ``policy.keep_outcomes`` seconds."""
    due = lead.now + lead.policy.keep_outcomes
    heapq.heappush(lead.ended, (due, job.contract.id))


def leased_tasks(job: Job) -> list[int]:
    """Return the indexes of a job's tasks that hold a lease."""
    return [task.index for task in job.tasks if task.state is TaskState.LEASED]


def collect_output(
    lead: DomainLeader,
) -> tuple[list[Any], list[OutgoingMessage]]:
    """Return the records and effects since the last call, and clear them."""
    records = lead.records
    outbox = lead.outbox
    lead.records = []
    lead.outbox = []
    return records, outbox
