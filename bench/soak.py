"""Soak test: injects overlapping faults into a cell of real processes.

``python -m bench.soak --seed N --seconds S`` runs three schedulers, two
entries and 40 workers on loopback addresses.  Signals kill, pause and stop
processes, which are then restarted or resumed.  A scheduler may lose its data
folder or find a torn record at the end of its log.  Settings files are read
again, and the configuration changes meanwhile.  Relays cut links between
processes and to workers (in both directions or one), delay them and reset
them.  Workers restart under their names, carry out calls of their former lives
late, and are cut off for longer than a lease.  Planned work follows, without
other faults but on slow links: entries are told to stop, settings and
configuration change.  Callers submit jobs of one or two steps all the time
over connections that they keep open, also for a while after the last fault was
undone.  They cancel some of them, before or after these have arrived, and
workers take a while for a stop.  The placement advisor of some jobs, all gangs,
is slow.  In some runs all schedulers are killed at once in the end, right after
they acknowledged something, and lose what they did not sync, or one of them its
data folder.
With ``--customers`` all callers send the key of a customer.  With
``--hostile-clients`` crowds of clients that respect no limits send to ports for
callers and to control ports, beside the other faults; then no process may end
by itself, or exceed the memory and descriptors of its host.

No request may be cut off without a response while its entry is not disturbed.
Every accepted job that is not cancelled must be completed, and shown in
between; no task of a cancelled one may begin or run on.  While there are no
faults, no job may stand still beside free capacity.  The configuration in
force must be at least the newest that was acknowledged.  No caller's key may
be refused.  No task may have run
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
from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from bench.soak_checks import (
    Fault,
    accepted_jobs,
    cancelled_jobs,
    cut_requests,
    jobs_begun_early,
    jobs_of,
    lost_jobs,
    overcommitted_workers,
    overtaken_runs,
    refused_keys,
    repeated_runs,
    repeats,
    stalled_jobs,
    uncancelled_runs,
)
from bench.soak_clients import (
    HOST_SETTINGS,
    HostileClients,
    check_ended,
    send_crowd,
)
from bench.soak_faults import (
    WORKERS,
    SoakRun,
    configuration,
    do_planned_work,
    inject_fault,
    inject_last_fault,
    restore_links,
    run_due_repairs,
    slow_down_entries,
)
from standins import platform_cell as cells
from standins.platform_cell import ENTRIES, SCHEDULERS, PlatformCell
from standins.soak_callers import Call, read_calls

# Log events that tell of a fault of the program.
FAULT_EVENTS = frozenset({
    'crashed',
    'link crashed',
    'request crashed',
    'message failed',
    'message dropped',
    'message unreadable',
    'turn failed',
    'placement failed',
    'record not applied',
    'log unreadable',
    'snapshot unreadable',
    'renewal crashed',
    'renewals not started',
    'advisor call crashed',
    'background task failed',
})
# How long workers take for a stop; the platform allows 0.4 s.
_STOP_S = 0.35
# Connections that a worker accepts.
_WORKER_CONNECTIONS = 64
# Interval between faults.
FAULT_INTERVAL_S = 0.3
# Duration of planned work, which is without other faults.
PLANNED_WORK_S = 7.0
# Time that callers go on after the last fault was undone.
TRAFFIC_TAIL_S = 10.0
# Time for accepted jobs to complete after the last fault was undone.
COMPLETION_TIMEOUT_S = 45


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Outcome of a run: jobs, faults by kind, and violations (``broken``).

    ``repeated`` counts tasks that ran again after they were done.  This is
    allowed where the worker's lease lapsed before the leader acknowledged
    the end of the first run.  ``held`` is the most memory (bytes) and
    descriptors of a process while hostile clients sent to it.
    """

    seed: int
    jobs: int
    faults: dict[str, int]
    repeated: int
    broken: tuple[str, ...]
    held: tuple[int, int] = (0, 0)


