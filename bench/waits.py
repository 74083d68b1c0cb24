"""Simulates placement decisions on generated arrivals, on a simulated clock.

Orders start at once and end after their run time; networks and hosts are not
modelled.  The same seed gives the same arrivals, and the same figures under
one ``PYTHONHASHSEED`` (those of ``gangs`` depend on it).  Tests compare them
with the stated bounds; ``python -m bench.waits`` prints them.
"""

import heapq
import json
import sys
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from itertools import count
from random import Random

from bench.core import ENTRY, Core, Scale, announce_all, run_turn, submit
from daisygw.contracts import (
    Contract,
    Kind,
    Policy,
    Priority,
    ResultCode,
    Size,
    TaskReport,
    TaskStartOrder,
    WaitLimits,
)
from daisygw.zones import on_task_report

_MS_PER_S = 1000
_TURN_S = 0.001
_ANNOUNCE_INTERVAL_S = 1.0
_P99_QUANTILE = 0.99
_SHORT_RUN_S = 0.1
_LONG_RUN_S = 3.0

CURRENT_POLICY = Policy(
    short_run=1,
    short_share=0.1,
    max_wait=WaitLimits(5.4, 1, 0.5),
    lease=3600,
    keep_outcomes=1,
)
BASELINE_POLICY = replace(
    CURRENT_POLICY,
    ordering='fifo',
    scoring='first',
    admission='open',
    short_share=0,
    headroom=0,
)


@dataclass(frozen=True, slots=True)
class PlannedArrival:
    """A request, its arrival time ``at`` (s) and its true run time (s)."""

    at: float
    contract: Contract
    run: float


@dataclass(frozen=True, slots=True)
class Placement:
    """A started task: its arrival, its wait (s) and its target."""

    planned: PlannedArrival
    wait: float
    target: str


class Simulation:
    """A core, its arrivals, the running tasks and the placements so far.

    ``announced`` is the time of the targets' last announcements (s).
    ``slot_share_integral`` and ``backlog_time`` (s) grow only while tasks
    wait; their quotient is the mean share of slots in use.
    """

    def __init__(
        self,
        core: Core,
        arrivals: Iterable[PlannedArrival],
        slowness: Callable[[str, float], float],
    ) -> None:
        """Begin at time 0; ``slowness(target, now)`` multiplies run times."""
        self.core = core
        self.arrivals = sorted(arrivals, key=lambda planned: planned.at)
        self.slowness = slowness
        self.by_id = {one.contract.id: one for one in self.arrivals}
        self.finish_events: list[tuple[float, int, TaskStartOrder, float]] = []
        self.event_numbers = count()
        self.placed: list[Placement] = []
        self.slot_share_integral = 0.0
        self.backlog_time = 0.0
        self.announced = 0.0


def _start(simulation: Simulation, order: TaskStartOrder) -> None:
    planned = simulation.by_id[order.key.job]
    now = simulation.core.now
    run = planned.run * simulation.slowness(order.target, now)
    end = (now + run, next(simulation.event_numbers), order, run)
    heapq.heappush(simulation.finish_events, end)
    simulation.placed.append(Placement(planned, now - planned.at, order.target))


def _finish_due_tasks(simulation: Simulation) -> None:
    while (
        simulation.finish_events
        and simulation.finish_events[0][0] <= simulation.core.now
    ):
        _, _, order, run = heapq.heappop(simulation.finish_events)
        answered = ResultCode.ANSWERED
        report = TaskReport(
            order.key, order.attempt, answered, int(run * _MS_PER_S)
        )
        on_task_report(simulation.core.lead, report, ENTRY)


def _announce_due(simulation: Simulation) -> None:
    if simulation.core.now >= simulation.announced + _ANNOUNCE_INTERVAL_S:
        simulation.announced = simulation.core.now
        running = [end[2] for end in simulation.finish_events]
        simulation.core.orders = running
        announce_all(simulation.core)


def _record_utilization(simulation: Simulation, step: float) -> None:
    lanes = simulation.core.lead.lanes.by_name.values()
    if any(lane.tasks for lane in lanes):
        replicated = simulation.core.lead.replicated
        share = replicated.held.slots / replicated.capacity.slots
        simulation.slot_share_integral += share * step
        simulation.backlog_time += step


