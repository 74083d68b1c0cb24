"""Simulate a cell and its workers, with faults drawn from a seed.

Orders are lost, delayed, or arrive after a change of the leader; workers
crash and restart, or lose their network while their tasks keep running.  The
clock is virtual and nothing here does I/O.
"""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from typing import Any

from daisygw.cell import (
    LOCAL_PROCESS,
    Cell,
    CellLeader,
    EndsCommitted,
    LogEvent,
    OrderOutcome,
    Probe,
    Run,
    StartOrder,
    StartResult,
    StopOrder,
    acknowledge_ends,
    advance_clock,
    apply,
    collect_output,
    next_renewal,
    on_advice,
    on_config_request,
    on_job_request,
    on_renewal_failure,
    on_renewal_reply,
    on_started,
    on_stopped,
    on_target_report,
    order_fence,
    place_waiting,
    purge_old_jobs,
    snapshot,
    start_deadline,
    start_leading,
)
from daisygw.contracts import (
    ZERO_SIZE,
    AdviceRequest,
    AdviceResponse,
    Advisor,
    CellConfig,
    CellResponse,
    ConfigRequest,
    ContractError,
    Customer,
    JobRequest,
    JobSpec,
    JobVerb,
    Queue,
    RunEnd,
    Size,
    StepKey,
)
from daisygw.machines import (
    OTHER_TARGET,
    ActiveRun,
    EndedRun,
    RenewalReply,
    TargetInstance,
    TargetReport,
    instance_key,
)
from standins import worker_model as workers
from tests.cell_records import check_same_state

TICK_S = 0.02
WORKER_CPUS = 8000  # thousandths of a CPU
WORKER_MEMORY_MIB = 8000
WAIT = 1.0
REQUEST_HOST = 'host'
# Failures of a task after which its job fails.
ATTEMPTS = 3
SERVICE = 'svc'
MS_PER_S = 1000
# How the leader reads the reason that a worker gives with HTTP status 409.
_REFUSAL_OUTCOMES = {
    'fence': OrderOutcome.FENCED,
    'old': OrderOutcome.UNSURE,
    'late': OrderOutcome.REFUSED,
    'ticket': OrderOutcome.REFUSED,
    'room': OrderOutcome.UNAVAILABLE,
}
# Interval of a target's lease renewals while targets do not wait with their
# reply, and delay of an extra one (s).
_RENEWAL_INTERVAL_S = 0.25
_PROBE_DELAY_S = 0.005


@dataclass(frozen=True, slots=True)
class TargetLimits:
    """Longest lease (s) of a target, and ended runs in one of its replies."""

    longest_lease: float
    ends_page: int


class HeldMessages:
    """Messages between the leader and some workers that do not arrive yet.

    Calls to the workers ``targets`` stay unanswered until they are delivered
    by ``deliver_held_calls``; reports of ``reporters`` are not sent.  Renewals
    of the instances ``renewals`` (keys) are lost, and stops take effect
    ``stop_delay`` (s) after they have arrived.
    """

    def __init__(self) -> None:
        """Hold nothing."""
        self.targets: set[str] = set()
        self.calls: list[Any] = []
        self.reporters: set[str] = set()
        self.renewals: set[str] = set()
        self.stop_delay = 0.0


def _ignore_record(record: Any) -> None:
    """Look at no record."""


class CallerRequests:
    """The customer of each job, and when it was cancelled first (s), by id.

    The ``overtaken`` jobs were cancelled before they were submitted.
    ``watch_record`` sees each record before the follower applies it.
    """

    def __init__(self) -> None:
        """Begin without jobs, watching nothing."""
        self.cancelled: dict[str, float] = {}
        self.overtaken: set[str] = set()
        self.owners: dict[str, str] = {}
        self.watch_record: Callable[[Any], None] = _ignore_record


