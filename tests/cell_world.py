"""A cell's decisions against worker models, with faults from a seed.

Orders get lost, are carried out late, and cross a change of the leader;
workers crash and come back, are cut off and run on, drain and leave.  Time
is the world's own; nothing here does I/O.
"""

import heapq
import itertools
from collections import defaultdict
from random import Random
from typing import Any

from daisygw.cell import (
    LOCAL_PROCESS,
    Cell,
    CellLeader,
    EndsCommitted,
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
    forget_old_jobs,
    next_renewal,
    on_advice,
    on_config_ask,
    on_job_ask,
    on_renewal_failure,
    on_renewal_reply,
    on_report,
    on_started,
    on_stopped,
    place_waiting,
    snapshot,
    start_deadline,
    start_leading,
)
from daisygw.contracts import (
    AdviceRequest,
    AdviceResponse,
    Advisor,
    CellConfig,
    CellResponse,
    ConfigRequest,
    JobRequest,
    JobSpec,
    JobVerb,
    Queue,
    RunEnd,
    Size,
    StepKey,
)
from daisygw.machines import (
    ActiveRun,
    ListedEnd,
    RenewalReply,
    TargetInstance,
    TargetReport,
    instance_key,
)
from standins import worker_model as workers

STEP = 0.02
CPUS = 8000
MEMORY = 8000
WAIT = 1.0
HOST = 'host'
MS = 1000
_ENDS = {
    'fence': OrderOutcome.FENCED,
    'old': OrderOutcome.UNSURE,
    'late': OrderOutcome.REFUSED,
}


class World:
    """Workers, a cell and its leader, and what is on its way."""

    def __init__(
        self, seed: int, targets: int = 6, longest_lease: float = 4
    ) -> None:
        """Begin at time 100 with a configuration and all workers known."""
        self.random = Random(seed)
        self.now = 100.0
        self.events: list[tuple[float, int, Any]] = []
        self.numbers = itertools.count()
        self.workers: dict[str, workers.WorkerModel] = {}
        self.past: list[workers.WorkerModel] = []
        self.cut: set[str] = set()
        self.draining: set[str] = set()
        self.lost = 0.0
        self.loses_until = 0.0
        self.late = 0.0
        self.faulty: set[str] = set()
        self.cell = Cell()
        self.longest_lease = longest_lease
        self.lead = CellLeader(self.cell, 1, self.now, self.now, longest_lease)
        self.answers: dict[int, CellResponse] = {}
        self.jobs: dict[str, JobSpec] = {}
        self.cancelled: dict[str, float] = {}
        self.failing: dict[tuple, int] = defaultdict(int)
        self.holding: dict[str, float] = {}
        self.log: list[Any] = []
        start_leading(self.lead)
        configure(self, 1)
        for number in range(targets):
            add_worker(self, f'w{number}')
        self.advised = True


def queue(prefix: str, priority: int, attempts: int = 3) -> Queue:
    """Return a queue with an advisor."""
    advisor = Advisor(0.02, 0.001, 1.5)
    return Queue(
        prefix, HOST, prefix, 'svc', 3, 1, priority, attempts, 3, advisor
    )


def configure(world: World, version: int, **more: Any) -> None:
    """Put a configuration in force."""
    queues = (queue('/a/', 0), queue('/b/', 1))
    cfg = CellConfig(version, more.get('queues', queues), ('svc',), 9999, b'{}')
    on_config_ask(world.lead, ConfigRequest(next(world.numbers), cfg), 'op')


def add_worker(world: World, name: str) -> None:
    """Start a worker's life and let it report."""
    worker = workers.WorkerModel(name, world.now, (CPUS, MEMORY))
    world.workers[name] = worker
    report(world, name)


def _life(worker: workers.WorkerModel) -> TargetInstance:
    return TargetInstance(
        worker.name,
        int(worker.born * MS),
        'svc',
        f'{worker.name}:1',
        'zone',
        Size(CPUS, MEMORY, 0, 0),
        'a',
        f'r{int(worker.name[1:]) // 2}',
    )


