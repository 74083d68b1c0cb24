"""Simulation of a cell's leader with targets, callers and advisors.

It replays a seeded sequence of job arrivals through the leader's decisions
with a simulated clock, without I/O, and records the outcome of every job.
``bench.crest`` prints the figures; tests replay the loads for which a decision
rule was made.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from hashlib import sha256
from math import exp, log, pi, sin
from random import Random
from typing import Any

from daisygw.cell import (
    Cell,
    CellLeader,
    EndsCommitted,
    LogEvent,
    OrderOutcome,
    Run,
    StartOrder,
    StartResult,
    StopOrder,
    acknowledge_ends,
    advance_clock,
    collect_output,
    next_renewal,
    on_advice,
    on_config_request,
    on_job_request,
    on_renewal_reply,
    on_started,
    on_stopped,
    on_target_report,
    place_waiting,
    start_deadline,
    start_leading,
)
from daisygw.contracts import (
    AdviceRequest,
    AdviceResponse,
    CellConfig,
    CellResponse,
    ConfigRequest,
    Customer,
    JobEnqueued,
    JobRequest,
    JobSpec,
    JobVerb,
    Queue,
    RunEnd,
    Size,
    Step,
    StepKey,
)
from daisygw.machines import (
    ActiveRun,
    EndedRun,
    RenewalReply,
    TargetInstance,
    TargetReport,
    instance_key,
)
from standins.load_types import JobKind, Load, Surge

# Duration (s) of a turn of the leader: a disk sync and a majority round trip.
LEADER_TURN_S = 0.015
# Round trip of an order to a target (s).
ORDER_ROUND_TRIP_S = 0.005
# The longest time (s) that a target delays its reply to a lease renewal.
MAX_RENEWAL_WAIT_S = 1.0
_MS_PER_S = 1000
_ALL_PERCENT = 100
_HOST = 'host'
_SERVICE = 'svc'
# Share of steps whose tasks save checkpoints; share of tasks that run much
# longer than the others, and how many times longer.
_CHECKPOINTING_SHARE = 0.5
_STRAGGLER_SHARE = 0.03
_STRAGGLER_SLOWDOWN = 7
# A refused caller submits its job again up to this many times.
MAX_RETURNS = 4


class _SimulatedTarget:
    """A simulated target: its running tasks and the ends it lists.

    ``spans`` holds when a running task began and how long it takes (s).
    ``position`` is that of its newest end.  While a lease renewal is pending,
    ``reply_due`` is when its reply is delivered (s).
    """

    def __init__(self, instance: TargetInstance, speed: float) -> None:
        self.instance = instance
        self.speed = speed
        self.running: dict[tuple[StepKey, int], Run] = {}
        self.spans: dict[Run, tuple[float, float]] = {}
        self.ends: list[EndedRun] = []
        self.position = 0
        self.renewal_pending = False
        self.reply_due = 0.0


class World:
    """A simulated cell: a leader, its targets, callers and a load.

    ``callers`` holds when each caller of advice is free again (s), ``advice``
    the total time of advice calls (s).  By job, ``codes`` holds the result
    code of its last submission, ``returns`` how often its caller submitted it
    again after a refusal, ``retry_times`` the delay that it was last told
    (s), and ``ends`` the time of its end (s) and whether it failed.
    """

    def __init__(
        self, load: Load, seed: int, *, names_customers: bool = True
    ) -> None:
        """Create a cell that knows all targets and has a configuration.

        The configuration names the load's customers, if it ``names_customers``.
        """
        self.names_customers = names_customers and bool(load.weights)
        self.load = load
        self.random = Random(seed)
        self.now = 100.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()
        self.cell = Cell()
        self.lead = CellLeader(self.cell, 1, self.now, self.now)
        self.targets: dict[str, _SimulatedTarget] = {}
        self.jobs: dict[str, tuple[JobKind, JobSpec, float]] = {}
        self.customers: dict[str, str] = {}
        self.work_by_step: dict[str, list[float]] = {}
        self.codes: dict[str, int] = {}
        self.returns: Counter[str] = Counter()
        self.retry_times: dict[str, float] = {}
        self.max_returns = MAX_RETURNS
        self.job_by_request: dict[int, str] = {}
        self.ends: dict[str, tuple[float, bool]] = {}
        self.callers = [0.0 for _ in range(load.callers)]
        self.lead.long_callers = load.callers
        # How long a call waits for its turn before its caller gives up (s).
        self.advice_patience = float('inf')
        self.failed_advice = 0
        self.starts = 0
        self.advice = 0.0
        start_leading(self.lead)
        _configure(self)
        for number in range(load.targets):
            _add_target(self, number)
        _schedule_arrivals(self)


def _configure(world: World) -> None:
    queues = tuple(
        Queue(
            kind.name,
            _HOST,
            f'/{kind.name}/',
            _SERVICE,
            3,
            kind.latency,
            kind.priority,
            kind.attempts,
            kind.slack,
            kind.advisor,
        )
        for kind in world.load.kinds
    )
    customers = tuple(_customers(world.load)) if world.names_customers else None
    cfg = CellConfig(1, queues, (_SERVICE,), 1 << 18, b'{}', customers)
    on_config_request(world.lead, ConfigRequest(1, cfg), 'operator')


def _customers(load: Load) -> Iterator[Customer]:
    """Yield the customers; a customer's only key is its name."""
    cpus = load.targets * load.target_cpus * load.limit_factor
    for number, weight in enumerate(load.weights):
        name = customer_name(number)
        limit = Size(int(cpus * weight / sum(load.weights)))
        yield Customer(name, (key_of(name),), weight, limit)