class World:
    """Workers, a cell, its leader, and the events scheduled for them."""

    def __init__(
        self,
        seed: int,
        targets: int = 6,
        longest_lease: float = 4,
        ends_page: int = workers.ENDS_PAGE,
    ) -> None:
        """Begin at 100 s, configured, with every worker already reported."""
        self.random = Random(seed)
        self.now = 100.0
        self.events: list[tuple[float, int, Any]] = []
        self.sequence = itertools.count()
        self.workers: dict[str, workers.WorkerModel] = {}
        self.ended_workers: list[workers.WorkerModel] = []
        self.cut: set[str] = set()
        self.draining: set[str] = set()
        self.loss_probability = 0.0
        self.held = HeldMessages()
        self.drops_output_until = 0.0
        self.late_probability = 0.0
        self.faulty: set[str] = set()
        self.services: dict[str, str] = defaultdict(lambda: SERVICE)
        # Workers that leave starts and stops unanswered, and the reasons with
        # which others refuse starts.  With a wait (s), targets reply to a
        # renewal when a run has ended, or after the wait.
        self.ignoring_orders: set[str] = set()
        self.refusing_starts: dict[str, str] = {}
        self.refused_starts = 0
        self.renewal_wait = 0.0
        # How long a call to the advisor waits behind others (s).
        self.advice_delay = 0.0
        self.cell = Cell()
        self.limits = TargetLimits(longest_lease, ends_page)
        self.lead = CellLeader(self.cell, 1, self.now, self.now, longest_lease)
        self.responses: dict[int, CellResponse] = {}
        self.jobs: dict[str, JobSpec] = {}
        self.failing: dict[tuple, int] = defaultdict(int)
        self.next_renewals: dict[str, float] = {}
        self.follower = Cell()
        self.start_checkpoints: dict[tuple, set[str]] = defaultdict(set)
        self.log: list[LogEvent] = []
        self.callers = CallerRequests()
        start_leading(self.lead)
        configure(self, 1)
        for number in range(targets):
            add_worker(self, f'w{number}')


def queue(prefix: str, priority: int, attempts: int = ATTEMPTS) -> Queue:
    """Return a queue that has a placement advisor."""
    advisor = Advisor(0.02, 0.001, 1.5)
    return Queue(
        prefix,
        REQUEST_HOST,
        prefix,
        SERVICE,
        3,
        1,
        priority,
        attempts,
        3,
        advisor,
    )


def unadvised_queues() -> tuple[Queue, ...]:
    """Return queues without a placement advisor."""
    queues = (queue('/a/', 0), queue('/b/', 1))
    return tuple(replace(one, advisor=None) for one in queues)


def configure(world: World, version: int, **more: Any) -> None:
    """Apply a configuration through the leader."""
    queues = (queue('/a/', 0), queue('/b/', 1))
    queues = more.get('queues', queues)
    services = tuple(sorted({row.service for row in queues}))
    customers = more.get('customers')
    cfg = CellConfig(version, queues, services, 9999, b'{}', customers)
    on_config_request(
        world.lead, ConfigRequest(next(world.sequence), cfg), 'op'
    )


def add_worker(world: World, name: str) -> None:
    """Start a worker instance and send its first report."""
    worker = workers.WorkerModel(
        name,
        world.now,
        (WORKER_CPUS, WORKER_MEMORY_MIB),
        max_lease_s=world.limits.longest_lease,
        ends_page=world.limits.ends_page,
    )
    world.workers[name] = worker
    report(world, name)


def instance_of(world: World, worker: workers.WorkerModel) -> TargetInstance:
    """Return what a worker reports about itself."""
    return TargetInstance(
        worker.name,
        int(worker.born * MS_PER_S),
        world.services[worker.name],
        f'{worker.name}:1',
        'zone',
        Size(WORKER_CPUS, WORKER_MEMORY_MIB, 0, 0),
        'a',
        f'r{int(worker.name[1:]) // 2}',
    )


def report(world: World, name: str) -> None:
    """Send a worker's report to the leader unless it is cut off."""
    if name in world.cut | world.held.reporters or name not in world.workers:
        return
    heartbeat = TargetReport(
        0,
        name,
        instance_of(world, world.workers[name]),
        1,
        name in world.draining,
    )
    handle_report(world, heartbeat)


def handle_report(world: World, heartbeat: TargetReport) -> None:
    """Let the leader handle a report; a refusal is its answer."""
    world.lead.now = world.now
    try:
        on_target_report(world.lead, heartbeat, 'w')
    except ContractError as exc:
        world.responses[heartbeat.seq] = CellResponse(heartbeat.seq, exc.code)


def call_later(world: World, delay: float, callback: Any) -> None:
    """Schedule a callback after a delay (s)."""
    number = next(world.sequence)
    heapq.heappush(world.events, (world.now + delay, number, callback))


