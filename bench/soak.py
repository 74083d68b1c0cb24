"""Soak test: injects overlapping faults into a cell of real processes.

``python -m bench.soak --seed N --seconds S`` runs three schedulers, two
entries and four workers on loopback addresses.  Signals kill, pause and stop
processes, which are then restarted or resumed.  A scheduler may lose its data
folder or find a torn record at the end of its log.  Relays cut links between
processes and to workers (in both directions or one), delay them and reset
them.  Configurations change meanwhile.

At the end every accepted job must be completed, and the configuration in
force must be at least the newest that was acknowledged.  No task may have run
twice at the same time, or again after its end was acknowledged, and no worker
may have held more than its capacity.
"""

import argparse
import json
import shutil
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from bench.soak_checks import (
    TASK_CPU,
    overcommitted_workers,
    repeated_runs,
    repeats,
)
from bench.soak_faults import (
    WORKERS,
    SoakRun,
    inject_fault,
    run_due_repairs,
)
from standins import platform_cell as cells
from standins.platform_cell import ENTRIES, PlatformCell

# Interval between rounds of one submission and one random fault.
STEP_INTERVAL_S = 0.3
# Time for accepted jobs to complete after the last fault was undone.
COMPLETION_TIMEOUT_S = 45


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Outcome of a run: jobs, faults by kind, and violations (``broken``).

    ``repeated`` counts tasks that ran again after they were done.  This is
    allowed where the worker's lease lapsed before the leader acknowledged
    the end of the first run.
    """

    seed: int
    jobs: int
    faults: dict[str, int]
    repeated: int
    broken: tuple[str, ...]


def _submit(soak: SoakRun, number: int) -> None:
    name = f'{soak.seed:06x}{number:010x}'
    tasks = soak.random.randint(1, 4)
    body = cells.job(tasks, cpu=TASK_CPU, work_s=soak.random.uniform(0.2, 2))
    body['steps'][0]['gang'] = soak.random.randint(1, 5) == 1
    for entry in soak.random.sample(ENTRIES, 2):
        if entry not in soak.down_hosts:
            status, _ = cells.call_entry(soak.cell, entry, 'POST', name, body)
            if status == 200:
                soak.accepted[name] = tasks
                return


def _submit_and_inject_faults(soak: SoakRun, seconds: float) -> None:
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        number += 1
        _submit(soak, number)
        inject_fault(soak)
        time.sleep(STEP_INTERVAL_S)
        run_due_repairs(soak, time.monotonic())
    run_due_repairs(soak, float('inf'))


def _is_completed(soak: SoakRun, name: str) -> bool:
    status = cells.call_entry(soak.cell, ENTRIES[0], 'GET', name)[1]
    return status == {'state': 'completed'}


def _incomplete_jobs(soak: SoakRun) -> list[str]:
    return [name for name in soak.accepted if not _is_completed(soak, name)]


def _save_failed_run(cell: PlatformCell, seed: int, rows) -> None:
    """Save the logs and the run history of a failed run under ``run/``."""
    saved_logs = Path('run') / f'soak-{seed}'
    saved_logs.mkdir(parents=True, exist_ok=True)
    for path in cell.folder.glob('*.log'):
        shutil.copy(path, saved_logs)
    (saved_logs / 'history.json').write_text(json.dumps(rows))


def run(seed: int, seconds: float) -> SoakResult:
    """Run one seed, wait until all jobs are completed, and check the run."""
    with (
        tempfile.TemporaryDirectory() as folder,
        cells.running_cell(Path(folder), WORKERS, relayed=True) as cell,
    ):
        soak = SoakRun(cell, seed)
        cfg = cells.configuration(3)
        cells.wait_until(
            lambda: cells.put_config(cell, cfg) == 200,
            'the cell to accept a configuration',
        )
        _submit_and_inject_faults(soak, seconds)
        until = time.monotonic() + COMPLETION_TIMEOUT_S
        while _incomplete_jobs(soak) and time.monotonic() < until:
            time.sleep(STEP_INTERVAL_S)
        broken = [f'not completed: {name}' for name in _incomplete_jobs(soak)]
        in_force = cells.get_config_version(cell)
        if in_force < soak.acknowledged_version:
            broken.append(
                f'configuration {in_force} in force, '
                f'{soak.acknowledged_version} acknowledged'
            )
        rows = cells.run_history(cell)
        broken += [*repeated_runs(rows), *overcommitted_workers(rows)]
        if broken:
            _save_failed_run(cell, seed, rows)
    repeated = sum(one[2] == 'done' for _, one, _ in repeats(rows))
    jobs = len(soak.accepted)
    return SoakResult(seed, jobs, dict(soak.faults), repeated, tuple(broken))


def main() -> int:
    """Run consecutive seeds; print a JSON line for each.

    Returns 1 when any run violated a guarantee, else 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rounds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    args = parser.parse_args()
    status = 0
    for seed in range(args.seed, args.seed + args.rounds):
        result = run(seed, args.seconds)
        status = status or int(bool(result.broken))
        line = {
            'seed': result.seed,
            'jobs': result.jobs,
            'faults': result.faults,
            'repeated': result.repeated,
            'broken': result.broken[:5],
        }
        sys.stdout.write(f'{json.dumps(line)}\n')
        sys.stdout.flush()
    return status


if __name__ == '__main__':
    sys.exit(main())