def run_simulation(simulation: Simulation, seconds: float) -> None:
    """Submit the arrivals and run the tasks for some simulated seconds."""
    upcoming = iter(simulation.arrivals)
    next_arrival = next(upcoming, None)
    while simulation.core.now < seconds:
        _announce_due(simulation)
        _finish_due_tasks(simulation)
        while next_arrival and next_arrival.at <= simulation.core.now:
            submit(simulation.core, next_arrival.contract)
            next_arrival = next(upcoming, None)
        simulation.core.orders = []
        run_turn(simulation.core, _TURN_S)
        for order in simulation.core.orders:
            _start(simulation, order)
        _record_utilization(simulation, _TURN_S)


def poisson_arrivals(
    seed: int,
    work_name: str,
    rate: float,
    span: tuple[float, float],
    run: float,
    **more,
) -> Iterator[PlannedArrival]:
    """Yield Poisson arrivals of one kind of work within a time span (s).

    ``rate`` is per second; ``run`` is the estimated run time (s), from which
    the true one differs by up to 20 %.
    """
    start, end = span
    random = Random(f'{seed}{work_name}')
    at = start
    for number in count():
        at += random.expovariate(rate)
        if at >= end:
            return
        contract = Contract(
            f'{work_name}~{number}',
            more.get('team', 'team0'),
            work=work_name,
            size=more.get('size', Size(1000, 1024)),
            kind=more.get('kind', Kind.BATCH),
            count=more.get('count', 1),
            priority=more.get('priority', Priority.NORMAL),
            run=run,
            checkpoint=more.get('checkpoint', False),
        )
        yield PlannedArrival(at, contract, run * random.uniform(0.8, 1.2))


def equal_slowness(target: str, now: float) -> float:
    """Return the same slowness for all targets."""
    return 1


def p99_wait(
    placed: Iterable[Placement], work_name: str, after: float = 0
) -> float:
    """Return the p99 wait (s) of one kind of work.

    Only work that arrived at ``after`` (s) or later counts; 0 without any.
    """
    waits = sorted(
        one.wait
        for one in placed
        if one.planned.contract.work == work_name and one.planned.at >= after
    )
    return round(waits[int(len(waits) * _P99_QUANTILE)], 4) if waits else 0


def _new_core(policy: Policy, workers: int = 24, teams: int = 20) -> Core:
    return Core(Scale(workers, 0, teams), policy)


def head_of_line(policy: Policy) -> dict[str, float]:
    """Measure the p99 wait of short work, alone and beside long work.

    Long work runs 30 times longer.  The offered load is 70 % in both cases.
    """
    slots = 192
    alone = Simulation(
        _new_core(policy),
        poisson_arrivals(
            1, 'stamp', slots * 0.7 / _SHORT_RUN_S, (0, 6), _SHORT_RUN_S
        ),
        equal_slowness,
    )
    run_simulation(alone, 6)
    work = [
        *poisson_arrivals(
            1, 'stamp', slots * 0.35 / _SHORT_RUN_S, (0, 12), _SHORT_RUN_S
        ),
        *poisson_arrivals(
            1, 'sweep', slots * 0.35 / _LONG_RUN_S, (0, 12), _LONG_RUN_S
        ),
    ]
    beside = Simulation(_new_core(policy), work, equal_slowness)
    run_simulation(beside, 12)
    return {
        'alone_s': p99_wait(alone.placed, 'stamp', 1),
        'beside_s': p99_wait(beside.placed, 'stamp', 4),
    }


def crest(policy: Policy) -> dict[str, float]:
    """Measure 5 s of demand at 3 times the capacity, a fifth of it urgent."""
    slots = 192
    rate = slots / 0.5
    work = []
    for number, (factor, start, end) in enumerate((
        (0.7, 0, 4),
        (3, 4, 9),
        (0.7, 9, 18),
    )):
        urgent = {'priority': Priority.URGENT}
        urgent_work_name = f'u{number}'
        work += poisson_arrivals(
            2,
            urgent_work_name,
            rate * factor * 0.2,
            (start, end),
            0.5,
            **urgent,
        )
        work += poisson_arrivals(
            2, f'n{number}', rate * factor * 0.8, (start, end), 0.5
        )
    simulation = Simulation(_new_core(policy), work, equal_slowness)
    run_simulation(simulation, 20)
    started = {one.planned.contract.id for one in simulation.placed}
    urgent = [one for one in work if one.contract.work == 'u1']
    share = sum(one.contract.id in started for one in urgent) / len(urgent)
    return {
        'urgent_started_share': round(share, 3),
        'urgent_longest_s': round(
            max(
                one.wait
                for one in simulation.placed
                if one.planned.contract.priority is Priority.URGENT
            ),
            3,
        ),
        'normal_p99_before_s': p99_wait(simulation.placed, 'n0', 1),
        'normal_p99_from_5s_after_s': p99_wait(simulation.placed, 'n2', 14),
        'refused': sum(
            number for number in simulation.core.lead.refusals.values()
        )
        + sum(simulation.core.lead.replicated.tally.refusals.values()),
    }


