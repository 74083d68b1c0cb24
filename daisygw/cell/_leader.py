"""The leader's working state: waiting steps, open orders and target leases.

It is not replicated; a newly elected leader rebuilds it from the log.  A
decision is a plain function over ``CellLeader``: it appends log records, and
effects that are released once those records are committed and while the
leader's own lease is valid.
"""

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from operator import itemgetter
from typing import Any

from daisygw.cell._approval import Approval, PendingAdvice
from daisygw.cell._cost import Stake
from daisygw.cell._job_notes import JobNotes
from daisygw.cell._load import CellLoad
from daisygw.cell._rates import CustomerRates, take_token
from daisygw.cell._state import (
    Cell,
    CellJob,
    Run,
    StepState,
    TargetState,
    apply,
    queue_of,
    step_of,
)
from daisygw.cell._target_statistics import RelativeSpeed, TargetStatistics
from daisygw.contracts import (
    AdviceRequest,
    CellResponse,
    JobStarted,
    JobState,
    Queue,
    StepKey,
    critical_path,
)
from daisygw.machines import LeaseState, keys_in_dispute, lease_bound
from daisygw.zones import OutgoingMessage

# Lease of a target that runs long-running tasks, and the shortest lease that
# is granted.  It exceeds an election and a first round of renewals, and is
# short enough that a long-running task of a lost target restarts soon.
SHORT_LEASE_S = 4.0
# Lease of all other targets, or less if the platform's longest lease is less.
# Most network partitions heal within it, and the work done meanwhile is kept.
LONG_LEASE_S = 8.5
# Share of the platform's longest lease that is requested, as clocks differ.
_MAX_LEASE_SHARE = 0.85
# An unsent start is emitted again after this time: it was lost before it was
# sent, for example by a pause of the process.  A commit takes far less.
START_SEND_TIMEOUT_S = 1.0
# A start that is not confirmed, or a step that waits, for this long is logged;
# a step again each time that its wait has doubled.
LONG_WAIT_S = 3.0
# A job that ends later than this multiple of its objective has no value.
WORTHLESS_FACTOR = 3
# Address of effects that the leader's own process carries out.
LOCAL_PROCESS = ''
# Correlation ids contain the term above this many bits: a process that leads
# again must not take an answer to its earlier calls for one to the new calls.
_SEQ_BITS = 32
# Upper bound of a job's age; a larger value comes from a clock that jumped.
_MAX_JOB_AGE_S = 60.0


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Effect: order a target to start a run, from its checkpoint if any."""

    run: Run
    payload: str
    checkpoint: str
    ticket: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Effect: order a target to stop a run, or never to start it."""

    run: Run


@dataclass(frozen=True, slots=True)
class Probe:
    """Effect: check immediately whether a target instance (key) answers."""

    instance: str


