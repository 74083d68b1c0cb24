"""A soak of a cell's real processes, with faults from outside them.

``python -m bench.soak --seed N --seconds S`` runs three schedulers, two
entries and four workers on loopback.  Processes are killed, paused, told to
stop and restarted by signals; they lose their disk, or find a torn record at
its end.  Links between them and to workers are cut, also one way, delayed
and reset by relays, and configurations change, in series that overlap.  In
the end every accepted job must be over, the newest acknowledged
configuration in force, no task may have run twice at a time or again after
it was done, and no worker may have been given more than it has.
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

from bench.soak_checks import TASK_CPU, doubled, overfull, repeats
from standins import platform_cell as cells
from standins.platform_cell import ENTRIES, PlatformCell

WORKERS = 4
TURN_S = 0.3
CALM_S = 45
# A scheduler loses its disk only when all have been up for so long, s: what
# it had acknowledged is then on the others.
_SETTLED_S = 6.0
# How late a slow link passes bytes on, s: up to a good part of an election.
_MOST_DELAY_S = 0.3


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a run showed: faults by kind, jobs, and what was broken.

    ``repeated`` counts tasks that ran again after they were done, where the
    leader had not noted the end before the worker's lease lapsed.
    """

    seed: int
    jobs: int
    faults: dict[str, int]
    repeated: int
    broken: tuple[str, ...]


class _Soak:
    """A run under way: what is due to be undone, and what was accepted."""

    def __init__(self, cell: PlatformCell, seed: int) -> None:
        self.cell = cell
        self.seed = seed
        self.random = Random(seed)
        self.undo: list[tuple[float, object]] = []
        self.silent: set[str] = set()
        self.accepted: dict[str, int] = {}
        self.away: set[str] = set()
        self.faults: dict[str, int] = defaultdict(int)
        self.links: dict[str, tuple[bool, bool, float]] = {}
        self.unsettled = time.monotonic()
        self.version = 3
        self.stored = 0


def _later(soak: _Soak, act) -> None:
    due = time.monotonic() + soak.random.uniform(0.3, 5)
    soak.undo.append((due, act))


def _kill(soak: _Soak, host: str) -> None:
    cells.stop_host(soak.cell, host)
    _later(soak, lambda: cells.start(soak.cell, host))


def _stop(soak: _Soak, host: str) -> None:
    cells.stop_host(soak.cell, host, signal.SIGTERM)
    _later(soak, lambda: cells.start(soak.cell, host))


def _pause(soak: _Soak, host: str) -> None:
    process = soak.cell.running[host]
    process.send_signal(signal.SIGSTOP)
    _later(soak, lambda: process.send_signal(signal.SIGCONT))


def _wipe(soak: _Soak, host: str) -> None:
    """Kill a scheduler and take its disk, if the others surely have all."""
    cells.stop_host(soak.cell, host)
    settled = time.monotonic() - soak.unsettled > _SETTLED_S
    alone = soak.away == {host} and not soak.links
    if settled and alone and host in cells.SCHEDULERS:
        soak.faults['wiped'] += 1
        shutil.rmtree(soak.cell.folder / host, ignore_errors=True)
    _later(soak, lambda: cells.start(soak.cell, host))


def _tear(soak: _Soak, host: str) -> None:
    """Kill a process and leave a record that was cut short in its log."""
    cells.stop_host(soak.cell, host)
    for path in (soak.cell.folder / host).glob('*/log'):
        with path.open('ab') as stream:
            stream.write(soak.random.randbytes(soak.random.randint(1, 11)))
    _later(soak, lambda: cells.start(soak.cell, host))


_FAULTS = MappingProxyType({
    'kill': _kill,
    'stop': _stop,
    'pause': _pause,
    'wipe': _wipe,
    'tear': _tear,
})


def _set_links(soak: _Soak) -> None:
    states = {**soak.links, **dict.fromkeys(soak.silent, (False, False, 0))}
    address = cells.relay_control_address(soak.cell)
    cells.call(address, 'PUT', '/links', states)


def _disturb_links(
    soak: _Soak, names: list[str], state: tuple[bool, bool, float]
) -> None:
    soak.links.update(dict.fromkeys(names, state))
    soak.unsettled = time.monotonic()
    _set_links(soak)

    def mend() -> None:
        for name in names:
            soak.links.pop(name, None)
        soak.unsettled = time.monotonic()
        _set_links(soak)

    _later(soak, mend)


def _pick_host(soak: _Soak) -> str:
    return soak.random.choice((*cells.SCHEDULERS, *cells.ENTRIES))


def _cut(soak: _Soak) -> None:
    """Cut a host off from all others, silently."""
    names = cells.links(_pick_host(soak))
    _disturb_links(soak, names, (False, False, 0))


def _cut_one_way(soak: _Soak) -> None:
    name = soak.random.choice(cells.links(_pick_host(soak)))
    there = soak.random.choice((True, False))
    _disturb_links(soak, [name], (there, not there, 0))


def _delay(soak: _Soak) -> None:
    late = soak.random.uniform(0, _MOST_DELAY_S)
    names = cells.links(_pick_host(soak))
    _disturb_links(soak, names, (True, True, late))


