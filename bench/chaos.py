"""Chaos test: injects random faults into a cell under load.

Links between the processes pass through relays, so that they can be cut.
``python -m bench.chaos --seed N --rounds N`` prints the seed and the faults
of each round, and every violation of a guarantee that the history shows.
"""

import argparse
import asyncio
import json
import sys
import tempfile
from pathlib import Path
from random import Random

from standins.cell import plan_cell, start_targets, wait_until_serving
from standins.load import run_load
from standins.partition import relayed_cell
from tests.faults import FAULTS, Trial
from tests.history import find_violations
from tests.steps.guarantee_steps import mixed_work, spans_of

_START_TIMEOUT_S = 60
_LOAD_SECONDS = 14
_RATE_PER_S = 25
_DOMAINS = ('santander', 'oviedo')
_TARGETS_PER_DOMAIN = 2


async def _run_load_with_faults(trial: Trial, seed: int, names: list[str]):
    entries = [host.entry for host in trial.cell.plan.hosts]
    arrivals = mixed_work(seed, _LOAD_SECONDS, _RATE_PER_S)
    load = asyncio.ensure_future(run_load(entries, arrivals))
    for name in names:
        await asyncio.sleep(1)
        await FAULTS[name](trial)
    return await load


def run_round(seed: int) -> list[str]:
    """Run one round of two random faults; return the violated guarantees."""
    random = Random(seed)
    names = random.sample(sorted(FAULTS), 2)
    sys.stdout.write(f'seed {seed}: {", then ".join(names)}\n')
    with tempfile.TemporaryDirectory() as folder:
        plan = plan_cell('norte', _DOMAINS)
        with relayed_cell(plan, Path(folder)) as (cell, network):
            for domain in _DOMAINS:
                start_targets(cell, domain, _TARGETS_PER_DOMAIN)
            start_targets(cell, _DOMAINS[0], 1, name='lone')
            total = _TARGETS_PER_DOMAIN * len(_DOMAINS) + 1
            wait_until_serving(cell, total, _START_TIMEOUT_S)
            trial = Trial(cell, network)
            records = asyncio.run(_run_load_with_faults(trial, seed, names))
            codes = [record.code for record in records]
            counts = {code: codes.count(code) for code in sorted(set(codes))}
            sys.stdout.write(f'  codes {json.dumps(counts)}\n')
            return find_violations(records, spans_of(cell))


def main() -> int:
    """Run all rounds; return 1 when a guarantee was violated, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rounds', type=int, default=1)
    args = parser.parse_args()
    violations = []
    for number in range(args.rounds):
        violations += run_round(args.seed + number)
    sys.stdout.write('\n'.join(violations) or 'no guarantee was violated')
    sys.stdout.write('\n')
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