def customer(name: str, limit: Size = ZERO_SIZE, weight: float = 1) -> Customer:
    """Return a customer; the digest of its only key is its name."""
    return Customer(name, (name.encode(),), weight, limit)


def submit(
    world: World, job: JobSpec, prefix: str = '/a/', owner: str = ''
) -> int:
    """Submit a job, for a customer if there are any; return the sequence."""
    world.jobs[job.id] = job
    world.callers.owners[job.id] = owner
    key = owner.encode()
    return request(world, JobVerb.SUBMIT, f'{prefix}{job.id}', job, key)


def cancel(world: World, name: str) -> None:
    """Cancel a job and record the time of its first cancellation."""
    key = world.callers.owners.get(name, '').encode()
    request(world, JobVerb.CANCEL, f'/a/{name}', key=key)
    world.callers.cancelled.setdefault(name, world.now)
    if name not in world.jobs:
        world.callers.overtaken.add(name)


def request(
    world: World,
    verb: JobVerb,
    path: str,
    job: JobSpec | None = None,
    key: bytes = b'',
) -> int:
    """Send a caller's request, and return its number in ``responses``."""
    seq = next(world.sequence)
    message = JobRequest(seq, verb, REQUEST_HOST, path, job, key)
    on_job_request(world.lead, message, 'e')
    return seq


def fail_over(world: World) -> None:
    """Start the next leader from a snapshot of the committed state.

    Checks that a follower that applied the log has the same state.
    """
    _perform_effects(world)
    rebuilt = Cell()
    for record in snapshot(world.cell):
        apply(rebuilt, record)
    check_same_state(rebuilt, world.follower)
    start_leader(world, rebuilt)


def start_leader(world: World, cell: Cell) -> None:
    """Start the next leader, whose state is ``cell``."""
    world.cell = cell
    term = world.lead.term + 1
    world.lead = CellLeader(
        cell, term, world.now, world.now, world.limits.longest_lease
    )
    world.next_renewals.clear()
    start_leading(world.lead)


def crash(world: World, name: str, *, restarts: bool) -> None:
    """Crash a worker; it may restart at once under the same name."""
    worker = world.workers.pop(name, None)
    if worker is None:
        return
    workers.advance_clock(worker, world.now)
    for task in list(worker.running):
        span, _ = worker.running.pop(task)
        worker.history.append(
            workers.RunSpan(
                task, span.number, span.started_at, world.now, 'crash'
            )
        )
    world.ended_workers.append(worker)
    if restarts:
        world.now += TICK_S
        add_worker(world, name)


def _load_of(world: World, run: Run) -> workers.TaskLoad:
    job = world.jobs[run.step.job]
    step = job.steps[run.step.step]
    task = (run.step, run.index)
    random = Random(f'{run.step}{run.index}{run.number}')
    work = step.estimate * random.choice((0.5, 1, 1, 1.5, 3))
    fails = job.payload == 'poison' or random.random() < 0.03
    del task
    return workers.TaskLoad(step.size.cpus, step.size.memory, work, fails)


def _start(world: World, order: StartOrder) -> None:
    lead = world.lead
    deadline = start_deadline(lead, order.run)
    target = lead.cell.targets.get(order.run.instance)
    if deadline is None or target is None:
        return
    sent = world.now
    started = (order.run.step, order.run.number)
    world.start_checkpoints[started].add(order.checkpoint)
    task = (order.run.step, order.run.index)
    fence = order_fence(lead, target.key)
    worker_order = (task, order.run.number, deadline, fence)

    def deliver(answer_arrives: bool) -> None:
        worker = _reachable_worker(world, target)
        if worker is None:
            return
        if worker.name != target.instance.name:
            status, reason = 421, ''
        else:
            status, reason = _worker_start(world, worker, order, worker_order)
        if answer_arrives:
            call_later(world, 0.002, lambda: answer(status, reason))

    def answer(status: int, reason: str) -> None:
        if world.lead is not lead:
            return
        lead.now = world.now
        outcome = OrderOutcome.TAKEN
        if status == 421:
            outcome = OrderOutcome.OTHER_INSTANCE
        elif status != 200:
            outcome = _REFUSAL_OUTCOMES[reason]
        answered.append(True)
        on_started(lead, StartResult(order, outcome, sent, reason))

    def on_timeout() -> None:
        if world.lead is lead and not answered:
            lead.now = world.now
            outcome = OrderOutcome.NO_ANSWER
            on_started(lead, StartResult(order, outcome, sent))

    answered: list[bool] = []
    if target.instance.name not in world.ignoring_orders:
        _transmit(world, target, deliver)
    call_later(world, 0.2, on_timeout)