@dataclass(frozen=True, slots=True)
class EndsCommitted:
    """Effect: the ends that a target listed up to ``position`` are durable."""

    instance: str
    position: int


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Effect: write a log line about a decision."""

    event: str
    fields: tuple[tuple[str, Any], ...]


class OutstandingOrder:
    """The start and stop orders of a run, kept in this term until it ends.

    Times are on the leader's clock (s), except ``deadline``, which is on the
    target's clock (ms): the target refuses a copy that arrives later.
    No copy is sent after ``valid_until``; ``last_sent`` is when the last one
    was (-inf: not in this term).
    ``answered`` is when the target was first known to have the run (inf: not
    yet), ``unanswered`` the number of start orders without an answer.  Since
    the instance has ``listed`` the run, it is known which instance has it;
    ``checkpoint`` names the newest checkpoint that it has listed.
    """

    def __init__(
        self, run: Run, at: float, start: StartOrder | None = None
    ) -> None:
        """Begin unsent; ``start`` is emitted again unless it is sent soon."""
        self.run = run
        self.at = at
        self.start = start
        self.start_due = at + START_SEND_TIMEOUT_S if start else float('inf')
        self.report_due = at + LONG_WAIT_S if start else float('inf')
        self.deadline = 0
        self.valid_until = float('-inf')
        self.last_sent = float('-inf')
        self.answered = float('inf')
        self.unanswered = 0
        self.listed = False
        self.checkpoint = ''
        self.stop_due = float('inf')
        self.stop_confirmed_at = float('inf')

    @property
    def unconfirmed(self) -> bool:
        """Whether no target is known to have started the run."""
        return self.answered == float('inf')

    @property
    def stopping(self) -> bool:
        """Whether the run is to stop."""
        return self.stop_due < float('inf')


class WaitingStep:
    """A step with tasks to start; ``due`` is the latest start in time (s).

    ``avoid`` maps the index of a task to the targets on which it failed.
    ``since`` is when it began to wait, or when some of its tasks were placed
    last; its wait is logged once it is ``next_report`` long (s).  ``last_turn``
    is when it was last considered behind more urgent steps (s).  While it is
    ``held``, its customer's limit allows no start; it ``claims_limit`` since
    what runs held it first, at ``held_since`` (s), and is logged again from
    ``held_report_due`` (s) on.
    ``rank`` is its place in the order, valid until ``rank_until`` (s).  It
    follows from ``stake``, which was estimated when ``rank_tasks`` of its
    tasks waited.  These tasks need ``work`` (share of the capacity times s).
    """

    def __init__(
        self,
        job: CellJob,
        state: StepState,
        queue: Queue,
        times: tuple[float, float],
        since: float,
    ) -> None:
        """Queue a step; ``times`` are ``due`` and ``worthless_at`` (s).

        A start after ``worthless_at`` is too late for the step to be of value.
        """
        self.job = job
        self.state = state
        self.queue = queue
        self.due, self.worthless_at = times
        self.since = since
        self.next_report = LONG_WAIT_S
        self.last_turn = float('-inf')
        self.held = False
        self.claims_limit = False
        self.held_since = float('inf')
        self.held_report_due = float('-inf')
        self.stake: Stake | None = None
        self.rank = float('-inf')
        self.rank_until = float('-inf')
        self.rank_tasks = 0
        self.work = 0.0
        self.avoid: dict[int, set[str]] = {}
        self.max_tasks_by_target: dict[str, int] = {}


def _accept_record(record: Any) -> None:
    """Accept any record."""


class CellLeader:
    """The leader's working state of its cell.

    ``now`` is monotonic (s), ``wall`` since the epoch (s).
    ``pending_advice`` has the open requests to the advisor by correlation id;
    ``long_callers`` is how many processes make long ones, and
    ``advice_delays`` has by queue how much longer than the advisor's own time
    they take (s).  ``rates`` has the customers' rates.
    ``ended`` lists ended jobs and since when they are kept, ``repeating``
    names the unfinished repeating jobs, and ``changed`` requests a placement
    pass.  ``check_record`` raises ``ContractError`` for a record that the log
    cannot hold.
    """

    def __init__(
        self,
        cell: Cell,
        term: int,
        now: float,
        wall: float,
        longest_lease: float = SHORT_LEASE_S,
    ) -> None:
        """Begin in ``term``; ``start_leading`` queues the unfinished work.

        Targets accept no lease longer than ``longest_lease`` (s).
        """
        self.longest_lease = longest_lease
        self.cell = cell
        self.term = term
        self.now = now
        self.wall = wall
        self.elected = now
        self.check_record: Callable[[Any], None] = _accept_record
        self.records: list[Any] = []
        self.outbox: list[OutgoingMessage] = []
        self.waiting: dict[StepKey, WaitingStep] = {}
        self.approvals: dict[StepKey, Approval] = {}
        self.pending_advice: dict[int, PendingAdvice] = {}
        self.long_callers = float('inf')
        self.advice_delays: dict[str, float] = {}
        self.lease_states: dict[str, LeaseState] = {}
        self.orders: dict[tuple[StepKey, int], OutstandingOrder] = {}
        self.estimate_factors: dict[str, float] = {}
        self.relative_speed: dict[str, RelativeSpeed] = {}
        self.statistics = TargetStatistics()
        self.failed_jobs: dict[str, set[str]] = {}
        self.ended: deque[tuple[float, str]] = deque()
        self.seq_numbers = itertools.count(term << _SEQ_BITS)
        self.generations = itertools.count(1)
        self.repeating: set[str] = set()
        self.notes = JobNotes()
        self.changed = True
        self.scan_due = now
        self.approval_rates: dict[str, float] = {}
        self.load = CellLoad()
        self.rates = CustomerRates()

    def record(self, record: Any, *, allows_starts: bool = True) -> None:
        """Append a log record and apply it immediately.

        A placement pass follows if it ``allows_starts``.  Raises
        ``ContractError`` for a record that ``check_record`` refuses, before it
        has any effect.
        """
        self.check_record(record)
        apply(self.cell, record)
        self.records.append(record)
        self.changed = self.changed or allows_starts

    def record_starts(self) -> None:
        """Record the confirmed starts, the first one of each job."""
        for name in self.notes.started:
            job = self.cell.jobs.get(name)
            if job and not job.started:
                self.record(JobStarted(name), allows_starts=False)
        self.notes.started.clear()
        self.notes.starts_due = float('inf')

    def send_message(self, entry: str, message: Any) -> None:
        """Queue an effect until the records before it are committed."""
        self.outbox.append(OutgoingMessage(entry, message))

    def request_advice(self, request: AdviceRequest) -> None:
        """Queue a request to the advisor; it needs no commit to be sent."""
        self.outbox.append(
            OutgoingMessage(LOCAL_PROCESS, request, before_commit=True)
        )

    def answer(self, entry: str, answer: CellResponse) -> None:
        """Queue the response to a request of a process."""
        self.send_message(entry, answer)

    def log_event(self, event: str, **fields: Any) -> None:
        """Queue a log line."""
        self.send_message(LOCAL_PROCESS, LogEvent(event, tuple(fields.items())))


def approval_of(lead: CellLeader, key: StepKey) -> Approval:
    """Return the advisor's answers about a step, empty ones at first."""
    approval = lead.approvals.get(key)
    if approval is None:
        approval = Approval()
        lead.approvals[key] = approval
    return approval


