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
import signal
import sys
import tempfile
import time
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from random import Random
from types import MappingProxyType

from bench.soak_checks import (
    TASK_CPU,
    overcommitted_workers,
    repeated_runs,
    repeats,
)
from standins import platform_cell as cells
from standins.platform_cell import ENTRIES, PlatformCell

WORKERS = 4
# Interval between rounds of one submission and one random fault.
STEP_INTERVAL_S = 0.3
# Time for accepted jobs to complete after the last fault was undone.
COMPLETION_TIMEOUT_S = 45
# A scheduler's data folder is deleted only after all hosts have been up and
# connected for this long, s: the others then hold all it had acknowledged.
_MIN_UNDISTURBED_S = 6.0
# Maximum delay of a slow link, s: a good part of an election timeout.
_MAX_LINK_DELAY_S = 0.3


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


class _SoakRun:
    """State of a run in progress.

    ``pending_repairs`` holds (due time, function) pairs that undo faults;
    ``accepted`` maps each accepted job to its number of tasks.  ``links`` holds
    the states of impaired links, ``faults_changed_at`` when a fault of a host
    or link last began or ended (s).
    """

    def __init__(self, cell: PlatformCell, seed: int) -> None:
        self.cell = cell
        self.seed = seed
        self.random = Random(seed)
        self.pending_repairs: list[tuple[float, object]] = []
        self.cut_off_workers: set[str] = set()
        self.accepted: dict[str, int] = {}
        self.down_hosts: set[str] = set()
        self.faults: dict[str, int] = defaultdict(int)
        self.links: dict[str, tuple[bool, bool, float]] = {}
        self.faults_changed_at = time.monotonic()
        self.version = 3
        self.acknowledged_version = 0


def _schedule_repair(soak: _SoakRun, repair) -> None:
    due = time.monotonic() + soak.random.uniform(0.3, 5)
    soak.pending_repairs.append((due, repair))


def _kill(soak: _SoakRun, host: str) -> None:
    cells.stop_host(soak.cell, host)
    _schedule_repair(soak, lambda: cells.start(soak.cell, host))


def _stop(soak: _SoakRun, host: str) -> None:
    cells.stop_host(soak.cell, host, signal.SIGTERM)
    _schedule_repair(soak, lambda: cells.start(soak.cell, host))


def _pause(soak: _SoakRun, host: str) -> None:
    process = soak.cell.running[host]
    process.send_signal(signal.SIGSTOP)
    _schedule_repair(soak, lambda: process.send_signal(signal.SIGCONT))


def _wipe(soak: _SoakRun, host: str) -> None:
    """Kill a host's process; delete a scheduler's data if that is safe.

    It is safe only while no other fault is active and none was for a while:
    the other schedulers then hold all acknowledged entries.
    """
    cells.stop_host(soak.cell, host)
    settled = time.monotonic() - soak.faults_changed_at > _MIN_UNDISTURBED_S
    is_only_fault = soak.down_hosts == {host} and not soak.links
    if settled and is_only_fault and host in cells.SCHEDULERS:
        soak.faults['wiped'] += 1
        shutil.rmtree(soak.cell.folder / host, ignore_errors=True)
    _schedule_repair(soak, lambda: cells.start(soak.cell, host))


def _kill_with_torn_log(soak: _SoakRun, host: str) -> None:
    """Kill a process and leave a torn record in its logs.

    The torn record is 1 to 11 random bytes at the end of the log.
    """
    cells.stop_host(soak.cell, host)
    for path in (soak.cell.folder / host).glob('*/log'):
        with path.open('ab') as stream:
            stream.write(soak.random.randbytes(soak.random.randint(1, 11)))
    _schedule_repair(soak, lambda: cells.start(soak.cell, host))


_HOST_FAULTS = MappingProxyType({
    'kill': _kill,
    'stop': _stop,
    'pause': _pause,
    'wipe': _wipe,
    'tear': _kill_with_torn_log,
})


def _set_links(soak: _SoakRun) -> None:
    states = {
        **soak.links,
        **dict.fromkeys(soak.cut_off_workers, (False, False, 0)),
    }
    address = cells.relay_control_address(soak.cell)
    cells.call(address, 'PUT', '/links', states)