def _add_target(world: World, number: int) -> None:
    name = f't{number}'
    instance = TargetInstance(
        name,
        int(world.now * _MS_PER_S),
        _SERVICE,
        f'{name}:1',
        'domain',
        Size(world.load.target_cpus, world.load.target_memory, 0, 0),
        'a',
        f'r{number // world.load.rack}',
    )
    speed = world.random.choice((0.55, 1.2, 1.2, 1.2))
    target = _SimulatedTarget(instance, speed)
    world.targets[instance_key(instance)] = target
    on_target_report(world.lead, TargetReport(0, name, instance, 1), 'target')


def _schedule(world: World, delay: float, action: Callable[[], None]) -> None:
    entry = (world.now + delay, next(world.sequence_numbers), action)
    heapq.heappush(world.events, entry)


def _log_normal(
    random: Random, mean: float, sigma: float, maximum: float
) -> float:
    """Draw from a log-normal distribution; cap the result at ``maximum``.

    ``mean`` is that of the distribution without the cap.
    """
    return min(random.lognormvariate(log(mean) - sigma**2 / 2, sigma), maximum)


def _has_arrivals(kind: JobKind) -> bool:
    return kind.rate > 0


def _draw_bool(random: Random, share: float) -> bool:
    return random.random() < share


def _schedule_arrivals(world: World) -> None:
    for kind in filter(_has_arrivals, world.load.kinds):
        max_rate = kind.rate * (1 + world.load.rate_swing)
        max_rate *= max(
            (burst.factor for burst in world.load.bursts), default=1
        )
        at = 0.0
        while at < world.load.seconds:
            at += world.random.expovariate(max_rate)
            if world.random.random() * max_rate < _arrival_rate(
                world.load, kind, at
            ):
                _schedule(world, at, _make_submission(world, kind))
    if world.load.surge:
        _schedule_surge(world, world.load.surge)


def _schedule_surge(world: World, surge: Surge) -> None:
    """Schedule what a customer sends beyond its usual jobs."""
    load = world.load
    random = Random(f'surge {surge}')
    share = load.weights[surge.customer] / sum(load.weights)
    for kind in filter(_has_arrivals, load.kinds):
        at = surge.at
        while at < surge.at + surge.seconds:
            rate = _arrival_rate(load, kind, at) * share * (surge.factor - 1)
            at += random.expovariate(rate)
            submit = _make_submission(
                world, kind, customer_name(surge.customer)
            )
            _schedule(world, at, submit)


def customer_name(number: int) -> str:
    """Return the name of the customer with an index in ``Load.weights``."""
    return f'customer-{number}'


def key_of(customer: str) -> bytes:
    """Return the digest of a customer's only key; empty: no customer."""
    return sha256(customer.encode()).digest() if customer else b''


def _draw_customer(world: World, job: str) -> str:
    """Draw a job's customer by weight, apart from the load's other draws."""
    weights = world.load.weights
    if not weights:
        return ''
    drawn = Random(f'customer of {job}').choices(range(len(weights)), weights)
    return customer_name(drawn[0])


def _arrival_rate(load: Load, kind: JobKind, at: float) -> float:
    rate = kind.rate * (
        1 + load.rate_swing * sin(2 * pi * at / load.swing_period)
    )
    for burst in load.bursts:
        if burst.kind == kind.name and 0 <= at - burst.at < burst.seconds:
            rate *= burst.factor
    return rate


def _make_submission(
    world: World, kind: JobKind, customer: str = ''
) -> Callable[[], None]:
    job = _draw_job(world, kind)
    world.customers[job.id] = customer or _draw_customer(world, job.id)

    def submit() -> None:
        world.jobs[job.id] = (kind, job, world.now)
        _send_submission(world, kind, job)

    return submit


