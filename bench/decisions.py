"""Benchmarks the speed and memory of placement decisions, without I/O.

``python -m bench.decisions [WORKERS ...]`` compares the current policy with
the baseline policy.  It prints JSON lines that hold each figure with its
bound, taken from the stated performance target.
"""

import json
import resource
import statistics
import sys
import time
from dataclasses import dataclass, replace

from bench.core import (
    Core,
    Scale,
    announce_all,
    finish_random_task,
    place_tasks,
    random_contract,
    run_turn,
    submit,
)
from daisygw.cli import tune_garbage_collector
from daisygw.contracts import Policy, WaitLimits

_TURNS_PER_RUN = 750
_REQUESTS_PER_TURN = 8
_US_PER_S = 1_000_000
_BYTES_PER_KIB = 1024
_P99_QUANTILE = 0.99
_RUNS_PER_SCALE = 3
_TURN_S = 0.002

SCALES = (
    Scale(24, 150, 12, 8),
    Scale(290, 7_800, 46, 32),
    Scale(2_900, 78_000, 230, 32),
)
CURRENT_POLICY = Policy(
    short_share=0,
    max_wait=WaitLimits(3600, 3600, 3600),
    lease=3600,
    keep_outcomes=1,
)
BASELINE_POLICY = replace(
    CURRENT_POLICY,
    ordering='fifo',
    scoring='first',
    admission='open',
)


@dataclass(frozen=True, slots=True)
class SpeedResult:
    """Figures of one run.

    Requests per second, median and p99 time per request (us), and candidates
    considered per decision.
    """

    per_second: float
    p50_us: float
    p99_us: float
    looked_at: float


def _peak_rss_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _BYTES_PER_KIB


def measure_run(core: Core, batch: int) -> SpeedResult:
    """Submit, place and finish ``batch`` requests in each of many turns."""
    lead = core.lead
    decisions_before = lead.decisions
    looked_at_before = lead.index.looked_at
    spans = []
    for number in range(_TURNS_PER_RUN):
        contracts = [random_contract(core) for _ in range(batch)]
        start = time.perf_counter()
        for contract in contracts:
            submit(core, contract)
        run_turn(core, _TURN_S)
        for _ in range(batch):
            finish_random_task(core)
        spans.append((time.perf_counter() - start) / batch)
        if number % 250 == 249:
            announce_all(core)
    spans.sort()
    decisions = lead.decisions - decisions_before
    return SpeedResult(
        round(1 / statistics.fmean(spans)),
        round(statistics.median(spans) * _US_PER_S, 1),
        round(spans[int(len(spans) * _P99_QUANTILE)] * _US_PER_S, 1),
        round((lead.index.looked_at - looked_at_before) / max(decisions, 1), 2),
    )


def _print_line(**figures) -> None:
    sys.stdout.write(f'{json.dumps(figures)}\n')
    sys.stdout.flush()


def speed(scale: Scale, name: str, policy: Policy) -> None:
    """Print the medians of several runs at one scale with one policy."""
    before = _peak_rss_bytes()
    core = Core(scale, policy)
    place_tasks(core, scale.held)
    state = _peak_rss_bytes() - before
    runs = [
        measure_run(core, _REQUESTS_PER_TURN) for _ in range(_RUNS_PER_SCALE)
    ]
    single = [measure_run(core, 1) for _ in range(_RUNS_PER_SCALE)]
    _print_line(
        bench='speed',
        policy=name,
        workers=scale.workers,
        held=scale.held,
        teams=scale.teams,
        decisions_per_s=statistics.median(run.per_second for run in runs),
        bound_per_s=4400,
        p50_us=statistics.median(run.p50_us for run in single),
        p99_us=statistics.median(run.p99_us for run in single),
        bound_p99_us=5000,
        in_turns_of=_REQUESTS_PER_TURN,
        looked_at=statistics.median(run.looked_at for run in runs),
        state_bytes_per_task=round(state / scale.held),
        rss_mib=round(_peak_rss_bytes() / _BYTES_PER_KIB / _BYTES_PER_KIB, 1),
        bound_rss_mib=64,
    )


def main() -> None:
    """Measure the scales with the given numbers of workers, or all."""
    tune_garbage_collector()
    requested = {int(one) for one in sys.argv[1:]}
    for scale in SCALES:
        if requested and scale.workers not in requested:
            continue
        speed(scale, 'baseline', BASELINE_POLICY)
        speed(scale, 'present', CURRENT_POLICY)


if __name__ == '__main__':
    main()
