"""The decisions on a recorded list of arrivals, with a clock given to them.

Orders start at once and end after their run time; nothing here stands for a
network or a host.  The same seed gives the same figures, so the tests hold
them to the stated bounds; ``python -m bench.waits`` prints them.
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
from daisygw.zones import on_report

_MS = 1000
_TURN = 0.001
_ANNOUNCE = 1.0
_P99 = 0.99
_SHORT = 0.1
_LONG = 3.0

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
class Planned:
    """One arrival: when (s), what, and its true run time (s)."""

    at: float
    contract: Contract
    run: float


@dataclass(frozen=True, slots=True)
class Placed:
    """One start: which arrival, its wait (s), and where."""

    planned: Planned
    wait: float
    target: str


class Play:
    """A core, the arrivals still to come, and the ends of what runs."""

    def __init__(
        self,
        core: Core,
        arrivals: Iterable[Planned],
        slowness: Callable[[str, float], float],
    ) -> None:
        """Begin at time 0; ``slowness`` is by target and time."""
        self.core = core
        self.arrivals = sorted(arrivals, key=lambda planned: planned.at)
        self.slowness = slowness
        self.by_id = {one.contract.id: one for one in self.arrivals}
        self.ends: list[tuple[float, int, TaskStartOrder, float]] = []
        self.ties = count()
        self.placed: list[Placed] = []
        self.held_sum = 0.0
        self.waiting_time = 0.0
        self.announced = 0.0


def _start(play: Play, order: TaskStartOrder) -> None:
    planned = play.by_id[order.key.job]
    now = play.core.now
    run = planned.run * play.slowness(order.target, now)
    end = (now + run, next(play.ties), order, run)
    heapq.heappush(play.ends, end)
    play.placed.append(Placed(planned, now - planned.at, order.target))


def _end_due(play: Play) -> None:
    while play.ends and play.ends[0][0] <= play.core.now:
        _, _, order, run = heapq.heappop(play.ends)
        answered = ResultCode.ANSWERED
        report = TaskReport(order.key, order.attempt, answered, int(run * _MS))
        on_report(play.core.lead, report, ENTRY)


def _announce_due(play: Play) -> None:
    if play.core.now >= play.announced + _ANNOUNCE:
        play.announced = play.core.now
        running = [end[2] for end in play.ends]
        play.core.orders = running
        announce_all(play.core)


def _note_packing(play: Play, step: float) -> None:
    lanes = play.core.lead.lanes.by_name.values()
    if any(lane.tasks for lane in lanes):
        replicated = play.core.lead.replicated
        share = replicated.held.slots / replicated.capacity.slots
        play.held_sum += share * step
        play.waiting_time += step


def run_play(play: Play, seconds: float) -> None:
    """Let the arrivals come and everything run, for some seconds."""
    upcoming = iter(play.arrivals)
    following = next(upcoming, None)
    while play.core.now < seconds:
        _announce_due(play)
        _end_due(play)
        while following and following.at <= play.core.now:
            submit(play.core, following.contract)
            following = next(upcoming, None)
        play.core.orders = []
        run_turn(play.core, _TURN)
        for order in play.core.orders:
            _start(play, order)
        _note_packing(play, _TURN)


def arrivals(
    seed: int,
    sort: str,
    rate: float,
    span: tuple[float, float],
    run: float,
    **more,
) -> Iterator[Planned]:
    """Yield arrivals of one sort at ``rate`` a second within a span (s)."""
    began, ended = span
    random = Random(f'{seed}{sort}')
    at = began
    for number in count():
        at += random.expovariate(rate)
        if at >= ended:
            return
        contract = Contract(
            f'{sort}~{number}',
            more.get('team', 'team0'),
            work=sort,
            size=more.get('size', Size(1000, 1024)),
            kind=more.get('kind', Kind.BATCH),
            count=more.get('count', 1),
            priority=more.get('priority', Priority.NORMAL),
            run=run,
            checkpoint=more.get('checkpoint', False),
        )
        yield Planned(at, contract, run * random.uniform(0.8, 1.2))


def even(target: str, now: float) -> float:
    """All targets are of the same speed."""
    return 1


def p99(placed: Iterable[Placed], sort: str, after: float = 0) -> float:
    """Return the p99 wait (s) of one sort that arrived after a time."""
    waits = sorted(
        one.wait
        for one in placed
        if one.planned.contract.work == sort and one.planned.at >= after
    )
    return round(waits[int(len(waits) * _P99)], 4) if waits else 0


def _cell(policy: Policy, workers: int = 24, teams: int = 20) -> Core:
    return Core(Scale(workers, 0, teams), policy)


def head_of_line(policy: Policy) -> dict[str, float]:
    """Short work's p99 at 70 % load, alone and beside 30 times longer."""
    slots = 192
    alone = Play(
        _cell(policy),
        arrivals(1, 'stamp', slots * 0.7 / _SHORT, (0, 6), _SHORT),
        even,
    )
    run_play(alone, 6)
    work = [
        *arrivals(1, 'stamp', slots * 0.35 / _SHORT, (0, 12), _SHORT),
        *arrivals(1, 'sweep', slots * 0.35 / _LONG, (0, 12), _LONG),
    ]
    beside = Play(_cell(policy), work, even)
    run_play(beside, 12)
    return {
        'alone_s': p99(alone.placed, 'stamp', 1),
        'beside_s': p99(beside.placed, 'stamp', 4),
    }