def _send_submission(world: World, kind: JobKind, job: JobSpec) -> None:
    seq = next(world.sequence_numbers)
    world.job_by_request[seq] = job.id
    request = JobRequest(
        seq,
        JobVerb.SUBMIT,
        _HOST,
        f'/{kind.name}/{job.id}',
        job,
        key_of(world.customers.get(job.id, '')),
    )
    on_job_request(world.lead, request, 'entry')


def _receive_answer(world: World, answer: CellResponse) -> None:
    """Note the result of a submission; a refused caller returns when told."""
    name = world.job_by_request.pop(answer.seq, '')
    world.codes[name] = answer.code
    if answer.retry_after:
        world.retry_times[name] = answer.retry_after
    may_return = world.returns[name] < world.max_returns
    if answer.retry_after and may_return and name in world.jobs:
        kind, job, _ = world.jobs[name]
        world.returns[name] += 1
        again = partial(_send_submission, world, kind, job)
        _schedule(world, answer.retry_after, again)


def _draw_job(world: World, kind: JobKind) -> JobSpec:
    random = world.random
    name = f'{next(world.sequence_numbers):016x}'
    steps = []
    work_by_step = []
    for number in range(max(round(_log_normal(random, kind.steps, 0.4, 3)), 1)):
        work = _log_normal(random, kind.work, 0.5, 10 * kind.work)
        work_by_step.append(work)
        cpus = int(_log_normal(random, kind.cpus, 0.4, 30_000))
        memory = int(_log_normal(random, kind.memory, 0.5, 130_000))
        steps.append(
            Step(
                max(
                    round(
                        _log_normal(
                            random,
                            kind.tasks_per_step,
                            0.8,
                            6 * kind.tasks_per_step,
                        )
                    ),
                    1,
                ),
                Size(cpus, memory, 0, 0),
                work * exp(random.gauss(0, kind.off)),
                (number - 1,) if number else (),
                gang=_draw_bool(random, kind.gangs),
                checkpoints=_draw_bool(random, _CHECKPOINTING_SHARE),
            )
        )
    world.work_by_step[name] = work_by_step
    return JobSpec(name, 'work', tuple(steps))


def work_of(world: World, run: Run) -> float:
    """Return a task's work (s); it is the same for all tasks of a gang."""
    step = world.jobs[run.step.job][1].steps[run.step.step]
    work = world.work_by_step[run.step.job][run.step.step]
    index = 0 if step.gang else run.index
    random = Random(f'{run.step}{index}')
    if random.random() < _STRAGGLER_SHARE:
        return work * _STRAGGLER_SLOWDOWN
    return work * random.uniform(0.75, 1.25)


def _execute_start(world: World, order: StartOrder) -> None:
    lead = world.lead
    deadline = start_deadline(lead, order.run)
    if deadline is None:
        return
    sent = world.now
    target = world.targets[order.run.instance]
    key = (order.run.step, order.run.index)

    def arrive() -> None:
        world.starts += 1
        target.running[key] = order.run
        lead.now = world.now
        done = StartResult(order, OrderOutcome.TAKEN, sent)
        on_started(lead, done)
        step = world.jobs[order.run.step.job][1].steps[order.run.step.step]
        if not step.gang or _is_gang_complete(world, order.run, step.count):
            _schedule_end(world, order.run)

    _schedule(world, ORDER_ROUND_TRIP_S, arrive)


def _running_members(world: World, run: Run) -> list[Run]:
    state = world.cell.jobs[run.step.job].steps[
        run.step.occurrence, run.step.step
    ]
    return [
        one
        for one in state.runs.values()
        if world.targets[one.instance].running.get((one.step, one.index)) == one
    ]


def _is_gang_complete(world: World, run: Run, count: int) -> bool:
    return len(_running_members(world, run)) == count


def _schedule_end(world: World, run: Run) -> None:
    """Schedule the end of a task; a gang runs at its slowest target's speed."""
    step = world.jobs[run.step.job][1].steps[run.step.step]
    runs = _running_members(world, run) if step.gang else [run]
    slowest = min(world.targets[one.instance].speed for one in runs)
    for one in runs:
        took = work_of(world, one) / slowest
        world.targets[one.instance].spans[one] = (world.now, took)
        _schedule(world, took, partial(_end_run, world, one, RunEnd.DONE))


def _end_run(world: World, run: Run, how: RunEnd) -> None:
    target = world.targets[run.instance]
    key = (run.step, run.index)
    if target.running.get(key) != run:
        return
    target.running.pop(key)
    target.spans.pop(run, None)
    target.position += 1
    end = EndedRun(target.position, *key, run.number, how, '')
    target.ends.append(end)
    target.reply_due = min(target.reply_due, world.now + ORDER_ROUND_TRIP_S)


def finish(world: World, run: Run) -> None:
    """End a run as done now."""
    _end_run(world, run, RunEnd.DONE)


