"""Whole cells at the users' sizes: real processes, stand-in targets.

``python -m bench.cells [latas|obrapase]`` prints JSON lines; each figure
stands beside its bound, which comes from the stated target.  ``make bench``
keeps and draws them.
"""

import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from random import Random

from hdrh.histogram import HdrHistogram

from daisygw.contracts import ResultCode
from standins.cell import (
    CellPlan,
    RunningCell,
    domains_of,
    fetch_json,
    plan_cell,
    running_cell,
    start_targets,
    wait_until_serving,
)
from standins.load import Arrival, SubmissionRecord, run_load

_UP_WAIT = 60
_SLOTS = 8
_MS = 1000
_SHORT_MS = 100
_LONG_FACTOR = 30
_POLICY = """
[policy]
ordering = "{ordering}"
scoring = "{scoring}"
admission = "{admission}"
short_run = 0.5
short_share = 0.25
[policy.max_wait]
urgent = 5.4
normal = 2
patient = 1
"""


@dataclass(frozen=True, slots=True)
class User:
    """A user's cell: failure domains, and targets in each."""

    name: str
    region: str
    domains: tuple[str, ...]
    targets: int


@dataclass(frozen=True, slots=True)
class Named:
    """A policy by name."""

    name: str
    ordering: str
    scoring: str
    admission: str


USERS = (
    User('latas', 'norte', ('santander', 'oviedo', 'bilbao'), 8),
    User(
        'obrapase',
        'amba',
        ('amba-norte', 'amba-sur', 'amba-oeste', 'amba-centro'),
        6,
    ),
)
POLICIES = (
    Named('baseline', 'fifo', 'first', 'open'),
    Named('present', 'lanes', 'finish', 'wait'),
)


def _plan(user: User, policy: Named) -> CellPlan:
    extra = _POLICY.format(
        ordering=policy.ordering,
        scoring=policy.scoring,
        admission=policy.admission,
    )
    return plan_cell(user.region, user.domains, extra=extra, fast_timing=False)


def poisson(
    random: Random,
    rate: float,
    seconds: float,
    began: float = 0,
) -> Iterator[float]:
    """Yield arrival times at ``rate`` a second."""
    at = began
    until = began + seconds
    while at < until:
        yield at
        at += random.expovariate(rate)


def _arrival(at: float, work_name: str, run_ms: float, **more) -> Arrival:
    contract = {'team': 'patio', 'work': work_name, **more}
    return Arrival(at, contract, json.dumps({'ms': run_ms}).encode(), work_name)


def mixed(slots: int, load: float, seconds: float, long_share: float):
    """Return short and long work that offers ``load`` of all slots."""
    random = Random(7)
    short_rate = slots * load * (1 - long_share) * _MS / _SHORT_MS
    times = poisson(random, short_rate, seconds)
    work = [_arrival(at, 'stamp', _SHORT_MS) for at in times]
    if long_share:
        long_ms = _SHORT_MS * _LONG_FACTOR
        long_rate = slots * load * long_share * _MS / long_ms
        times = poisson(random, long_rate, seconds)
        work += [_arrival(at, 'sweep', long_ms, team='criba') for at in times]
    return sorted(work, key=lambda arrival: arrival.at)


def waits(records: list[SubmissionRecord], work_name: str) -> HdrHistogram:
    """Return the waits (ms over the run time) of one sort of work."""
    histogram = HdrHistogram(1, 3_600_000, 3)
    for record in records:
        if (
            record.arrival.work_name == work_name
            and record.code == ResultCode.ANSWERED
        ):
            run = json.loads(record.arrival.body)['ms']
            wait = max(record.took * _MS - run, 1)
            histogram.record_value(int(wait))
    return histogram


def _say(**figures) -> dict:
    sys.stdout.write(f'{json.dumps(figures)}\n')
    sys.stdout.flush()
    return figures


def _load(cell: RunningCell, arrivals: list[Arrival]) -> list[SubmissionRecord]:
    entries = [host.entry for host in cell.plan.hosts]
    return asyncio.run(run_load(entries, arrivals))


def _learn(cell: RunningCell, slots: int) -> None:
    _load(cell, mixed(slots, 0.2, 4, 0.3))


def _blocking(cell: RunningCell, user: User, policy: Named, slots: int):
    """Short work's p99 wait without and with stragglers, at 70% load."""
    scale = 0.1
    alone = waits(_load(cell, mixed(slots, 0.7 * scale, 8, 0)), 'stamp')
    beside = waits(_load(cell, mixed(slots, 0.7 * scale, 8, 0.5)), 'stamp')
    _say(
        bench='head-of-line',
        user=user.name,
        policy=policy.name,
        offered=0.7 * scale,
        p99_alone_ms=alone.get_value_at_percentile(99),
        p99_beside_ms=beside.get_value_at_percentile(99),
        bound='beside at most 2 x alone',
    )