def report(world: World, name: str) -> None:
    """Let a worker send its heartbeat."""
    if name in world.cut or name not in world.workers:
        return
    beat = TargetReport(
        0, name, _life(world.workers[name]), 1, name in world.draining
    )
    world.lead.now = world.now
    on_report(world.lead, beat, 'w')


def later(world: World, delay: float, act: Any) -> None:
    """Let something happen after a delay (s)."""
    """Let something happen after a delay (s)."""
    number = next(world.numbers)
    heapq.heappush(world.events, (world.now + delay, number, act))


def submit(world: World, job: JobSpec, prefix: str = '/a/') -> None:
    """Hand a job in."""
    world.jobs[job.id] = job
    seq = next(world.numbers)
    ask = JobRequest(seq, JobVerb.SUBMIT, HOST, f'{prefix}{job.id}', job)
    on_job_ask(world.lead, ask, 'e')


def cancel(world: World, name: str) -> None:
    """Cancel a job."""
    seq = next(world.numbers)
    ask = JobRequest(seq, JobVerb.CANCEL, HOST, f'/a/{name}')
    on_job_ask(world.lead, ask, 'e')
    world.cancelled.setdefault(name, world.now)


def fail_over(world: World) -> None:
    """Let another leader take over from what is in the log."""
    _carry_out(world)
    fresh = Cell()
    for record in snapshot(world.cell):
        apply(fresh, record)
    world.cell = fresh
    term = world.lead.term + 1
    world.lead = CellLeader(
        fresh, term, world.now, world.now, world.longest_lease
    )
    world.holding.clear()
    start_leading(world.lead)


def crash(world: World, name: str, *, reborn: bool) -> None:
    """End a worker's life; it may come back under its name."""
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
    world.past.append(worker)
    if reborn:
        world.now += STEP
        add_worker(world, name)


def _load(world: World, run: Run) -> workers.TaskLoad:
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
    task = (order.run.step, order.run.index)
    wire = (task, order.run.number, deadline, lead.term)

    def arrive(answering: bool) -> None:
        worker = world.workers.get(target.instance.name)
        if worker is None or target.instance.name in world.cut:
            return
        if worker.born != target.instance.born / MS and not _same(
            worker, target
        ):
            status, reason = 421, ''
        else:
            load = _load(world, order.run)
            status, reason = workers.start(worker, world.now, wire, load)
        if answering:
            later(world, 0.002, lambda: answer(status, reason))

    def answer(status: int, reason: str) -> None:
        if world.lead is not lead:
            return
        lead.now = world.now
        outcome = OrderOutcome.TAKEN
        if status == 421:
            outcome = OrderOutcome.OTHER_INSTANCE
        elif status != 200:
            outcome = _ENDS[reason]
        done.append(True)
        on_started(lead, StartResult(order, outcome, sent, reason))

    def give_up() -> None:
        if world.lead is lead and not done:
            lead.now = world.now
            outcome = OrderOutcome.NO_ANSWER
            on_started(lead, StartResult(order, outcome, sent))

    done: list[bool] = []
    _send(world, arrive)
    later(world, 0.2, give_up)


def _same(worker: workers.WorkerModel, target: Any) -> bool:
    return int(worker.born * MS) == target.instance.born


def _send(world: World, arrive: Any) -> None:
    chance = world.random.random()
    if chance < world.late:
        delay = world.random.uniform(2, 12)
        later(world, delay, lambda: arrive(answering=False))
    elif chance < world.late + world.lost:
        later(world, 0.002, lambda: arrive(answering=False))
    elif chance < world.late + 2 * world.lost:
        return
    else:
        delay = world.random.uniform(0.001, 0.01)
        later(world, delay, lambda: arrive(answering=True))