def _impair_links(
    soak: _SoakRun, names: list[str], state: tuple[bool, bool, float]
) -> None:
    soak.links.update(dict.fromkeys(names, state))
    soak.faults_changed_at = time.monotonic()
    _set_links(soak)

    def restore() -> None:
        for name in names:
            soak.links.pop(name, None)
        soak.faults_changed_at = time.monotonic()
        _set_links(soak)

    _schedule_repair(soak, restore)


def _pick_host(soak: _SoakRun) -> str:
    return soak.random.choice((*cells.SCHEDULERS, *cells.ENTRIES))


def _cut(soak: _SoakRun) -> None:
    """Hold back all traffic of a host while its connections stay open."""
    names = cells.link_names(_pick_host(soak))
    _impair_links(soak, names, (False, False, 0))


def _cut_one_way(soak: _SoakRun) -> None:
    name = soak.random.choice(cells.link_names(_pick_host(soak)))
    forward = soak.random.choice((True, False))
    _impair_links(soak, [name], (forward, not forward, 0))


def _delay(soak: _SoakRun) -> None:
    delay_s = soak.random.uniform(0, _MAX_LINK_DELAY_S)
    names = cells.link_names(_pick_host(soak))
    _impair_links(soak, names, (True, True, delay_s))


def _reset(soak: _SoakRun) -> None:
    names = cells.link_names(_pick_host(soak))
    cells.call(cells.relay_control_address(soak.cell), 'PUT', '/reset', names)


def _cut_off_worker(soak: _SoakRun) -> None:
    name = f'w{soak.random.randint(1, WORKERS)}'
    soak.cut_off_workers.add(name)
    _set_links(soak)
    _schedule_repair(
        soak, lambda: (soak.cut_off_workers.discard(name), _set_links(soak))
    )


def _change_configuration(soak: _SoakRun) -> None:
    """Send a newer configuration; record its version if acknowledged."""
    soak.version += 1
    cfg = cells.configuration(soak.version)
    if cells.put_config(soak.cell, cfg) == cells.HTTP_OK:
        soak.acknowledged_version = soak.version


_OTHER_FAULTS = MappingProxyType({
    'cut': _cut,
    'cut one way': _cut_one_way,
    'delay': _delay,
    'reset': _reset,
    'silence': _cut_off_worker,
    'change': _change_configuration,
    'none': lambda soak: None,
})


def _inject_fault(soak: _SoakRun) -> None:
    """Inject one random fault; at most two hosts are down at a time."""
    kind = soak.random.choice((*_HOST_FAULTS, *_OTHER_FAULTS))
    soak.faults[kind] += 1
    inject = _OTHER_FAULTS.get(kind)
    if inject:
        inject(soak)
        return
    host = _pick_host(soak)
    if host in soak.down_hosts or len(soak.down_hosts) > 1:
        return
    soak.down_hosts.add(host)
    _HOST_FAULTS[kind](soak, host)
    soak.faults_changed_at = time.monotonic()
    due, repair = soak.pending_repairs.pop()
    soak.pending_repairs.append((
        due,
        lambda: (repair(), _mark_host_up(soak, host)),
    ))


def _mark_host_up(soak: _SoakRun, host: str) -> None:
    soak.down_hosts.discard(host)
    soak.faults_changed_at = time.monotonic()


def _run_due_repairs(soak: _SoakRun, now: float) -> None:
    due = [one for one in soak.pending_repairs if one[0] <= now]
    for entry in due:
        soak.pending_repairs.remove(entry)
        entry[1]()


def _submit(soak: _SoakRun, number: int) -> None:
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


def _submit_and_inject_faults(soak: _SoakRun, seconds: float) -> None:
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        number += 1
        _submit(soak, number)
        _inject_fault(soak)
        time.sleep(STEP_INTERVAL_S)
        _run_due_repairs(soak, time.monotonic())
    _run_due_repairs(soak, float('inf'))


def _is_completed(soak: _SoakRun, name: str) -> bool:
    status = cells.call_entry(soak.cell, ENTRIES[0], 'GET', name)[1]
    return status == {'state': 'completed'}


def _incomplete_jobs(soak: _SoakRun) -> list[str]:
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
        soak = _SoakRun(cell, seed)
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