def _worker_start(
    world: World,
    worker: workers.WorkerModel,
    order: StartOrder,
    worker_order: tuple,
) -> tuple[int, str]:
    """Return a worker's HTTP status for a start, and its reason."""
    reason = world.refusing_starts.get(worker.name, '')
    if reason:
        world.refused_starts += 1
        return 409, reason
    if order.ticket and order.ticket != _ticket_of(world, worker.name):
        return 409, 'ticket'
    load = _load_of(world, order.run)
    return workers.start(worker, world.now, worker_order, load)


def _reachable_worker(world: World, target: Any) -> Any:
    """Return the worker at a target's address, or none without an answer."""
    name = target.instance.address.partition(':')[0]
    return None if name in world.cut else world.workers.get(name)


def _transmit(world: World, target: Any, deliver: Any) -> None:
    """Deliver a call, or lose it or its answer, or deliver it late.

    The call reaches the worker that is then at the target's address.  Workers
    compare the name that it is for, which a restarted worker keeps.
    """
    if target.instance.name in world.held.targets:
        world.held.calls.append(partial(deliver, answer_arrives=False))
        return
    draw = world.random.random()
    if draw < world.late_probability:
        delay = world.random.uniform(2, 12)
        call_later(world, delay, lambda: deliver(answer_arrives=False))
    elif draw < world.late_probability + world.loss_probability:
        call_later(world, 0.002, lambda: deliver(answer_arrives=False))
    elif draw < world.late_probability + 2 * world.loss_probability:
        return
    else:
        delay = world.random.uniform(0.001, 0.01)
        call_later(world, delay, lambda: deliver(answer_arrives=True))


def deliver_held_calls(world: World) -> None:
    """Let the workers carry out the calls that are held, unanswered."""
    world.held.targets.clear()
    while world.held.calls:
        world.held.calls.pop(0)()


def _stop(world: World, order: StopOrder) -> None:
    lead = world.lead
    target = lead.cell.targets.get(order.run.instance)
    if target is None:
        return
    task = (order.run.step, order.run.index)
    fence = order_fence(lead, target.key)

    def deliver(answer_arrives: bool) -> None:
        worker = _reachable_worker(world, target)
        if worker is None or worker.name != target.instance.name:
            return
        if world.held.stop_delay and task in worker.running:
            call_later(
                world,
                world.held.stop_delay,
                lambda: workers.stop(
                    worker, world.now, task, order.run.number, fence
                ),
            )
            return
        status = workers.stop(worker, world.now, task, order.run.number, fence)
        if answer_arrives and status == 200 and world.lead is lead:
            lead.now = world.now
            on_stopped(lead, order.run, OrderOutcome.TAKEN)

    if target.instance.name not in world.ignoring_orders:
        _transmit(world, target, deliver)


def _renew_lease(world: World, key: str) -> None:
    lead = world.lead
    target = lead.cell.targets.get(key)
    if target is None or key not in lead.lease_states:
        return
    lead.now = world.now
    renewal = next_renewal(lead, target)
    fence = order_fence(lead, key)
    sent = world.now
    answered: list[bool] = []

    def deliver(answer_arrives: bool) -> None:
        worker = _reachable_worker(world, target)
        if worker is None:
            return
        if worker.name != target.instance.name:
            reply = OTHER_TARGET
        else:
            reply = renewal_reply(world, worker, fence, renewal)
        if reply is not None and answer_arrives:
            call_later(world, 0.002, lambda: answer(reply))

    def answer(reply: RenewalReply) -> None:
        if world.lead is lead and key in lead.lease_states:
            answered.append(True)
            lead.now = world.now
            on_renewal_reply(lead, target, reply, sent)

    def on_timeout() -> None:
        if world.lead is lead and key in lead.lease_states and not answered:
            lead.now = world.now
            on_renewal_failure(lead, target)

    _transmit_renewal(world, target, deliver)
    call_later(world, 0.5, on_timeout)