def enqueued_record(job: JobSpec, kind: JobKind, at: float) -> JobEnqueued:
    """Return the log record of an accepted job."""
    return JobEnqueued(job, _HOST, f'/{kind.name}/', at)


def _execute_stop(world: World, order: StopOrder) -> None:
    def arrive() -> None:
        _end_run(world, order.run, RunEnd.STOPPED)
        world.lead.now = world.now
        on_stopped(world.lead, order.run, OrderOutcome.TAKEN)

    _schedule(world, ORDER_ROUND_TRIP_S, arrive)


def _renew_lease(world: World, key: str) -> None:
    """Send a lease renewal to a target, or deliver its reply when it is due.

    A target replies when a run ends, at the latest after the renewal's wait.
    """
    target = world.targets[key]
    state = world.cell.targets[key]
    lease_state = world.lead.lease_states[key]
    if not target.renewal_pending and lease_state.noted >= state.position:
        renewal = next_renewal(world.lead, state)
        while target.ends and target.ends[0].position <= renewal.noted:
            target.ends.pop(0)
        target.renewal_pending = True
        wait = 0 if target.ends else renewal.wait
        target.reply_due = world.now + ORDER_ROUND_TRIP_S + wait
    elif target.renewal_pending and world.now >= target.reply_due:
        target.renewal_pending = False
        _deliver_renewal_reply(world, target, state)


def _deliver_renewal_reply(
    world: World, target: _SimulatedTarget, state: Any
) -> None:
    active = tuple(
        ActiveRun(
            run.step, run.index, run.number, '', _progress(world, target, run)
        )
        for run in target.running.values()
    )
    clock = int(world.now * _MS_PER_S) - target.instance.born
    reply = RenewalReply(
        target.instance.born, clock, active, tuple(target.ends)
    )
    world.lead.now = world.now
    on_renewal_reply(world.lead, state, reply, world.now - ORDER_ROUND_TRIP_S)


def _progress(world: World, target: _SimulatedTarget, run: Run) -> int:
    """Return how much of a run is done (%); a gang waits for its members."""
    if run not in target.spans:
        return 0
    began, took = target.spans[run]
    return int(_ALL_PERCENT * min((world.now - began) / took, 1))


def approves(step: StepKey, name: str, share: float) -> bool:
    """Return whether the advisor approves a target for a step."""
    return Random(f'{step}{name}').random() < share


def _execute_advice(world: World, request: AdviceRequest) -> None:
    """Assign an advice call to the caller that is free first.

    Each caller makes one call at a time.
    """
    kind = world.jobs[request.step.job][0]
    free, number = min((at, i) for i, at in enumerate(world.callers))
    if free - world.now > world.advice_patience:
        _give_up_advice(world, request)
        return
    until = max(free, world.now) + request.work
    world.callers[number] = until
    world.advice += request.work
    tickets = tuple(
        (name, 't')
        for name in request.targets
        if approves(request.step, name, kind.approved)
    )

    def answer() -> None:
        world.lead.now = world.now
        on_advice(world.lead, AdviceResponse(request.seq, True, tickets))

    _schedule(world, until - world.now + ORDER_ROUND_TRIP_S, answer)


def _give_up_advice(world: World, request: AdviceRequest) -> None:
    """Report a call that never has its turn when its caller gives it up."""

    def fail() -> None:
        world.failed_advice += 1
        world.lead.now = world.now
        on_advice(world.lead, AdviceResponse(request.seq, answered=False))

    _schedule(world, world.advice_patience + request.work, fail)


def _execute_effect(world: World, message: Any) -> None:
    match message:
        case StartOrder():
            _execute_start(world, message)
        case StopOrder():
            _execute_stop(world, message)
        case AdviceRequest():
            _execute_advice(world, message)
        case EndsCommitted():
            acknowledge_ends(world.lead, message)
        case LogEvent('job over', fields):
            known = dict(fields)
            failed = known['state'] == 'failed'
            world.ends[known['id']] = (world.now, failed)
        case CellResponse():
            _receive_answer(world, message)


def run_leader_turn(world: World) -> None:
    """Advance the clock by a turn of the leader and carry out its effects."""
    world.now += LEADER_TURN_S
    lead = world.lead
    while world.events and world.events[0][0] <= world.now:
        heapq.heappop(world.events)[-1]()
    for key in world.targets:
        _renew_lease(world, key)
    advance_clock(lead, world.now, world.now)
    place_waiting(lead)
    _, outbox = collect_output(lead)
    for outgoing in outbox:
        _execute_effect(world, outgoing.message)


def replay_load(world: World, after: float = 60.0) -> None:
    """Run the load to its end, and then ``after`` (s) without arrivals."""
    until = world.now + world.load.seconds + after
    while world.now < until:
        run_leader_turn(world)