def _throughput(cell: RunningCell, user: User, policy: Named) -> None:
    """Placements a second: batches of many short tasks at once."""
    count = 400
    entries = len(cell.plan.hosts)
    arrivals = [_arrival(0, 'tiny', 1, count=count) for _ in range(entries * 2)]
    began = time.monotonic()
    records = _load(cell, arrivals)
    took = time.monotonic() - began
    lines = sum(record.answer.count(b'\n') for record in records)
    _say(
        bench='throughput',
        user=user.name,
        policy=policy.name,
        placements_per_s=round(lines / took),
        tasks=lines,
    )


def _crest(cell: RunningCell, user: User, policy: Named, slots: int) -> None:
    """Demand swings to 3 times what the cell answers, and back."""
    random = Random(3)
    base = 60
    work = []
    for rate, began, seconds in (
        (base * 0.7, 0, 5),
        (base * 3, 5, 5),
        (base * 0.7, 10, 8),
    ):
        for at in poisson(random, rate, seconds, began):
            urgent = random.randrange(5) == 0
            work_name = 'stamp' if urgent else 'check'
            priority = 'urgent' if urgent else 'normal'
            run = 100 if urgent else slots * _MS / base
            work.append(_arrival(at, work_name, run, priority=priority))
    records = _load(cell, work)
    _crest_figures(records, user, policy)


def _rate(
    records: list[SubmissionRecord], work_name: str, began: float, ended: float
):
    mine = [
        record
        for record in records
        if record.arrival.work_name == work_name
        and began <= record.arrival.at < ended
    ]
    good = [one for one in mine if one.code == ResultCode.ANSWERED]
    longest = max((one.took for one in good), default=0)
    return len(good) / max(len(mine), 1), round(longest, 2)


def _crest_figures(records, user: User, policy: Named) -> None:
    before, _ = _rate(records, 'stamp', 0, 5)
    crest, longest = _rate(records, 'stamp', 5, 10)
    after, settled = _rate(records, 'check', 15, 18)
    refused = sum(record.code == ResultCode.OVERLOADED for record in records)
    _say(
        bench='crest',
        user=user.name,
        policy=policy.name,
        urgent_answered_before=round(before, 3),
        urgent_answered_at_crest=round(crest, 3),
        bound_share=0.95,
        urgent_longest_s=longest,
        bound_urgent_s=5.4,
        refused=refused,
        normal_answered_5s_after=round(after, 3),
        normal_longest_5s_after_s=settled,
    )


def _control(cell: RunningCell, user: User, policy: Named) -> None:
    """Processor time and bytes of control, busy and idle."""
    before = _usage(cell)
    seconds = 5
    time.sleep(seconds)
    after = _usage(cell)
    for kind in ('entry', 'scheduler'):
        cpu = [
            (after[host][kind][0] - before[host][kind][0]) / seconds
            for host in after
        ]
        sent = [
            (after[host][kind][1] - before[host][kind][1]) / seconds
            for host in after
        ]
        _say(
            bench='idle',
            user=user.name,
            policy=policy.name,
            process=kind,
            core_percent=round(max(cpu) * 100, 2),
            bound_core_percent=1.2,
            sent_kb_s=round(max(sent) / 1000, 2),
            bound_kb_s=17,
            rss_mib=round(max(after[one][kind][2] for one in after) / 1024, 1),
            bound_rss_mib=64,
        )


def _usage(cell: RunningCell) -> dict:
    seen = {}
    for host in cell.plan.hosts:
        dump = fetch_json(host.entry, '/v1/dump')
        seen[host.name] = {}
        for kind in ('entry', 'scheduler'):
            one = dump[kind]
            links = [*one['links'], *one.get('sessions', ())]
            sent = sum(link['sent_bytes'] for link in links)
            used = one['usage']
            seen[host.name][kind] = (used['cpu_s'], sent, used['max_rss_kib'])
    return seen


def run_user(user: User, policy: Named) -> None:
    """Measure one user's cell under one policy."""
    slots = user.targets * len(user.domains) * _SLOTS
    with tempfile.TemporaryDirectory() as folder:
        plan = _plan(user, policy)
        with running_cell(plan, Path(folder)) as cell:
            for domain in domains_of(plan):
                start_targets(cell, domain, user.targets)
            total = user.targets * len(user.domains)
            wait_until_serving(cell, total, _UP_WAIT)
            _control(cell, user, policy)
            _learn(cell, slots)
            _throughput(cell, user, policy)
            _blocking(cell, user, policy, slots)
            _crest(cell, user, policy, slots)


def main() -> None:
    """Measure the users named, all where none is."""
    wanted = sys.argv[1:]
    for user in USERS:
        if not wanted or user.name in wanted:
            for policy in POLICIES:
                run_user(user, policy)


if __name__ == '__main__':
    main()
