"""What a cell's leader keeps besides the replicated state.

All of it is built anew when a leader is elected.  A decision is a plain
function over ``CellLeader``: it appends records for the log and effects that
are let out once those records are committed and while the leader's lease
holds.
"""

import itertools
from collections import deque
from dataclasses import dataclass
from typing import Any

from daisygw.cell._state import (
    Cell,
    JobRecord,
    Run,
    StepState,
    TargetState,
    apply,
    step_of,
)
from daisygw.contracts import (
    AdviceRequest,
    CellResponse,
    JobState,
    Queue,
    StepKey,
    critical_path,
)
from daisygw.machines import Contact
from daisygw.zones import OutgoingMessage

# How long a target may run on without hearing from the leader, s: longer
# than an election and a first round of renewals, and short enough that a
# lasting task of a lost target is soon restarted.
LEASE = 4.0
# Where the platform allows it, tasks that end by themselves are leased for
# longer, s: most cuts heal in this time, and what went on behind one is done.
LONG_LEASE = 8.5
# The part of the platform's longest lease that is asked for: clocks differ.
_LEASE_SHARE = 0.85
# An earlier leader's grants end this long after its longest lease, s: the
# drift of a target's clock (2 %) and a margin for a reading.
_INHERITED_MARGIN = 0.7
# A start that has not left after this long was lost on its way out, s: many
# times a commit; a pause of the process may have come between.
START_LOST = 1.0
# The name under which an effect is carried out by the leader's own process.
LOCAL_PROCESS = ''
# Older entries of a job's age come from clocks that jumped, s.
_OLDEST = 60.0


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Effect: tell a target to start a run."""

    run: Run
    payload: str
    checkpoint: str
    ticket: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Effect: tell a target to stop a run, or never to start it."""

    run: Run


@dataclass(frozen=True, slots=True)
class Probe:
    """Effect: look at once whether a target still answers."""

    instance: str


@dataclass(frozen=True, slots=True)
class EndsCommitted:
    """Effect: a target's ends up to ``position`` are durable."""

    instance: str
    position: int


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Effect: a line for the log about a decision."""

    event: str
    fields: tuple[tuple[str, Any], ...]


class Ordered:
    """An order given in this term, until its run is over.

    Times are the leader's own (s) but for ``deadline``, which is the
    target's (ms): a copy that arrives later is refused there.
    """

    def __init__(
        self, run: Run, at: float, start: StartOrder | None = None
    ) -> None:
        """Begin unsent; ``start`` is sent again if it does not leave soon."""
        self.run = run
        self.at = at
        self.start = start
        self.start_due = at + START_LOST if start else float('inf')
        self.deadline = 0
        self.answered = float('inf')
        self.unanswered = 0
        self.stop_due = float('inf')
        self.barred = float('inf')


class Approval:
    """What the placement advisor has said of a step."""

    def __init__(self) -> None:
        """Begin unasked."""
        self.tickets: dict[str, tuple[str, float]] = {}
        self.denied: set[str] = set()
        self.calls = 0
        self.retry_at = float('-inf')


@dataclass(frozen=True, slots=True)
class Pace:
    """How long a target takes beside others, learned from so many tasks."""

    slowness: float = 1.0
    tasks: int = 0


UNKNOWN_PACE = Pace()


class WaitingStep:
    """A step with tasks to start.  ``due`` is its latest useful start (s)."""

    def __init__(
        self,
        job: JobRecord,
        state: StepState,
        queue: Queue,
        times: tuple[float, float],
    ) -> None:
        """Wait for room; ``times`` are ``due`` and when it earns nothing."""
        self.job = job
        self.state = state
        self.queue = queue
        self.due, self.worthless = times
        self.avoid: dict[int, set[str]] = {}
        self.holds: dict[str, int] = {}


class CellLeader:
    """The leader's working state over its cell."""

    def __init__(
        self,
        cell: Cell,
        term: int,
        now: float,
        wall: float,
        longest_lease: float = LEASE,
    ) -> None:
        """Begin in ``term``; ``start_leading`` takes up what waits.

        Targets take no lease over ``longest_lease`` (s).
        """
        self.long_lease = min(LONG_LEASE, _LEASE_SHARE * longest_lease)
        self.long_lease = max(self.long_lease, LEASE)
        self.cell = cell
        self.term = term
        self.now = now
        self.wall = wall
        self.elected = now
        self.records: list[Any] = []
        self.outbox: list[OutgoingMessage] = []
        self.waiting: dict[StepKey, WaitingStep] = {}
        self.approvals: dict[StepKey, Approval] = {}
        self.asks: dict[int, tuple[StepKey, tuple[str, ...], float]] = {}
        self.lease_states: dict[str, Contact] = {}
        self.orders: dict[tuple[StepKey, int], Ordered] = {}
        self.stretch: dict[str, float] = {}
        self.relative_speed: dict[str, Pace] = {}
        self.usual_pace = 1.0
        self.run_times: dict[StepKey, list[float]] = {}
        self.suspects: dict[str, set[str]] = {}
        self.ended: deque[tuple[float, str]] = deque()
        self.numbers = itertools.count(1)
        self.repeating: set[str] = set()
        self.changed = True
        self.look_due = now
        self.approved: dict[str, float] = {}

    def record(self, record: Any) -> None:
        """Append a record, and see its effect at once."""
        apply(self.cell, record)
        self.records.append(record)
        self.changed = True

    def send_message(self, entry: str, message: Any) -> None:
        """Leave an effect for after the commit."""
        self.outbox.append(OutgoingMessage(entry, message))

    def ask(self, question: AdviceRequest) -> None:
        """Leave a question that needs no commit: it binds nobody."""
        self.outbox.append(
            OutgoingMessage(LOCAL_PROCESS, question, before_commit=True)
        )

    def answer(self, entry: str, answer: CellResponse) -> None:
        """Answer a question of a process."""
        self.send_message(entry, answer)

    def log_event(self, event: str, **fields: Any) -> None:
        """Leave a line for the log."""
        self.send_message(LOCAL_PROCESS, LogEvent(event, tuple(fields.items())))