def _transmit_renewal(world: World, target: Any, deliver: Any) -> None:
    """Deliver a renewal, or lose it, or deliver it late and unanswered."""
    if target.key in world.held.renewals:
        return
    draw = world.random.random()
    if target.instance.name in world.held.targets:
        world.held.calls.append(partial(deliver, answer_arrives=False))
    elif draw < world.late_probability:
        delay = world.random.uniform(2, 12)
        call_later(world, delay, lambda: deliver(answer_arrives=False))
    elif draw >= world.late_probability + world.loss_probability:
        call_later(world, 0.005, lambda: deliver(answer_arrives=True))


def renewal_reply(
    world: World, worker: Any, fence: int, renewal: Any
) -> RenewalReply | None:
    """Return a worker's reply to a renewal, or none if it has been fenced."""
    lists = workers.hold(
        worker, world.now, fence, renewal.noted, renewal.deadline
    )
    if lists is None:
        return None
    active = tuple(
        ActiveRun(*task, number, _checkpoint_of(world, task, number), 0)
        for task, number in lists[0]
    )
    ended = tuple(
        EndedRun(position, task[0], task[1], number, RunEnd(how), '')
        for position, task, number, how in lists[1]
    )
    clock = workers.clock_ms(worker, world.now)
    more_ended = len(ended) >= worker.ends_page
    born = int(worker.born * MS_PER_S)
    return RenewalReply(born, clock, active, ended, more_ended)


def _checkpoint_of(world: World, task: tuple, number: int) -> str:
    """Return a checkpoint; each member of a gang has its own."""
    key, index = task
    step = world.jobs[key.job].steps[key.step]
    return f'{number}-{index}' if step.checkpoints else ''


def _advise(world: World, request: AdviceRequest) -> None:
    lead = world.lead

    def answer() -> None:
        if world.lead is lead:
            lead.now = world.now
            approved = tuple(
                (name, _ticket_of(world, name))
                for name in request.targets
                if _approves(request.step, name)
            )
            reply = AdviceResponse(request.seq, answered=True, tickets=approved)
            on_advice(lead, reply)

    call_later(world, request.work + world.advice_delay, answer)


def _ticket_of(world: World, name: str) -> str:
    """Return a ticket, which is valid for one instance of a worker."""
    worker = world.workers.get(name)
    return instance_key(instance_of(world, worker)) if worker else name


def _approves(step: StepKey, name: str) -> bool:
    """Approve two targets of three, so that every step can run somewhere."""
    return (int(name[1:]) + int(step.job, 16)) % 3 != 0


def _perform_effects(world: World) -> None:
    place_waiting(world.lead)
    records, outbox = collect_output(world.lead)
    for record in records:
        world.callers.watch_record(record)
        apply(world.follower, record)
    for outgoing in outbox:
        message = outgoing.message
        if world.now < world.drops_output_until and not outgoing.before_commit:
            continue
        match message:
            case StartOrder():
                _start(world, message)
            case StopOrder():
                _stop(world, message)
            case AdviceRequest():
                _advise(world, message)
            case EndsCommitted():
                acknowledge_ends(world.lead, message)
            case Probe():
                renew = partial(_renew_lease, world, message.instance)
                call_later(world, _PROBE_DELAY_S, renew)
            case LogEvent():
                world.log.append(message)
            case CellResponse() if outgoing.entry != LOCAL_PROCESS:
                world.responses[message.seq] = message


def run_for(world: World, seconds: float) -> None:
    """Advance the simulation by a number of seconds."""
    until = world.now + seconds
    while world.now < until:
        world.now += TICK_S
        for worker in world.workers.values():
            workers.advance_clock(worker, world.now)
        while world.events and world.events[0][0] <= world.now:
            heapq.heappop(world.events)[2]()
        _send_reports_and_renewals(world)
        advance_clock(world.lead, world.now, world.now)
        purge_old_jobs(world.lead)
        _perform_effects(world)


def _send_reports_and_renewals(world: World) -> None:
    for name in list(world.workers):
        key = instance_key(instance_of(world, world.workers[name]))
        if key not in world.cell.targets:
            report(world, name)
    for key, target in list(world.cell.targets.items()):
        due = world.now >= world.next_renewals.get(key, 0)
        if due or (world.renewal_wait and _lists_new_end(world, target)):
            interval = max(world.renewal_wait, _RENEWAL_INTERVAL_S)
            world.next_renewals[key] = world.now + interval
            _renew_lease(world, key)


def _lists_new_end(world: World, target: Any) -> bool:
    worker = _reachable_worker(world, target)
    return bool(worker and worker.position > target.position)
