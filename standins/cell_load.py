"""A user's load on a cell's decisions: a model of targets, callers, advisors.

It replays arrivals from a seed through the leader's decisions under a given
clock, without I/O, and tells what became of every job.  ``bench.crest``
prints the figures; tests replay the loads that a decision answers.
"""

import heapq
import itertools
from collections.abc import Callable
from functools import partial
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
    on_config_ask,
    on_job_ask,
    on_renewal_reply,
    on_report,
    on_started,
    on_stopped,
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
    ListedEnd,
    RenewalReply,
    TargetInstance,
    TargetReport,
    instance_key,
)
from standins.load_types import JobKind, Load

# A turn of the leader, s: a sync of its disk and the way to a majority.
TURN = 0.015
# The way of an order to a target and back, s.
ORDER_TIME = 0.005
# The longest wait of a renewal, s.
HOLD_WAIT = 1.0
_MS = 1000
_HOST = 'host'
_SERVICE = 'svc'
# The share of tasks that save checkpoints, and of those that run long.
_SAVING = 0.5
_STRAGGLERS = 0.03
_STRAGGLE = 7
CPUS = 64_000
_MEMORY = 262_144


class _Target:
    """A target of the model: what runs there and what has ended."""

    def __init__(self, instance: TargetInstance, speed: float) -> None:
        self.instance = instance
        self.speed = speed
        self.running: dict[tuple[StepKey, int], Run] = {}
        self.ends: list[ListedEnd] = []
        self.position = 0
        self.asked = False
        self.answer_due = 0.0


class World:
    """A cell's leader under a load."""

    def __init__(self, load: Load, seed: int) -> None:
        """Begin with all targets known and a configuration in force."""
        self.load = load
        self.random = Random(seed)
        self.now = 100.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.cell = Cell()
        self.lead = CellLeader(self.cell, 1, self.now, self.now)
        self.targets: dict[str, _Target] = {}
        self.jobs: dict[str, tuple[JobKind, JobSpec, float]] = {}
        self.work_by_step: dict[str, list[float]] = {}
        self.codes: dict[str, int] = {}
        self.asked: dict[int, str] = {}
        self.ends: dict[str, tuple[float, bool]] = {}
        self.callers = [0.0 for _ in range(load.callers)]
        self.starts = 0
        self.advice = 0.0
        start_leading(self.lead)
        _configure(self)
        for number in range(load.targets):
            _add_target(self, number)
        _arrivals(self)


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
    cfg = CellConfig(1, queues, (_SERVICE,), 1 << 18, b'{}')
    on_config_ask(world.lead, ConfigRequest(1, cfg), 'operator')


def _add_target(world: World, number: int) -> None:
    name = f't{number}'
    instance = TargetInstance(
        name,
        int(world.now * _MS),
        _SERVICE,
        f'{name}:1',
        'domain',
        Size(CPUS, _MEMORY, 0, 0),
        'a',
        f'r{number // world.load.rack}',
    )
    speed = world.random.choice((0.55, 1.2, 1.2, 1.2))
    target = _Target(instance, speed)
    world.targets[instance_key(instance)] = target
    on_report(world.lead, TargetReport(0, name, instance, 1), 'target')


def _later(world: World, delay: float, act: Callable[[], None]) -> None:
    entry = (world.now + delay, next(world.numbers), act)
    heapq.heappush(world.events, entry)


def _spread(random: Random, mean: float, sigma: float, most: float) -> float:
    """Return a log-normal figure with that mean, cut at ``most``."""
    return min(random.lognormvariate(log(mean) - sigma**2 / 2, sigma), most)


def _arrives(kind: JobKind) -> bool:
    return kind.rate > 0


def _chance(random: Random, share: float) -> bool:
    return random.random() < share


def _arrivals(world: World) -> None:
    for kind in filter(_arrives, world.load.kinds):
        most = kind.rate * (1 + world.load.swing)
        most *= max((burst.factor for burst in world.load.bursts), default=1)
        at = 0.0
        while at < world.load.seconds:
            at += world.random.expovariate(most)
            if world.random.random() * most < _rate(world.load, kind, at):
                _later(world, at, _submitting(world, kind))


def _rate(load: Load, kind: JobKind, at: float) -> float:
    rate = kind.rate * (1 + load.swing * sin(2 * pi * at / load.period))
    for burst in load.bursts:
        if burst.kind == kind.name and 0 <= at - burst.at < burst.seconds:
            rate *= burst.factor
    return rate


def _submitting(world: World, kind: JobKind) -> Callable[[], None]:
    job = _draw_job(world, kind)

    def submit() -> None:
        world.jobs[job.id] = (kind, job, world.now)
        seq = next(world.numbers)
        world.asked[seq] = job.id
        ask = JobRequest(
            seq, JobVerb.SUBMIT, _HOST, f'/{kind.name}/{job.id}', job
        )
        on_job_ask(world.lead, ask, 'entry')

    return submit