def gangs(policy: Policy) -> dict[str, float]:
    """Measure gangs of half the cell's slots among a stream of small work."""
    slots = 192
    work = [
        *poisson_arrivals(3, 'small', slots * 0.8, (0, 20), 1.5),
        *poisson_arrivals(
            3, 'gang', 0.2, (0, 10), 2, kind=Kind.GANG, count=slots // 2
        ),
    ]
    gang_arrivals = [one for one in work if one.contract.work == 'gang']
    open_policy = replace(policy, admission='open')
    simulation = Simulation(_new_core(open_policy), work, equal_slowness)
    run_simulation(simulation, 30)
    started = {
        one.planned.contract.id
        for one in simulation.placed
        if one.planned.contract.work == 'gang'
    }
    times: dict[str, set[float]] = {}
    for one in simulation.placed:
        if one.planned.contract.work == 'gang':
            at = round(one.planned.at + one.wait, 6)
            times.setdefault(one.planned.contract.id, set()).add(at)
    return {
        'gangs': len(gang_arrivals),
        'started': len(started),
        'started_in_parts': sum(len(one) > 1 for one in times.values()),
        'longest_wait_s': p99_wait(simulation.placed, 'gang'),
        'slots_leased_share': round(
            simulation.slot_share_integral / simulation.backlog_time, 3
        ),
    }


def speeds(policy: Policy) -> dict[str, float]:
    """Measure the share of work on fast targets; half are 4 times slower."""

    def alternating_slowness(target: str, now: float) -> float:
        return 4 if int(target[1:]) % 2 else 1

    work = list(poisson_arrivals(4, 'check', 120, (0, 20), 0.5))
    simulation = Simulation(_new_core(policy), work, alternating_slowness)
    run_simulation(simulation, 26)
    after_warm_up = [one for one in simulation.placed if one.planned.at >= 8]
    fast = sum(
        alternating_slowness(one.target, 0) == 1 for one in after_warm_up
    )
    return {'share_to_fast_targets': round(fast / len(after_warm_up), 3)}


def fairness(policy: Policy, seed: int = 5) -> dict[str, float]:
    """Measure the p99 wait of 19 teams beside one at 10 times its share."""
    slots = 192

    def others() -> list[PlannedArrival]:
        work = []
        for number in range(1, 20):
            work += poisson_arrivals(
                seed,
                f'o{number}',
                slots * 0.04 / 0.2,
                (0, 10),
                0.2,
                team=f'team{number}',
            )
        return work

    figures = {}
    for name, factor in (('alone_s', 0.04), ('beside_s', 0.4)):
        greedy = poisson_arrivals(
            seed, 'greedy', slots * factor / 0.2, (0, 10), 0.2
        )
        open_policy = replace(policy, admission='open')
        simulation = Simulation(
            _new_core(open_policy), [*others(), *greedy], equal_slowness
        )
        run_simulation(simulation, 12)
        waits = sorted(
            one.wait
            for one in simulation.placed
            if one.planned.contract.work != 'greedy' and one.planned.at > 1
        )
        figures[name] = round(waits[int(len(waits) * _P99_QUANTILE)], 4)
    return figures


MEASUREMENTS = (head_of_line, crest, gangs, speeds, fairness)


def main() -> None:
    """Print the figures of all measurements under both policies."""
    for measure in MEASUREMENTS:
        for name, policy in (
            ('baseline', BASELINE_POLICY),
            ('present', CURRENT_POLICY),
        ):
            figures = {
                'bench': measure.__name__,
                'policy': name,
                **measure(policy),
            }
            sys.stdout.write(f'{json.dumps(figures)}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