def inherited_leases_end(lead: CellLeader) -> float:
    """Return when all leases of earlier leaders have expired (s).

    A restarted target may hold a longer one than they have granted: by a
    deadline that was set on the clock of the instance before.
    """
    return lead.now + lease_bound(lead.longest_lease)


def lease_for(lead: CellLeader, target: TargetState) -> float:
    """Return a target's lease (s); long-running tasks get the short one."""
    for run in target.runs.values():
        state = step_of(lead.cell, run.step)
        if state and state.step.lasting:
            return SHORT_LEASE_S
    long_lease = min(LONG_LEASE_S, _MAX_LEASE_SHARE * lead.longest_lease)
    return max(long_lease, SHORT_LEASE_S)


def collect_output(lead: CellLeader) -> tuple[list[Any], list[OutgoingMessage]]:
    """Return and clear the records and effects since the last call."""
    if lead.records:
        lead.record_starts()
    records, lead.records = lead.records, []
    outgoing, lead.outbox = lead.outbox, []
    return records, outgoing


def accepted_at(lead: CellLeader, job: CellJob) -> float:
    """Return when a job was accepted, on the leader's clock (s)."""
    age = min(max(lead.wall - job.enqueued.at, 0), _MAX_JOB_AGE_S)
    return lead.now - age


def _is_due(lead: CellLeader, job: CellJob, occurrence: int) -> bool:
    spec = job.spec
    if not spec.repeats:
        return True
    return lead.wall >= spec.first_due + occurrence * spec.interval


def pending_indexes(state: StepState) -> list[int]:
    """Return the indexes of a step's tasks that may start now."""
    if state.complete or (state.step.gang and state.runs):
        return []
    return [
        index
        for index in range(state.step.count)
        if index not in state.done and index not in state.runs
    ]


def is_ready(lead: CellLeader, job: CellJob, state: StepState) -> bool:
    """Tell whether a step is due and the steps before it are complete."""
    key = state.key
    if job.over or not _is_due(lead, job, key.occurrence):
        return False
    return all(
        job.steps[key.occurrence, earlier].complete
        for earlier in state.step.after
    )


def _latest_starts(
    lead: CellLeader,
    job: CellJob,
    queue: Queue,
    step: int,
) -> tuple[float, float]:
    """Return a step's ``due`` and ``worthless_at`` (s), as in ``WaitingStep``.

    The latter lets its job end within a multiple of its latency objective.
    """
    accepted = accepted_at(lead, job)
    estimate_factor = lead.estimate_factors.get(queue.name, 1.0)
    objective = queue.slack * critical_path(job.spec.steps) + queue.latency
    remaining = critical_path(job.spec.steps, step) * estimate_factor
    return (
        accepted + objective - remaining,
        accepted + WORTHLESS_FACTOR * objective - remaining,
    )