def _reset(soak: _Soak) -> None:
    names = cells.links(_pick_host(soak))
    cells.call(cells.relay_control_address(soak.cell), 'PUT', '/reset', names)


def _silence(soak: _Soak) -> None:
    name = f'w{soak.random.randint(1, WORKERS)}'
    soak.silent.add(name)
    _set_links(soak)
    _later(soak, lambda: (soak.silent.discard(name), _set_links(soak)))


def _change(soak: _Soak) -> None:
    """Send a newer configuration; remember it where it is acknowledged."""
    soak.version += 1
    cfg = cells.configuration(soak.version)
    if cells.put_config(soak.cell, cfg) == cells.HTTP_OK:
        soak.stored = soak.version


_TROUBLES = MappingProxyType({
    'cut': _cut,
    'cut one way': _cut_one_way,
    'delay': _delay,
    'reset': _reset,
    'silence': _silence,
    'change': _change,
    'none': lambda soak: None,
})


def _disturb(soak: _Soak) -> None:
    """Begin one fault; two hosts at a time may be away."""
    kind = soak.random.choice((*_FAULTS, *_TROUBLES))
    soak.faults[kind] += 1
    trouble = _TROUBLES.get(kind)
    if trouble:
        trouble(soak)
        return
    host = _pick_host(soak)
    if host in soak.away or len(soak.away) > 1:
        return
    soak.away.add(host)
    _FAULTS[kind](soak, host)
    soak.unsettled = time.monotonic()
    due, act = soak.undo.pop()
    soak.undo.append((due, lambda: (act(), _is_back(soak, host))))


def _is_back(soak: _Soak, host: str) -> None:
    soak.away.discard(host)
    soak.unsettled = time.monotonic()


def _undo(soak: _Soak, now: float) -> None:
    due = [one for one in soak.undo if one[0] <= now]
    for entry in due:
        soak.undo.remove(entry)
        entry[1]()


def _submit(soak: _Soak, number: int) -> None:
    name = f'{soak.seed:06x}{number:010x}'
    tasks = soak.random.randint(1, 4)
    body = cells.job(tasks, cpu=TASK_CPU, work_s=soak.random.uniform(0.2, 2))
    body['steps'][0]['gang'] = soak.random.randint(1, 5) == 1
    for entry in soak.random.sample(ENTRIES, 2):
        if entry not in soak.away:
            status, _ = cells.call_entry(soak.cell, entry, 'POST', name, body)
            if status == 200:
                soak.accepted[name] = tasks
                return


def _play(soak: _Soak, seconds: float) -> None:
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        number += 1
        _submit(soak, number)
        _disturb(soak)
        time.sleep(TURN_S)
        _undo(soak, time.monotonic())
    _undo(soak, float('inf'))


def _is_over(soak: _Soak, name: str) -> bool:
    shown = cells.call_entry(soak.cell, ENTRIES[0], 'GET', name)[1]
    return shown == {'state': 'completed'}


def _open_jobs(soak: _Soak) -> list[str]:
    return [name for name in soak.accepted if not _is_over(soak, name)]


def _keep(cell: PlatformCell, seed: int, rows) -> None:
    """Keep the logs of a run that broke something, and what ran."""
    kept = Path('run') / f'soak-{seed}'
    kept.mkdir(parents=True, exist_ok=True)
    for path in cell.folder.glob('*.log'):
        shutil.copy(path, kept)
    (kept / 'history.json').write_text(json.dumps(rows))


def run(seed: int, seconds: float) -> Verdict:
    """Play one seed, then wait for a calm end and judge."""
    with (
        tempfile.TemporaryDirectory() as folder,
        cells.running_cell(Path(folder), WORKERS, relayed=True) as cell,
    ):
        soak = _Soak(cell, seed)
        cfg = cells.configuration(3)
        cells.wait_until(lambda: cells.put_config(cell, cfg) == 200, 'a cell')
        _play(soak, seconds)
        until = time.monotonic() + CALM_S
        while _open_jobs(soak) and time.monotonic() < until:
            time.sleep(TURN_S)
        broken = [f'not over: {name}' for name in _open_jobs(soak)]
        shown = cells.get_config_version(cell)
        if shown < soak.stored:
            broken.append(f'configuration {shown}, stored {soak.stored}')
        rows = cells.run_history(cell)
        broken += [*doubled(rows), *overfull(rows)]
        if broken:
            _keep(cell, seed, rows)
    repeated = sum(one[2] == 'done' for _, one, _ in repeats(rows))
    jobs = len(soak.accepted)
    return Verdict(seed, jobs, dict(soak.faults), repeated, tuple(broken))


def main() -> int:
    """Play seeds one after the other; print a JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rounds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    given = parser.parse_args()
    status = 0
    for seed in range(given.seed, given.seed + given.rounds):
        verdict = run(seed, given.seconds)
        status = status or int(bool(verdict.broken))
        line = {
            'seed': verdict.seed,
            'jobs': verdict.jobs,
            'faults': verdict.faults,
            'repeated': verdict.repeated,
            'broken': verdict.broken[:5],
        }
        sys.stdout.write(f'{json.dumps(line)}\n')
        sys.stdout.flush()
    return status


if __name__ == '__main__':
    sys.exit(main())
