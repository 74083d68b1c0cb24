"""Benchmarks whole cells at the users' sizes.

Schedulers and entries are real processes; targets are simulated.
``python -m bench.cells [latas|obrapase]`` prints JSON lines that hold each
figure with its bound, taken from the stated performance target.
``make bench`` stores the lines and plots them.
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

_START_TIMEOUT_S = 60
_SLOTS_PER_TARGET = 8
_MS_PER_S = 1000
_SHORT_MS = 100
# Run time of long work relative to short work.
_LONG_FACTOR = 30
_POLICY_TEMPLATE = """
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
class UserCell:
    """Layout of a user's cell; ``targets`` counts those of each domain."""

    name: str
    region: str
    domains: tuple[str, ...]
    targets: int


@dataclass(frozen=True, slots=True)
class NamedPolicy:
    """A named choice of ordering, scoring and admission."""

    name: str
    ordering: str
    scoring: str
    admission: str


USERS = (
    UserCell('latas', 'norte', ('santander', 'oviedo', 'bilbao'), 8),
    UserCell(
        'obrapase',
        'amba',
        ('amba-norte', 'amba-sur', 'amba-oeste', 'amba-centro'),
        6,
    ),
)
POLICIES = (
    NamedPolicy('baseline', 'fifo', 'first', 'open'),
    NamedPolicy('present', 'lanes', 'finish', 'wait'),
)


def _plan_user_cell(user: UserCell, policy: NamedPolicy) -> CellPlan:
    extra = _POLICY_TEMPLATE.format(
        ordering=policy.ordering,
        scoring=policy.scoring,
        admission=policy.admission,
    )
    return plan_cell(user.region, user.domains, extra=extra, fast_timing=False)


def poisson(
    random: Random,
    rate: float,
    seconds: float,
    start: float = 0,
) -> Iterator[float]:
    """Yield Poisson arrival times (s) at ``rate`` per second from ``start``."""
    at = start
    until = start + seconds
    while at < until:
        yield at
        at += random.expovariate(rate)


def _arrival(at: float, work_name: str, run_ms: float, **more) -> Arrival:
    contract = {'team': 'patio', 'work': work_name, **more}
    return Arrival(at, contract, json.dumps({'ms': run_ms}).encode(), work_name)


def mixed_load(slots: int, load: float, seconds: float, long_share: float):
    """Return arrivals of short and long work, sorted by time.

    ``load`` is the offered share of all slots, ``long_share`` the part of it
    that is long work.
    """
    random = Random(7)
    short_rate = slots * load * (1 - long_share) * _MS_PER_S / _SHORT_MS
    times = poisson(random, short_rate, seconds)
    work = [_arrival(at, 'stamp', _SHORT_MS) for at in times]
    if long_share:
        long_ms = _SHORT_MS * _LONG_FACTOR
        long_rate = slots * load * long_share * _MS_PER_S / long_ms
        times = poisson(random, long_rate, seconds)
        work += [_arrival(at, 'sweep', long_ms, team='criba') for at in times]
    return sorted(work, key=lambda arrival: arrival.at)


def wait_histogram(
    records: list[SubmissionRecord], work_name: str
) -> HdrHistogram:
    """Return the waits (ms) of answered work of one kind.

    A wait is the latency beyond the run time, at least 1 ms.
    """
    histogram = HdrHistogram(1, 3_600_000, 3)
    for record in records:
        if (
            record.arrival.work_name == work_name
            and record.code == ResultCode.ANSWERED
        ):
            run = json.loads(record.arrival.body)['ms']
            wait = max(record.took * _MS_PER_S - run, 1)
            histogram.record_value(int(wait))
    return histogram


def _print_line(**figures) -> dict:
    sys.stdout.write(f'{json.dumps(figures)}\n')
    sys.stdout.flush()
    return figures


def _run_load(
    cell: RunningCell, arrivals: list[Arrival]
) -> list[SubmissionRecord]:
    entries = [host.entry for host in cell.plan.hosts]
    return asyncio.run(run_load(entries, arrivals))


def _warm_up(cell: RunningCell, slots: int) -> None:
    _run_load(cell, mixed_load(slots, 0.2, 4, 0.3))


def _measure_head_of_line(
    cell: RunningCell, user: UserCell, policy: NamedPolicy, slots: int
):
    """Measure the p99 wait of short work, alone and beside long work.

    The offered load is 7 % of the slots, a tenth of the stated 70 %.
    """
    load_scale = 0.1
    alone = wait_histogram(
        _run_load(cell, mixed_load(slots, 0.7 * load_scale, 8, 0)), 'stamp'
    )
    beside = wait_histogram(
        _run_load(cell, mixed_load(slots, 0.7 * load_scale, 8, 0.5)), 'stamp'
    )
    _print_line(
        bench='head-of-line',
        user=user.name,
        policy=policy.name,
        offered=0.7 * load_scale,
        p99_alone_ms=alone.get_value_at_percentile(99),
        p99_beside_ms=beside.get_value_at_percentile(99),
        bound='beside at most 2 x alone',
    )