def crest(policy: Policy) -> dict[str, float]:
    """Demand of 3 times capacity for 5 s; a fifth of it is urgent."""
    slots = 192
    rate = slots / 0.5
    work = []
    for number, (factor, began, ended) in enumerate((
        (0.7, 0, 4),
        (3, 4, 9),
        (0.7, 9, 18),
    )):
        urgent = {'priority': Priority.URGENT}
        mine = f'u{number}'
        work += arrivals(
            2, mine, rate * factor * 0.2, (began, ended), 0.5, **urgent
        )
        work += arrivals(
            2, f'n{number}', rate * factor * 0.8, (began, ended), 0.5
        )
    play = Play(_cell(policy), work, even)
    run_play(play, 20)
    started = {one.planned.contract.id for one in play.placed}
    urgent = [one for one in work if one.contract.work == 'u1']
    share = sum(one.contract.id in started for one in urgent) / len(urgent)
    return {
        'urgent_started_share': round(share, 3),
        'urgent_longest_s': round(
            max(
                one.wait
                for one in play.placed
                if one.planned.contract.priority is Priority.URGENT
            ),
            3,
        ),
        'normal_p99_before_s': p99(play.placed, 'n0', 1),
        'normal_p99_from_5s_after_s': p99(play.placed, 'n2', 14),
        'refused': sum(number for number in play.core.lead.refusals.values())
        + sum(play.core.lead.replicated.tally.refusals.values()),
    }


def gangs(policy: Policy) -> dict[str, float]:
    """Gangs of half the cell among a stream of small work."""
    slots = 192
    work = [
        *arrivals(3, 'small', slots * 0.8, (0, 20), 1.5),
        *arrivals(3, 'gang', 0.2, (0, 10), 2, kind=Kind.GANG, count=slots // 2),
    ]
    wanted = [one for one in work if one.contract.work == 'gang']
    open_policy = replace(policy, admission='open')
    play = Play(_cell(open_policy), work, even)
    run_play(play, 30)
    started = {
        one.planned.contract.id
        for one in play.placed
        if one.planned.contract.work == 'gang'
    }
    times: dict[str, set[float]] = {}
    for one in play.placed:
        if one.planned.contract.work == 'gang':
            at = round(one.planned.at + one.wait, 6)
            times.setdefault(one.planned.contract.id, set()).add(at)
    return {
        'gangs': len(wanted),
        'started': len(started),
        'started_in_parts': sum(len(one) > 1 for one in times.values()),
        'longest_wait_s': p99(play.placed, 'gang'),
        'slots_leased_share': round(play.held_sum / play.waiting_time, 3),
    }


def speeds(policy: Policy) -> dict[str, float]:
    """Half of the targets are 4 times slower: mean time to the end."""

    def uneven(target: str, now: float) -> float:
        return 4 if int(target[1:]) % 2 else 1

    work = list(arrivals(4, 'check', 120, (0, 20), 0.5))
    play = Play(_cell(policy), work, uneven)
    run_play(play, 26)
    late = [one for one in play.placed if one.planned.at >= 8]
    fast = sum(uneven(one.target, 0) == 1 for one in late)
    return {'share_to_fast_targets': round(fast / len(late), 3)}


def fairness(policy: Policy, seed: int = 5) -> dict[str, float]:
    """One team at 10 times its share beside 19 others."""
    slots = 192

    def others() -> list[Planned]:
        work = []
        for number in range(1, 20):
            work += arrivals(
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
        greedy = arrivals(seed, 'greedy', slots * factor / 0.2, (0, 10), 0.2)
        opened = replace(policy, admission='open')
        play = Play(_cell(opened), [*others(), *greedy], even)
        run_play(play, 12)
        waits = sorted(
            one.wait
            for one in play.placed
            if one.planned.contract.work != 'greedy' and one.planned.at > 1
        )
        figures[name] = round(waits[int(len(waits) * _P99)], 4)
    return figures


ALL = (head_of_line, crest, gangs, speeds, fairness)


def main() -> None:
    """Print all figures under both policies."""
    for play in ALL:
        for name, policy in (
            ('baseline', BASELINE_POLICY),
            ('present', CURRENT_POLICY),
        ):
            figures = {'bench': play.__name__, 'policy': name, **play(policy)}
            sys.stdout.write(f'{json.dumps(figures)}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
