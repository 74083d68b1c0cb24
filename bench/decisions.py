"""The decisions alone: speed, waits, packing; against the baseline policy.

``python -m bench.decisions`` prints JSON lines; each figure stands beside
its bound, which comes from the stated target.
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
    end_one,
    place_tasks,
    random_contract,
    run_turn,
    submit,
)
from daisygw.cli import tune_garbage_collector
from daisygw.contracts import Policy, WaitLimits

_TURNS = 750
_BATCH = 8
_MICRO = 1_000_000
_KIB = 1024
_P99 = 0.99
_RUNS = 3
_STEP = 0.002

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
class Speed:
    """What one run of the core gave."""

    per_second: float
    p50_us: float
    p99_us: float
    looked_at: float


def _rss() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KIB


def measure(core: Core, batch: int) -> Speed:
    """Submit, place and end in turns of ``batch`` requests each."""
    lead = core.lead
    decided = lead.decisions
    looked = lead.index.looked_at
    spans = []
    for number in range(_TURNS):
        contracts = [random_contract(core) for _ in range(batch)]
        began = time.perf_counter()
        for contract in contracts:
            submit(core, contract)
        run_turn(core, _STEP)
        for _ in range(batch):
            end_one(core)
        spans.append((time.perf_counter() - began) / batch)
        if number % 250 == 249:
            announce_all(core)
    spans.sort()
    decisions = lead.decisions - decided
    return Speed(
        round(1 / statistics.fmean(spans)),
        round(statistics.median(spans) * _MICRO, 1),
        round(spans[int(len(spans) * _P99)] * _MICRO, 1),
        round((lead.index.looked_at - looked) / max(decisions, 1), 2),
    )


def _print(**figures) -> None:
    sys.stdout.write(f'{json.dumps(figures)}\n')
    sys.stdout.flush()


def speed(scale: Scale, name: str, policy: Policy) -> None:
    """Measure one scale with one policy; medians of several runs."""
    before = _rss()
    core = Core(scale, policy)
    place_tasks(core, scale.held)
    state = _rss() - before
    runs = [measure(core, _BATCH) for _ in range(_RUNS)]
    single = [measure(core, 1) for _ in range(_RUNS)]
    _print(
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
        in_turns_of=_BATCH,
        looked_at=statistics.median(run.looked_at for run in runs),
        state_bytes_per_task=round(state / scale.held),
        rss_mib=round(_rss() / _KIB / _KIB, 1),
        bound_rss_mib=64,
    )


def main() -> None:
    """Measure all scales with the baseline and the present policy."""
    tune_garbage_collector()
    wanted = {int(one) for one in sys.argv[1:]}
    for scale in SCALES:
        if wanted and scale.workers not in wanted:
            continue
        speed(scale, 'baseline', BASELINE_POLICY)
        speed(scale, 'present', CURRENT_POLICY)


if __name__ == '__main__':
    main()