def _inject_faults(
    soak: SoakRun, inject: Callable[[SoakRun], None], seconds: float
) -> None:
    """Inject a fault at each interval for some time, then undo them all.

    Returns once all processes are serving again.
    """
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        inject(soak)
        time.sleep(FAULT_INTERVAL_S)
        run_due_repairs(soak, time.monotonic())
    while soak.pending_repairs:
        run_due_repairs(soak, float('inf'))
    cells.wait_until_started(soak.cell)


def _work_as_planned(soak: SoakRun) -> None:
    slow_down_entries(soak)
    _inject_faults(soak, do_planned_work, PLANNED_WORK_S)
    restore_links(soak)


def _stop_callers(cell: PlatformCell) -> list[Call]:
    """Stop the callers and return their calls.

    Raises:
        RuntimeError: they had failed.

    """
    if cells.stop_host(cell, 'callers', signal.SIGTERM):
        raise RuntimeError('the callers failed')
    return read_calls(cells.calls_path(cell))


def _incomplete_jobs(
    cell: PlatformCell, names: Iterable[str]
) -> dict[str, Any]:
    """Return the response about each job that is not completed."""
    responses = {
        name: cells.call_entry(cell, ENTRIES[0], 'GET', name) for name in names
    }
    return {
        name: response
        for name, response in responses.items()
        if response != (cells.HTTP_OK, {'state': 'completed'})
    }


def _wait_for_completion(cell: PlatformCell, names: Iterable[str]) -> list[str]:
    """Ask for jobs until all are completed; report those that are not."""
    until = time.monotonic() + COMPLETION_TIMEOUT_S
    incomplete = _incomplete_jobs(cell, names)
    while incomplete and time.monotonic() < until:
        time.sleep(FAULT_INTERVAL_S)
        incomplete = _incomplete_jobs(cell, incomplete)
    return [
        f'not completed: {name} {response}'
        for name, response in incomplete.items()
    ]


def _save_failed_run(
    cell: PlatformCell, seed: int, rows, faults: Iterable[Fault]
) -> None:
    """Save logs, run history and faults of a failed run under ``run/``."""
    saved_logs = Path('run') / f'soak-{seed}'
    saved_logs.mkdir(parents=True, exist_ok=True)
    for path in (*cell.folder.glob('*.log'), cells.calls_path(cell)):
        shutil.copy(path, saved_logs)
    (saved_logs / 'history.json').write_text(json.dumps(rows))
    undone = json.dumps([asdict(fault) for fault in faults])
    (saved_logs / 'faults.json').write_text(undone)


def _run_phases(
    soak: SoakRun, seconds: float, hostile: HostileClients | None
) -> Fault:
    """Inject all faults, then wait; return the whole as one fault."""

    def inject(_: SoakRun) -> None:
        inject_fault(soak)
        if hostile:
            send_crowd(hostile)

    began_at = time.monotonic()
    cells.start_callers(soak.cell, soak.seed)
    _inject_faults(soak, inject, seconds)
    _work_as_planned(soak)
    inject_last_fault(soak)
    cells.wait_until_started(soak.cell)
    calm_since = time.monotonic()
    time.sleep(TRAFFIC_TAIL_S)
    return Fault('', began_at, calm_since, planned=False)


def _check_config(soak: SoakRun) -> Iterator[str]:
    """Yield configurations in force that are not as they should be."""
    configs = cells.read_configs(soak.cell)
    if not configs:
        yield 'no configuration in force'
    for cfg in configs:
        version, acknowledged = cfg['version'], soak.acknowledged_version
        if version < acknowledged:
            yield f'{version} in force, {acknowledged} acknowledged'
        if cfg != configuration(soak, version):
            yield f'not as it was sent: {cfg}'


def _crowded_workers(cell: PlatformCell) -> Iterator[str]:
    """Yield workers that had more connections than they accept."""
    for name, most in cells.most_connections(cell).items():
        if most > _WORKER_CONNECTIONS:
            yield f'{most} connections: {name}'