def _measure_throughput(
    cell: RunningCell, user: UserCell, policy: NamedPolicy
) -> None:
    """Measure placements per second with batches of many short tasks."""
    count = 400
    entries = len(cell.plan.hosts)
    arrivals = [_arrival(0, 'tiny', 1, count=count) for _ in range(entries * 2)]
    start = time.monotonic()
    records = _run_load(cell, arrivals)
    took = time.monotonic() - start
    lines = sum(record.answer.count(b'\n') for record in records)
    _print_line(
        bench='throughput',
        user=user.name,
        policy=policy.name,
        placements_per_s=round(lines / took),
        tasks=lines,
    )


def _measure_peak(
    cell: RunningCell, user: UserCell, policy: NamedPolicy, slots: int
) -> None:
    """Raise demand to 3 times the capacity of the cell, and lower it again."""
    random = Random(3)
    # Rate of normal work that keeps all slots busy.
    capacity_per_s = 60
    work = []
    for rate, start, seconds in (
        (capacity_per_s * 0.7, 0, 5),
        (capacity_per_s * 3, 5, 5),
        (capacity_per_s * 0.7, 10, 8),
    ):
        for at in poisson(random, rate, seconds, start):
            urgent = random.randrange(5) == 0
            work_name = 'stamp' if urgent else 'check'
            priority = 'urgent' if urgent else 'normal'
            run = 100 if urgent else slots * _MS_PER_S / capacity_per_s
            work.append(_arrival(at, work_name, run, priority=priority))
    records = _run_load(cell, work)
    _print_peak_figures(records, user, policy)


def _answered_share(
    records: list[SubmissionRecord], work_name: str, start: float, end: float
):
    matching = [
        record
        for record in records
        if record.arrival.work_name == work_name
        and start <= record.arrival.at < end
    ]
    answered_records = [
        one for one in matching if one.code == ResultCode.ANSWERED
    ]
    longest = max((one.took for one in answered_records), default=0)
    return len(answered_records) / max(len(matching), 1), round(longest, 2)


def _print_peak_figures(records, user: UserCell, policy: NamedPolicy) -> None:
    before, _ = _answered_share(records, 'stamp', 0, 5)
    at_peak, longest = _answered_share(records, 'stamp', 5, 10)
    after, longest_after = _answered_share(records, 'check', 15, 18)
    refused = sum(record.code == ResultCode.OVERLOADED for record in records)
    _print_line(
        bench='crest',
        user=user.name,
        policy=policy.name,
        urgent_answered_before=round(before, 3),
        urgent_answered_at_crest=round(at_peak, 3),
        bound_share=0.95,
        urgent_longest_s=longest,
        bound_urgent_s=5.4,
        refused=refused,
        normal_answered_5s_after=round(after, 3),
        normal_longest_5s_after_s=longest_after,
    )


def _measure_idle_cost(
    cell: RunningCell, user: UserCell, policy: NamedPolicy
) -> None:
    """Measure CPU time, bytes sent and memory of the idle processes."""
    before = _process_usage(cell)
    seconds = 5
    time.sleep(seconds)
    after = _process_usage(cell)
    for kind in ('entry', 'scheduler'):
        cpu = [
            (after[host][kind][0] - before[host][kind][0]) / seconds
            for host in after
        ]
        sent = [
            (after[host][kind][1] - before[host][kind][1]) / seconds
            for host in after
        ]
        _print_line(
            bench='idle',
            user=user.name,
            policy=policy.name,
            process=kind,
            core_percent=round(max(cpu) * 100, 2),
            bound_core_percent=1.2,
            sent_kb_s=round(max(sent) / 1000, 2),
            bound_kb_s=17,
            rss_mib=round(
                max(after[host][kind][2] for host in after) / 1024, 1
            ),
            bound_rss_mib=64,
        )


def _process_usage(cell: RunningCell) -> dict:
    usage_by_host = {}
    for host in cell.plan.hosts:
        dump = fetch_json(host.entry, '/v1/dump')
        usage_by_host[host.name] = {}
        for kind in ('entry', 'scheduler'):
            process = dump[kind]
            links = [*process['links'], *process.get('sessions', ())]
            sent = sum(link['sent_bytes'] for link in links)
            used = process['usage']
            usage_by_host[host.name][kind] = (
                used['cpu_s'],
                sent,
                used['max_rss_kib'],
            )
    return usage_by_host


def run_user(user: UserCell, policy: NamedPolicy) -> None:
    """Run all benchmarks on one user's cell under one policy."""
    slots = user.targets * len(user.domains) * _SLOTS_PER_TARGET
    with tempfile.TemporaryDirectory() as folder:
        plan = _plan_user_cell(user, policy)
        with running_cell(plan, Path(folder)) as cell:
            for domain in domains_of(plan):
                start_targets(cell, domain, user.targets)
            total = user.targets * len(user.domains)
            wait_until_serving(cell, total, _START_TIMEOUT_S)
            _measure_idle_cost(cell, user, policy)
            _warm_up(cell, slots)
            _measure_throughput(cell, user, policy)
            _measure_head_of_line(cell, user, policy, slots)
            _measure_peak(cell, user, policy, slots)


def main() -> None:
    """Run the benchmarks for the users named as arguments, or for all."""
    requested = sys.argv[1:]
    for user in USERS:
        if not requested or user.name in requested:
            for policy in POLICIES:
                run_user(user, policy)


if __name__ == '__main__':
    main()