def _draw_job(world: World, kind: JobKind) -> JobSpec:
    random = world.random
    name = f'{next(world.numbers):016x}'
    steps = []
    work_by_step = []
    for number in range(max(round(_spread(random, kind.steps, 0.4, 3)), 1)):
        work = _spread(random, kind.work, 0.5, 10 * kind.work)
        work_by_step.append(work)
        cpus = int(_spread(random, kind.cpus, 0.4, 30_000))
        memory = int(_spread(random, kind.memory, 0.5, 130_000))
        steps.append(
            Step(
                max(
                    round(
                        _spread(
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
                gang=_chance(random, kind.gangs),
                checkpoints=_chance(random, _SAVING),
            )
        )
    world.work_by_step[name] = work_by_step
    return JobSpec(name, 'work', tuple(steps))


def work_of(world: World, run: Run) -> float:
    """Return a task's work (s); all members of a gang work as long."""
    step = world.jobs[run.step.job][1].steps[run.step.step]
    work = world.work_by_step[run.step.job][run.step.step]
    index = 0 if step.gang else run.index
    random = Random(f'{run.step}{index}')
    if random.random() < _STRAGGLERS:
        return work * _STRAGGLE
    return work * random.uniform(0.75, 1.25)


def _start(world: World, order: StartOrder) -> None:
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
        if not step.gang or _is_whole(world, order.run, step.count):
            _run(world, order.run)

    _later(world, ORDER_TIME, arrive)


def _members(world: World, run: Run) -> list[Run]:
    state = world.cell.jobs[run.step.job].steps[
        run.step.occurrence, run.step.step
    ]
    return [
        one
        for one in state.runs.values()
        if world.targets[one.instance].running.get((one.step, one.index)) == one
    ]


def _is_whole(world: World, run: Run, count: int) -> bool:
    return len(_members(world, run)) == count


def _run(world: World, run: Run) -> None:
    """Let a task, or a gang as slow as its slowest target, work."""
    step = world.jobs[run.step.job][1].steps[run.step.step]
    runs = _members(world, run) if step.gang else [run]
    slowest = min(world.targets[one.instance].speed for one in runs)
    for one in runs:
        took = work_of(world, one) / slowest
        _later(world, took, partial(_finish, world, one, RunEnd.DONE))


def _finish(world: World, run: Run, how: RunEnd) -> None:
    target = world.targets[run.instance]
    key = (run.step, run.index)
    if target.running.get(key) != run:
        return
    target.running.pop(key)
    target.position += 1
    end = ListedEnd(target.position, *key, run.number, how, '')
    target.ends.append(end)
    target.answer_due = min(target.answer_due, world.now + ORDER_TIME)


def finish(world: World, run: Run) -> None:
    """End a run as done, at once."""
    _finish(world, run, RunEnd.DONE)


def enqueued_record(job: JobSpec, kind: JobKind, at: float) -> JobEnqueued:
    """Return the record of an accepted job."""
    return JobEnqueued(job, _HOST, f'/{kind.name}/', at)


def _stop(world: World, order: StopOrder) -> None:
    def arrive() -> None:
        _finish(world, order.run, RunEnd.STOPPED)
        world.lead.now = world.now
        on_stopped(world.lead, order.run, OrderOutcome.TAKEN)

    _later(world, ORDER_TIME, arrive)


def _hold(world: World, key: str) -> None:
    """Renew a target's lease; it answers at an end, or after a while."""
    target = world.targets[key]
    state = world.cell.targets[key]
    lease_state = world.lead.lease_states[key]
    if not target.asked and lease_state.noted >= state.position:
        renewal = next_renewal(world.lead, state)
        while target.ends and target.ends[0].position <= renewal.noted:
            target.ends.pop(0)
        target.asked = True
        wait = 0 if target.ends else renewal.wait
        target.answer_due = world.now + ORDER_TIME + wait
    elif target.asked and world.now >= target.answer_due:
        target.asked = False
        _answer_hold(world, target, state)


def _answer_hold(world: World, target: _Target, state: Any) -> None:
    active = tuple(
        ActiveRun(run.step, run.index, run.number, '', 0)
        for run in target.running.values()
    )
    clock = int(world.now * _MS) - target.instance.born
    holding = RenewalReply(
        target.instance.born, clock, active, tuple(target.ends)
    )
    world.lead.now = world.now
    on_renewal_reply(world.lead, state, holding, world.now - ORDER_TIME)


def approves(step: StepKey, name: str, share: float) -> bool:
    """Tell whether the advisor approves a target for a step."""
    return Random(f'{step}{name}').random() < share


def _advise(world: World, ask: AdviceRequest) -> None:
    """Let the caller that is free first ask: each asks one at a time."""
    kind = world.jobs[ask.step.job][0]
    free, number = min((at, i) for i, at in enumerate(world.callers))
    until = max(free, world.now) + ask.work
    world.callers[number] = until
    world.advice += ask.work
    tickets = tuple(
        (name, 't')
        for name in ask.targets
        if approves(ask.step, name, kind.approved)
    )

    def answer() -> None:
        world.lead.now = world.now
        on_advice(world.lead, AdviceResponse(ask.seq, True, tickets))

    _later(world, until - world.now + ORDER_TIME, answer)


def _take_effect(world: World, message: Any) -> None:
    match message:
        case StartOrder():
            _start(world, message)
        case StopOrder():
            _stop(world, message)
        case AdviceRequest():
            _advise(world, message)
        case EndsCommitted():
            acknowledge_ends(world.lead, message)
        case LogEvent('job over', fields):
            known = dict(fields)
            failed = known['state'] == 'failed'
            world.ends[known['id']] = (world.now, failed)
        case CellResponse():
            name = world.asked.pop(message.seq, '')
            world.codes[name] = message.code


def run_leader_turn(world: World) -> None:
    """Let one turn of the leader pass."""
    world.now += TURN
    lead = world.lead
    while world.events and world.events[0][0] <= world.now:
        heapq.heappop(world.events)[-1]()
    for key in world.targets:
        _hold(world, key)
    advance_clock(lead, world.now, world.now)
    place_waiting(lead)
    _, outbox = collect_output(lead)
    for outgoing in outbox:
        _take_effect(world, outgoing.message)


def replay_load(world: World, after: float = 60.0) -> None:
    """Play the load to its end, and ``after`` (s) without arrivals."""
    until = world.now + world.load.seconds + after
    while world.now < until:
        run_leader_turn(world)