def _logged_faults(cell: PlatformCell) -> Iterator[str]:
    """Yield the lines that tell of a fault of the program."""
    for host in (*SCHEDULERS, *ENTRIES):
        for line in cells.log_lines(cell, host):
            if line['event'] in FAULT_EVENTS:
                yield f'logged by {host}: {line}'


def run(
    seed: int,
    seconds: float,
    *,
    with_customers: bool = False,
    with_hostile_clients: bool = False,
) -> SoakResult:
    """Run one seed, wait until all jobs are completed, and check the run.

    ``with_customers`` lets all callers send the key of a customer,
    ``with_hostile_clients`` adds clients that respect no limits.
    """
    settings = HOST_SETTINGS if with_hostile_clients else ()
    with (
        tempfile.TemporaryDirectory() as folder,
        cells.running_cell(
            Path(folder),
            WORKERS,
            relayed=True,
            stop_s=_STOP_S,
            settings=settings,
        ) as cell,
    ):
        soak = SoakRun(cell, seed, with_customers=with_customers)
        hostile = HostileClients(soak) if with_hostile_clients else None
        cfg = configuration(soak, soak.version)
        cells.wait_until(
            lambda: cells.put_config(cell, cfg) == cells.HTTP_OK,
            'the cell to accept a configuration',
        )
        try:
            all_faults = _run_phases(soak, seconds, hostile)
        except AssertionError:
            _save_failed_run(cell, seed, cells.run_history(cell), soak.undone)
            raise
        calls = _stop_callers(cell)
        jobs = {**jobs_of(calls), **soak.jobs}
        cancels = cancelled_jobs(calls)
        lasting = {
            name: job for name, job in jobs.items() if name not in cancels
        }
        broken = _wait_for_completion(cell, accepted_jobs(lasting))
        ended_at = time.monotonic()
        stalls = [
            Fault('', *span, planned=False)
            for span in cells.stand_in_stalls(cell)
        ]
        rows = cells.run_history(cell)
        workers = cells.worker_names(WORKERS)
        if hostile:
            check_ended(hostile)
            broken += hostile.broken
        broken += [
            *_check_config(soak),
            *soak.accepted_odd,
            *_logged_faults(cell),
            *cut_requests(calls, [*soak.undone, *stalls]),
            *lost_jobs(calls, jobs),
            *refused_keys(calls),
            *jobs_begun_early(rows, calls),
            *overtaken_runs(rows, calls),
            *uncancelled_runs(rows, calls, all_faults.ended_at),
            *_crowded_workers(cell),
            *stalled_jobs(
                rows, lasting, workers, [all_faults, *stalls], ended_at
            ),
            *repeated_runs(rows),
            *overcommitted_workers(rows, jobs),
        ]
        if broken:
            _save_failed_run(cell, seed, rows, [*soak.undone, *stalls])
    repeated = sum(one[2] == 'done' for _, one, _ in repeats(rows))
    accepted = len(accepted_jobs(jobs))
    held = hostile.held if hostile else (0, 0)
    return SoakResult(
        seed, accepted, dict(soak.faults), repeated, tuple(broken), held
    )


def main() -> int:
    """Run consecutive seeds; print a JSON line for each.

    Returns 1 when any run violated a guarantee, else 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rounds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--customers', action='store_true')
    parser.add_argument('--hostile-clients', action='store_true')
    args = parser.parse_args()
    status = 0
    for seed in range(args.seed, args.seed + args.rounds):
        result = run(
            seed,
            args.seconds,
            with_customers=args.customers,
            with_hostile_clients=args.hostile_clients,
        )
        status = status or int(bool(result.broken))
        line = {
            'seed': result.seed,
            'jobs': result.jobs,
            'faults': result.faults,
            'repeated': result.repeated,
            'held': result.held,
            'broken': result.broken[:5],
        }
        sys.stdout.write(f'{json.dumps(line)}\n')
        sys.stdout.flush()
    return status


if __name__ == '__main__':
    sys.exit(main())