def _stop(world: World, order: StopOrder) -> None:
    lead = world.lead
    target = lead.cell.targets.get(order.run.instance)
    if target is None:
        return
    task = (order.run.step, order.run.index)

    def arrive(answering: bool) -> None:
        worker = world.workers.get(target.instance.name)
        if worker is None or target.instance.name in world.cut:
            return
        if not _same(worker, target):
            return
        status = workers.stop(
            worker, world.now, task, order.run.number, lead.term
        )
        if answering and status == 200 and world.lead is lead:
            lead.now = world.now
            on_stopped(lead, order.run, OrderOutcome.TAKEN)

    _send(world, arrive)


def _hold(world: World, key: str) -> None:
    lead = world.lead
    target = lead.cell.targets.get(key)
    if target is None or key not in lead.lease_states:
        return
    lead.now = world.now
    renewal = next_renewal(lead, target)
    sent = world.now
    answered: list[bool] = []

    def arrive() -> None:
        worker = world.workers.get(target.instance.name)
        if worker is None or target.instance.name in world.cut:
            return
        if not _same(worker, target):
            holding = RenewalReply(-1, 0, (), ())
        else:
            holding = _lists(world, worker, lead, renewal)
        if holding is not None:
            later(world, 0.002, lambda: answer(holding))

    def answer(holding: RenewalReply) -> None:
        if world.lead is lead and key in lead.lease_states:
            answered.append(True)
            lead.now = world.now
            on_renewal_reply(lead, target, holding, sent)

    def give_up() -> None:
        if world.lead is lead and key in lead.lease_states and not answered:
            lead.now = world.now
            on_renewal_failure(lead, target)

    if world.random.random() >= world.lost:
        later(world, 0.005, arrive)
    later(world, 0.5, give_up)


def _lists(
    world: World, worker: Any, lead: CellLeader, renewal: Any
) -> RenewalReply | None:
    lists = workers.hold(
        worker, world.now, lead.term, renewal.noted, renewal.deadline
    )
    if lists is None:
        return None
    active = tuple(
        ActiveRun(task[0], task[1], number, '', 0) for task, number in lists[0]
    )
    ended = tuple(
        ListedEnd(position, task[0], task[1], number, RunEnd(how), '')
        for position, task, number, how in lists[1]
    )
    clock = workers.clock_ms(worker, world.now)
    return RenewalReply(int(worker.born * MS), clock, active, ended)


def _advise(world: World, ask: AdviceRequest) -> None:
    lead = world.lead

    def answer() -> None:
        if world.lead is lead:
            lead.now = world.now
            approved = tuple(
                (name, 't') for name in ask.targets if _approves(ask.step, name)
            )
            reply = AdviceResponse(ask.seq, answered=True, tickets=approved)
            on_advice(lead, reply)

    later(world, ask.work, answer)


def _approves(step: StepKey, name: str) -> bool:
    """Approve two targets of three, so that every step can run somewhere."""
    return (int(name[1:]) + int(step.job, 16)) % 3 != 0


def _carry_out(world: World) -> None:
    place_waiting(world.lead)
    _, outbox = collect_output(world.lead)
    for outgoing in outbox:
        message = outgoing.message
        if world.now < world.loses_until and not outgoing.before_commit:
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
                _hold(world, message.instance)
            case CellResponse() if outgoing.entry != LOCAL_PROCESS:
                world.answers[message.seq] = message


def run_for(world: World, seconds: float) -> None:
    """Let time pass."""
    until = world.now + seconds
    while world.now < until:
        world.now += STEP
        for worker in world.workers.values():
            workers.advance_clock(worker, world.now)
        while world.events and world.events[0][0] <= world.now:
            heapq.heappop(world.events)[2]()
        _beat(world)
        advance_clock(world.lead, world.now, world.now)
        forget_old_jobs(world.lead)
        _carry_out(world)


def _beat(world: World) -> None:
    for name in list(world.workers):
        key = instance_key(_life(world.workers[name]))
        if key not in world.cell.targets:
            report(world, name)
    for key in list(world.cell.targets):
        if world.now >= world.holding.get(key, 0):
            world.holding[key] = world.now + 0.25
            _hold(world, key)