def enqueue_job(lead: CellLeader, job: CellJob) -> None:
    """Queue the ready steps of a job for placement."""
    queue = queue_of(lead.cell, job)
    if queue is None:
        return
    if job.spec.repeats:
        lead.repeating.add(job.spec.id)
    for state in job.steps.values():
        key = state.key
        if key in lead.waiting or not pending_indexes(state):
            continue
        if is_ready(lead, job, state):
            times = _latest_starts(lead, job, queue, key.step)
            lead.waiting[key] = WaitingStep(job, state, queue, times, lead.now)
            lead.changed = True


def update_queues(lead: CellLeader) -> None:
    """Apply a new configuration to the waiting steps, and queue others.

    A step that waits when its queue is removed keeps the queue as it was.
    """
    for waiting in lead.waiting.values():
        queue = queue_of(lead.cell, waiting.job)
        if queue and queue != waiting.queue:
            if queue.service != waiting.queue.service:
                _forget_approvals(lead, waiting.state.key)
            waiting.queue = queue
            waiting.max_tasks_by_target.clear()
    for job in lead.cell.jobs.values():
        enqueue_job(lead, job)


def _forget_approvals(lead: CellLeader, key: StepKey) -> None:
    """Drop a step's approvals, and the answers that are on their way."""
    lead.approvals.pop(key, None)
    lead.pending_advice = {
        seq: pending
        for seq, pending in lead.pending_advice.items()
        if pending.step != key
    }


def enqueue_due(lead: CellLeader) -> None:
    """Queue the steps of repeating jobs whose occurrence became due."""
    for name in list(lead.repeating):
        job = lead.cell.jobs.get(name)
        if job is None or job.over:
            lead.repeating.discard(name)
        else:
            enqueue_job(lead, job)


def _count_known_jobs(lead: CellLeader) -> None:
    """Take a token for each known job within its customer's rate."""
    in_rate = [
        (accepted_at(lead, job), customer)
        for job in lead.cell.jobs.values()
        if not job.enqueued.surplus
        and (customer := lead.cell.customers.get(job.enqueued.customer))
    ]
    for at, customer in sorted(in_rate, key=itemgetter(0)):
        take_token(lead.rates, customer.name, customer.weight, at)


def start_leading(lead: CellLeader) -> None:
    """Queue the unfinished jobs of the log and stop runs of ended ones."""
    for target in lead.cell.targets.values():
        lead.lease_states[target.key] = LeaseState(
            lead.now, inherited_leases_end(lead)
        )
    instances = [target.instance for target in lead.cell.targets.values()]
    for key in keys_in_dispute(instances):
        lead.lease_states[key].disputed_at = lead.now
    _count_known_jobs(lead)
    lead.notes.early_cancels.extend(
        (lead.now, customer, name)
        for customer, names in lead.cell.early_cancels.items()
        for name in names
    )
    for job in lead.cell.jobs.values():
        if job.over:
            lead.ended.append((lead.now, job.spec.id))
            stop_runs(lead, job)
        else:
            enqueue_job(lead, job)


def stop_runs(lead: CellLeader, job: CellJob) -> None:
    """Dequeue a job's steps and request the stop of its runs."""
    for state in job.steps.values():
        lead.waiting.pop(state.key, None)
        for run in list(state.runs.values()):
            request_stop(lead, run)


def request_stop(lead: CellLeader, run: Run) -> None:
    """Order a run to stop, repeatedly until its target lists its end."""
    outstanding = lead.orders.get((run.step, run.index))
    if outstanding is None:
        outstanding = OutstandingOrder(run, lead.now)
        lead.orders[run.step, run.index] = outstanding
        outstanding.answered = lead.elected
    outstanding.stop_due = lead.now


def request_gang_stop(lead: CellLeader, state: StepState) -> None:
    """Order all members of a gang to stop, as they run together or not."""
    for run in list(state.runs.values()):
        request_stop(lead, run)


def clean_up_job(lead: CellLeader, job: CellJob) -> None:
    """Stop what still runs of an ended job and drop its working state."""
    stop_runs(lead, job)
    for state in job.steps.values():
        lead.approvals.pop(state.key, None)
        lead.statistics.run_times.pop(state.key, None)
    lead.ended.append((lead.now, job.spec.id))
    if job.state is not JobState.CANCELLED:
        age = round(lead.wall - job.enqueued.at, 3)
        lead.log_event('job over', id=job.spec.id, state=job.state, age_s=age)
