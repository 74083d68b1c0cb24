"""What a failure domain's leader keeps besides the replicated state.

All of it is rebuilt when a leader is elected; nothing here is replicated.
A decision is a plain function over ``DomainLeader``: it appends records for
the log and effects to be carried out once those records are committed.
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
    """Effect: send a message to an entry once the log is committed.

    With ``before_commit`` it waits for no commit: it tells nobody of a
    decision.
    """

    entry: str
    message: Any
    before_commit: bool = False


@dataclass(frozen=True, slots=True)
class Reservation:
    """Workers that a waiting gang will use from ``due`` (s) on."""

    job: str
    workers: frozenset[str]
    due: float


class Observation:
    """What a leader has seen of one target, on its own clock (s)."""

    def __init__(self, incarnation: str, lease_end: float) -> None:
        """Begin unseen: no announcement in this term yet."""
        self.incarnation = incarnation
        self.number = 0
        self.seen = float('-inf')
        self.lease_end = lease_end
        self.avoided_at = float('-inf')
        self.past: set[str] = set()
        self.failures: set[str] = set()
        self.probe_due = float('inf')


class Ordered:
    """An order given in this term, until its attempt is over."""

    def __init__(self, attempt: int, at: float) -> None:
        """Begin at ``at`` on the leader's clock (s)."""
        self.attempt = attempt
        self.at = at
        self.entries: set[str] = set()
        self.inherited = False
        self.running = False
        self.stopping = 0
        self.proof = 0
        self.resent = 0


class DomainLeader:
    """What a failure domain's leader keeps over the replicated state."""

    def __init__(
        self,
        domain: str,
        share: float,
        replicated: ReplicatedState,
        cfg: Configuration,
        term: int,
    ) -> None:
        """Begin without queues; ``share`` is the domain's of every quota."""
        self.domain = domain
        self.share = share
        self.replicated = replicated
        self.term = term
        self.now = 0.0
        self.wall = 0
        self.records: list[Any] = []
        self.effects: list[OutgoingMessage] = []
        self.lanes = Lanes()
        self.index = FreeIndex()
        self.observations: dict[str, Observation] = {}
        self.holders: dict[str, set[str]] = {}
        self.entries: dict[str, None] = {}
        self.orders: dict[TaskKey, Ordered] = {}
        self.parked: dict[str, float] = {}
        self.long_slots = 0
        self.long_tasks: set[TaskKey] = set()
        self.refusals: Counter[tuple[str, int]] = Counter()
        self.deadlines: list[tuple[float, str]] = []
        self.ended: list[tuple[float, str]] = []
        self.sweep_due = 0.0
        self.decisions = 0
        self.speeds: dict[str, float] = {}
        self.reserved: Reservation | None = None
        self.configure(cfg)

    def configure(self, cfg: Configuration) -> None:
        """Use another configuration from now on."""
        self.cfg = cfg
        self.policy = cfg.policy
        self.weights = sum(team.weight for team in cfg.teams.values())
        self.lane_of: LaneSelector = ORDERINGS[cfg.policy.ordering](cfg.policy)
        scoring = SCORINGS[cfg.policy.scoring]
        self.score: Score = scoring(self.index.slowness)


def record(lead: DomainLeader, change: Any) -> None:
    """Change the replicated state now; the change counts once committed."""
    apply(lead.replicated, change)
    lead.records.append(change)


def send_message(lead: DomainLeader, entry: str, message: Any) -> None:
    """Leave a message to an entry."""
    lead.effects.append(OutgoingMessage(entry, message))


def send_to_waiting_entries(lead: DomainLeader, job: str, message: Any) -> None:
    """Leave a message to every entry that holds the job's callers."""
    for entry in lead.holders.get(job, ()):
        send_message(lead, entry, message)


def is_open(lead: DomainLeader, worker: Worker) -> bool:
    """Tell whether new work may go to a worker at this moment."""
    observation = lead.observations.get(worker.spec.name)
    return (
        worker.open
        and observation is not None
        and observation.number > 0
        and lead.now >= observation.avoided_at
    )


def keep_until(lead: DomainLeader, job: Job) -> None:
    """Let an ended job stay known for as long as outcomes are kept."""
    due = lead.now + lead.policy.keep_outcomes
    heapq.heappush(lead.ended, (due, job.contract.id))


def leased_tasks(job: Job) -> list[int]:
    """Return the indexes of a job's tasks that hold a lease."""
    return [task.index for task in job.tasks if task.state is TaskState.LEASED]


def collect_output(
    lead: DomainLeader,
) -> tuple[list[Any], list[OutgoingMessage]]:
    """Return the records and effects of this turn, and begin the next."""
    records = lead.records
    effects = lead.effects
    lead.records = []
    lead.effects = []
    return records, effects
