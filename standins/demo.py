"""Demo: a small cell, one request of each kind, the report and a shutdown.

Its exit status is 0 only if every outcome was the expected one.  What ran is
checked against the counts of the simulated targets.
"""

import json
import subprocess  # noqa: S404  runs the command line as a user does
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from daisygw.status import ExitStatus
from standins.cell import (
    RunningCell,
    domains_of,
    fetch_json,
    plan_cell,
    running_cell,
    start_targets,
    stop_cell,
    wait_until_serving,
)

_DOMAINS = ('santander', 'oviedo', 'bilbao')
_TARGETS_PER_DOMAIN = 2
_START_TIMEOUT_S = 30
_COMMAND_TIMEOUT_S = 40


@dataclass(frozen=True, slots=True)
class DemoStep:
    """One command of the demo, with its expected exit status and output.

    ``expected_lines`` is the number of lines of output; 0 leaves it unchecked.
    """

    title: str
    args: tuple[str, ...]
    expected_status: ExitStatus = ExitStatus.SUCCESS
    expected_lines: int = 1
    body: str = '{"ms": 50, "say": "done"}'


STEPS = (
    DemoStep('a short repeatable request', ('submit', '-', '--team=patio')),
    DemoStep(
        'a request that is not repeatable',
        ('submit', '-', '--team=patio', '--id=route-7', '--not-repeatable'),
    ),
    DemoStep(
        'the same request again',
        ('submit', '-', '--team=patio', '--id=route-7', '--not-repeatable'),
    ),
    DemoStep(
        'a batch of 100',
        ('submit', '-', '--team=criba', '--count=100', '--cpus=500'),
        expected_lines=100,
    ),
    DemoStep(
        'a gang of 12',
        ('submit', '-', '--team=criba', '--kind=gang', '--count=12'),
        expected_lines=12,
    ),
    DemoStep(
        'a service',
        ('submit', '-', '--team=patio', '--kind=service', '--id=tablero'),
        expected_lines=0,
        body='{"forever": true}',
    ),
    DemoStep(
        'a request that no target could ever hold',
        ('submit', '-', '--team=patio', '--cpus=900000'),
        ExitStatus.REFUSED,
        expected_lines=0,
    ),
    DemoStep(
        'an unknown team',
        ('submit', '-', '--team=nadie'),
        ExitStatus.REFUSED,
        expected_lines=0,
    ),
    DemoStep(
        'the status of the service', ('status', 'tablero'), expected_lines=0
    ),
)


def run_command(
    cell: RunningCell,
    args: Sequence[str],
    body: str = '',
    host: int = 0,
) -> subprocess.CompletedProcess:
    """Run the command line against an entry host of the cell."""
    entry = cell.plan.hosts[host].entry
    return subprocess.run(
        [sys.executable, '-m', 'daisygw', *args, f'--entry={entry}'],
        input=body.encode(),
        capture_output=True,
        timeout=_COMMAND_TIMEOUT_S,
        check=False,
    )


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _run_step(cell: RunningCell, number: int, step: DemoStep) -> list[str]:
    _print(f'\n== {step.title}: daisygw {" ".join(step.args)}')
    host = number % len(cell.plan.hosts)
    done = run_command(cell, step.args, step.body, host)
    shown = (done.stdout or done.stderr).decode()
    _print(shown.rstrip())
    failures = []
    if done.returncode != step.expected_status:
        failures.append(f'{step.title}: exit status {done.returncode}')
    lines = done.stdout.decode().count('\n')
    if step.expected_lines and lines != step.expected_lines:
        failures.append(
            f'{step.title}: {lines} lines, not {step.expected_lines}'
        )
    return failures


def starts(cell: RunningCell) -> Counter[str]:
    """Return how often each task started, as counted by the targets."""
    total: Counter[str] = Counter()
    for address in cell.targets.values():
        seen = fetch_json(address, '/v1/counts')
        total.update(seen['starts'])
    return total


def _check_starts(cell: RunningCell) -> list[str]:
    failures = []
    counted = starts(cell)
    if counted['route-7/0'] != 1:
        failures.append(f'route-7 ran {counted["route-7/0"]} times')
    if counted['tablero/0'] != 1:
        failures.append(f'the service started {counted["tablero/0"]} times')
    started_twice = [name for name, times in counted.items() if times > 1]
    if started_twice:
        failures.append(f'started more than once: {started_twice}')
    for name, address in cell.targets.items():
        seen = fetch_json(address, '/v1/counts')
        if seen['overlaps'] or seen['over_capacity']:
            failures.append(
                f'{name}: overlapping attempts or capacity exceeded'
            )
    return failures


def _report(cell: RunningCell) -> list[str]:
    done = run_command(cell, ('report',))
    _print(f'\n== the report\n{done.stdout.decode().rstrip()}')
    return [] if done.returncode == 0 else ['the report failed']


def _stop(cell: RunningCell) -> list[str]:
    done = run_command(cell, ('cancel', 'tablero'))
    failures = [] if done.returncode == 0 else ['the cancellation failed']
    codes = stop_cell(cell)
    _print(f'\n== stopped: {json.dumps(codes)}')
    failures.extend(
        f'{name} ended with exit status {code}'
        for name, code in codes.items()
        if code
    )
    return failures


def run_demo(folder: Path) -> list[str]:
    """Run the whole demo; return a description of each failed check."""
    plan = plan_cell('norte', _DOMAINS)
    with running_cell(plan, folder) as cell:
        for domain in domains_of(plan):
            start_targets(cell, domain, _TARGETS_PER_DOMAIN)
        targets = len(plan.hosts) // 2 * _TARGETS_PER_DOMAIN
        wait_until_serving(cell, targets, _START_TIMEOUT_S)
        _print(f'{len(cell.processes)} processes are up')
        failures = []
        for number, step in enumerate(STEPS):
            failures += _run_step(cell, number, step)
        failures += _check_starts(cell)
        failures += _report(cell)
        failures += _stop(cell)
    return failures


def main() -> int:
    """Run the demo in a temporary folder; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        failures = run_demo(Path(folder))
    _print('\n'.join(failures) or '\nevery outcome was the right one')
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