def approval_of(lead: CellLeader, key: StepKey) -> Approval:
    """Return what is known of a step's approvals."""
    known = lead.approvals.get(key)
    if known is None:
        known = Approval()
        lead.approvals[key] = known
    return known


def inherited_until(lead: CellLeader) -> float:
    """Return when all that an earlier leader granted is surely over (s)."""
    return lead.now + lead.long_lease + _INHERITED_MARGIN


def lease_for(lead: CellLeader, target: TargetState) -> float:
    """Return how long a target is leased (s): shorter for lasting tasks."""
    for run in target.runs.values():
        state = step_of(lead.cell, run.step)
        if state and state.step.lasting:
            return LEASE
    return lead.long_lease


def take(lead: CellLeader) -> tuple[list[Any], list[OutgoingMessage]]:
    """Return the records and effects since the last call."""
    records, lead.records = lead.records, []
    outbox, lead.outbox = lead.outbox, []
    return records, outbox


def queue_of(lead: CellLeader, job: JobRecord) -> Queue | None:
    """Return the queue that a job was handed to, if it still stands."""
    cfg = lead.cell.cfg
    for queue in cfg.queues if cfg else ():
        if (queue.host, queue.prefix) == (
            job.entered.host,
            job.entered.prefix,
        ):
            return queue
    return None


def entered_at(lead: CellLeader, job: JobRecord) -> float:
    """Return when a job was accepted, on the leader's clock."""
    age = min(max(lead.wall - job.entered.at, 0), _OLDEST)
    return lead.now - age


def _is_due(lead: CellLeader, job: JobRecord, occurrence: int) -> bool:
    spec = job.spec
    if not spec.repeats:
        return True
    return lead.wall >= spec.first_due + occurrence * spec.interval


def pending_indexes(state: StepState) -> list[int]:
    """Return the tasks of a step that may start now."""
    if state.complete or (state.step.gang and state.runs):
        return []
    return [
        index
        for index in range(state.step.count)
        if index not in state.done and index not in state.runs
    ]


def is_ready(lead: CellLeader, job: JobRecord, state: StepState) -> bool:
    """Tell whether the turn of a step has come."""
    key = state.key
    if job.over or not _is_due(lead, job, key.occurrence):
        return False
    return all(
        job.steps[key.occurrence, earlier].complete
        for earlier in state.step.after
    )


def _times(
    lead: CellLeader,
    job: JobRecord,
    queue: Queue,
    step: int,
) -> tuple[float, float]:
    entered = entered_at(lead, job)
    stretch = lead.stretch.get(queue.name, 1.0)
    objective = queue.slack * critical_path(job.spec.steps) + queue.latency
    rest = critical_path(job.spec.steps, step) * stretch
    return entered + objective - rest, entered + 3 * objective - rest


def enqueue_job(lead: CellLeader, job: JobRecord) -> None:
    """Let the ready steps of a job wait for room."""
    queue = queue_of(lead, job)
    if queue is None:
        return
    if job.spec.repeats:
        lead.repeating.add(job.spec.id)
    for state in job.steps.values():
        key = state.key
        if key in lead.waiting or not pending_indexes(state):
            continue
        if is_ready(lead, job, state):
            times = _times(lead, job, queue, key.step)
            lead.waiting[key] = WaitingStep(job, state, queue, times)
            lead.changed = True


def enqueue_due(lead: CellLeader) -> None:
    """Let the steps of occurrences that became due wait for room."""
    for name in list(lead.repeating):
        job = lead.cell.jobs.get(name)
        if job is None or job.over:
            lead.repeating.discard(name)
        else:
            enqueue_job(lead, job)


def start_leading(lead: CellLeader) -> None:
    """Take up what the log says is to be done."""
    for target in lead.cell.targets.values():
        lead.lease_states[target.key] = Contact(lead.now, inherited_until(lead))
    for job in lead.cell.jobs.values():
        if job.over:
            lead.ended.append((lead.now, job.spec.id))
            stop_runs(lead, job)
        else:
            enqueue_job(lead, job)


def stop_runs(lead: CellLeader, job: JobRecord) -> None:
    """Stop all that still runs of a job."""
    for state in job.steps.values():
        lead.waiting.pop(state.key, None)
        for run in list(state.runs.values()):
            want_stop(lead, run)


def want_stop(lead: CellLeader, run: Run) -> None:
    """Stop a run; the order is repeated until its end is listed."""
    ordered = lead.orders.get((run.step, run.index))
    if ordered is None:
        ordered = Ordered(run, lead.now)
        lead.orders[run.step, run.index] = ordered
        ordered.answered = lead.elected
    ordered.stop_due = lead.now


def job_over(lead: CellLeader, job: JobRecord) -> None:
    """Clean up after a job that is over."""
    stop_runs(lead, job)
    for state in job.steps.values():
        lead.approvals.pop(state.key, None)
        lead.run_times.pop(state.key, None)
    lead.ended.append((lead.now, job.spec.id))
    if job.state is not JobState.CANCELLED:
        age = round(lead.wall - job.entered.at, 3)
        lead.log_event('job over', id=job.spec.id, state=job.state, age_s=age)
