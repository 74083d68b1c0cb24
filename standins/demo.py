"""The demo: a small cell, one request of each sort, the report, the end.

It exits 0 only if every outcome was the right one; the stand-in targets are
the judges of what ran.
"""

import json
import subprocess  # noqa: S404  the real command line, as a user runs it
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
_TARGETS_EACH = 2
_UP_WAIT = 30
_COMMAND_WAIT = 40


@dataclass(frozen=True, slots=True)
class Step:
    """One command of the demo and the exit status that is right for it."""

    title: str
    args: tuple[str, ...]
    right: ExitStatus = ExitStatus.SUCCESS
    lines: int = 1
    body: str = '{"ms": 50, "say": "done"}'


STEPS = (
    Step('a short repeatable request', ('submit', '-', '--team=patio')),
    Step(
        'a request that is not repeatable',
        ('submit', '-', '--team=patio', '--id=route-7', '--not-repeatable'),
    ),
    Step(
        'the same request again',
        ('submit', '-', '--team=patio', '--id=route-7', '--not-repeatable'),
    ),
    Step(
        'a batch of 100',
        ('submit', '-', '--team=criba', '--count=100', '--cpus=500'),
        lines=100,
    ),
    Step(
        'a gang of 12',
        ('submit', '-', '--team=criba', '--kind=gang', '--count=12'),
        lines=12,
    ),
    Step(
        'a service',
        ('submit', '-', '--team=patio', '--kind=service', '--id=tablero'),
        lines=0,
        body='{"forever": true}',
    ),
    Step(
        'a request that no target could ever hold',
        ('submit', '-', '--team=patio', '--cpus=900000'),
        ExitStatus.REFUSED,
        lines=0,
    ),
    Step(
        'an unknown team',
        ('submit', '-', '--team=nadie'),
        ExitStatus.REFUSED,
        lines=0,
    ),
    Step('the status of the service', ('status', 'tablero'), lines=0),
)


def run_command(
    cell: RunningCell,
    args: Sequence[str],
    body: str = '',
    host: int = 0,
) -> subprocess.CompletedProcess:
    """Run the real command line against an entry of the cell."""
    entry = cell.plan.hosts[host].entry
    return subprocess.run(
        [sys.executable, '-m', 'daisygw', *args, f'--entry={entry}'],
        input=body.encode(),
        capture_output=True,
        timeout=_COMMAND_WAIT,
        check=False,
    )


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _run_step(cell: RunningCell, number: int, step: Step) -> list[str]:
    _say(f'\n== {step.title}: daisygw {" ".join(step.args)}')
    host = number % len(cell.plan.hosts)
    done = run_command(cell, step.args, step.body, host)
    shown = (done.stdout or done.stderr).decode()
    _say(shown.rstrip())
    faults = []
    if done.returncode != step.right:
        faults.append(f'{step.title}: exit status {done.returncode}')
    lines = done.stdout.decode().count('\n')
    if step.lines and lines != step.lines:
        faults.append(f'{step.title}: {lines} lines, not {step.lines}')
    return faults


def starts(cell: RunningCell) -> Counter[str]:
    """Return how often each task started, as the targets counted."""
    total: Counter[str] = Counter()
    for address in cell.targets.values():
        seen = fetch_json(address, '/v1/counts')
        total.update(seen['starts'])
    return total


def _judge(cell: RunningCell) -> list[str]:
    faults = []
    counted = starts(cell)
    if counted['route-7/0'] != 1:
        faults.append(f'route-7 ran {counted["route-7/0"]} times')
    if counted['tablero/0'] != 1:
        faults.append(f'the service started {counted["tablero/0"]} times')
    doubled = [name for name, times in counted.items() if times > 1]
    if doubled:
        faults.append(f'ran twice: {doubled}')
    for name, address in cell.targets.items():
        seen = fetch_json(address, '/v1/counts')
        if seen['overlaps'] or seen['over_capacity']:
            faults.append(f'{name}: overlap or over capacity')
    return faults


def _report(cell: RunningCell) -> list[str]:
    done = run_command(cell, ('report',))
    _say(f'\n== the report\n{done.stdout.decode().rstrip()}')
    return [] if done.returncode == 0 else ['the report failed']


def _stop(cell: RunningCell) -> list[str]:
    done = run_command(cell, ('cancel', 'tablero'))
    faults = [] if done.returncode == 0 else ['the cancellation failed']
    codes = stop_cell(cell)
    _say(f'\n== stopped: {json.dumps(codes)}')
    faults.extend(
        f'{name} ended with {code}' for name, code in codes.items() if code
    )
    return faults


def run_demo(folder: Path) -> list[str]:
    """Run the whole demo; return what went wrong."""
    plan = plan_cell('norte', _DOMAINS)
    with running_cell(plan, folder) as cell:
        for domain in domains_of(plan):
            start_targets(cell, domain, _TARGETS_EACH)
        targets = len(plan.hosts) // 2 * _TARGETS_EACH
        wait_until_serving(cell, targets, _UP_WAIT)
        _say(f'{len(cell.processes)} processes are up')
        faults = []
        for number, step in enumerate(STEPS):
            faults += _run_step(cell, number, step)
        faults += _judge(cell)
        faults += _report(cell)
        faults += _stop(cell)
    return faults


def main() -> int:
    """Run the demo in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        faults = run_demo(Path(folder))
    _say('\n'.join(faults) or '\nevery outcome was the right one')
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())
