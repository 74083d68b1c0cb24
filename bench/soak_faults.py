"""Faults of a soak run, each with the repair that undoes it later."""

import shutil
import signal
import time
from collections import defaultdict
from random import Random
from types import MappingProxyType
from typing import Any

from bench.soak_checks import Fault, Job
from standins import odd_messages
from standins import platform_cell as cells
from standins.platform_cell import ENTRIES, SCHEDULERS, PlatformCell

WORKERS = 40
# A scheduler's data folder is deleted only after all hosts have been up and
# connected for this long, s: the others then hold all it had acknowledged.
_MIN_UNDISTURBED_S = 6.0
_LAST_JOB_TASKS = 2
# Share of lost disks beside which the other hosts lose power.
_POWER_LOSS_SHARE = 0.5
# Delay of entries' links during planned work, s.
_PLANNED_WORK_DELAY_S = 0.15
_MAX_CUT_OFF_WORKERS = 10
# Share of the faults beside which workers restart.
_RESTART_SHARE = 0.15
_MAX_RESTARTED_WORKERS = 8
# Bounds of the time until crashed workers are back, and from then until they
# carry out late calls (s).
_DOWN_S = (0.2, 1.0)
_LATE_S = (0.1, 3.0)
# Time from the late calls to the cut, and bounds of the length of the cut (s):
# longer than a lease.
_UNTIL_CUT_S = 0.1
_ISOLATION_S = (5.0, 7.0)
# Longest time from the end of a stopped process to its restart, s.
_MAX_RESTART_DELAY_S = 1.0
# Maximum delay of a slow link, s: a good part of an election timeout.
_MAX_LINK_DELAY_S = 0.3
# Share of the faults beside which another writer sends an odd message.
_ODD_MESSAGE_SHARE = 0.5
_ODD_MESSAGES = MappingProxyType({
    'heartbeat': tuple(odd_messages.ODD_HEARTBEATS.items()),
    'configuration': tuple(odd_messages.ODD_CONFIGS.items()),
    'job': tuple(odd_messages.ODD_JOBS.items()),
})
_CONTRADICTION = 'contradiction'
_CONTRADICTIONS = tuple(odd_messages.contradictions('', '', 0))


class SoakRun:
    """State of a run in progress.

    ``pending_repairs`` holds (due time, function) pairs that undo faults,
    ``undone`` the faults that they have undone.  ``jobs`` are the jobs
    that the soak submitted itself.
    ``odd_random`` draws the odd messages, ``accepted_odd`` names those that
    were accepted.  ``restart_random`` draws the restarts of workers,
    ``isolated_workers`` holds those that are cut off afterwards.  ``links``
    holds the states of impaired links, ``faults_changed_at`` when a fault of a
    host or link last began or ended (s).  ``common`` holds what all
    configurations have besides the stand-in's: customers, if any.
    """

    def __init__(
        self, cell: PlatformCell, seed: int, *, with_customers: bool = False
    ) -> None:
        self.cell = cell
        self.seed = seed
        self.common: dict[str, Any] = {}
        if with_customers:
            names = ('acme', 'beta')
            self.common['tenants'] = list(map(odd_messages.tenant, names))
        self.random = Random(seed)
        self.pending_repairs: list[tuple[float, object]] = []
        self.undone: list[Fault] = []
        self.jobs: dict[str, Job] = {}
        self.cut_off_workers: set[str] = set()
        self.down_hosts: set[str] = set()
        self.faults: dict[str, int] = defaultdict(int)
        self.links: dict[str, tuple[bool, bool, float]] = {}
        self.faults_changed_at = time.monotonic()
        self.odd_random = Random(f'odd {seed}')
        self.accepted_odd: list[str] = []
        self.restart_random = Random(f'restarts {seed}')
        self.isolated_workers: list[str] = []
        self.version = 3
        self.acknowledged_version = 0


def _schedule_repair(soak: SoakRun, repair) -> None:
    due = time.monotonic() + soak.random.uniform(0.3, 5)
    soak.pending_repairs.append((due, repair))


def _kill(soak: SoakRun, host: str) -> None:
    cells.stop_host(soak.cell, host)
    _schedule_repair(soak, lambda: cells.start(soak.cell, host))


def _stop(soak: SoakRun, host: str) -> None:
    """Tell a process to stop; kill it after its grace period."""
    soak.cell.running[host].send_signal(signal.SIGTERM)
    kill_at = time.monotonic() + cells.GRACE_S

    def restart() -> None:
        cells.reap_host(soak.cell, host, kill_at - time.monotonic())
        cells.start(soak.cell, host)

    due = kill_at + soak.random.uniform(0, _MAX_RESTART_DELAY_S)
    soak.pending_repairs.append((due, restart))


def _pause(soak: SoakRun, host: str) -> None:
    process = soak.cell.running[host]
    process.send_signal(signal.SIGSTOP)
    _schedule_repair(soak, lambda: process.send_signal(signal.SIGCONT))


def _wipe(soak: SoakRun, host: str) -> None:
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


def _kill_with_torn_log(soak: SoakRun, host: str) -> None:
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


def _set_links(soak: SoakRun) -> None:
    states = {
        **soak.links,
        **dict.fromkeys(soak.cut_off_workers, (False, False, 0)),
    }
    address = cells.relay_control_address(soak.cell)
    cells.call(address, 'PUT', '/links', states)


def _impair_links(
    soak: SoakRun, names: list[str], state: tuple[bool, bool, float]
) -> None:
    soak.links.update(dict.fromkeys(names, state))
    began_at = time.monotonic()
    soak.faults_changed_at = began_at
    _set_links(soak)

    def restore() -> None:
        for name in names:
            soak.links.pop(name, None)
        _set_links(soak)
        record_fault(soak, '', began_at)

    _schedule_repair(soak, restore)


def _pick_host(soak: SoakRun) -> str:
    return soak.random.choice((*cells.SCHEDULERS, *cells.ENTRIES))


def _cut(soak: SoakRun) -> None:
    """Hold back all traffic of a host while its connections stay open."""
    names = cells.link_names(_pick_host(soak))
    _impair_links(soak, names, (False, False, 0))


def _cut_one_way(soak: SoakRun) -> None:
    name = soak.random.choice(cells.link_names(_pick_host(soak)))
    forward = soak.random.choice((True, False))
    _impair_links(soak, [name], (forward, not forward, 0))


def _delay(soak: SoakRun) -> None:
    delay_s = soak.random.uniform(0, _MAX_LINK_DELAY_S)
    names = cells.link_names(_pick_host(soak))
    _impair_links(soak, names, (True, True, delay_s))


def _reset(soak: SoakRun) -> None:
    names = cells.link_names(_pick_host(soak))
    cells.call(cells.relay_control_address(soak.cell), 'PUT', '/reset', names)
    record_fault(soak, '', time.monotonic())


def _cut_off_workers(soak: SoakRun) -> None:
    count = soak.random.randint(1, _MAX_CUT_OFF_WORKERS)
    numbers = soak.random.sample(range(1, WORKERS + 1), count)
    names = {f'w{number}' for number in numbers}
    soak.cut_off_workers |= names
    _set_links(soak)

    def restore() -> None:
        soak.cut_off_workers -= names
        _set_links(soak)

    _schedule_repair(soak, restore)


def configuration(soak: SoakRun, version: int) -> dict[str, Any]:
    """Return the configuration of a version."""
    return cells.configuration(version, **soak.common)


def _change_configuration(soak: SoakRun) -> None:
    """Send a newer configuration; record its version if acknowledged."""
    soak.version += 1
    cfg = configuration(soak, soak.version)
    if cells.put_config(soak.cell, cfg) == cells.HTTP_OK:
        soak.acknowledged_version = soak.version


def _reload(soak: SoakRun) -> None:
    """Send SIGHUP to a host, unless its process is still starting."""
    host = _pick_host(soak)
    if cells.is_serving(soak.cell, host):
        cells.reload_settings(soak.cell, host)


_OTHER_FAULTS = MappingProxyType({
    'cut': _cut,
    'cut one way': _cut_one_way,
    'delay': _delay,
    'reset': _reset,
    'silence': _cut_off_workers,
    'change': _change_configuration,
    'reload': _reload,
    'none': lambda soak: None,
})


def _write_odd_message(soak: SoakRun) -> None:
    """Send an odd heartbeat, configuration or job; note one that is accepted.

    Its random numbers are its own, so that the faults of a seed stay the same.
    """
    random = soak.odd_random
    kind = random.choice((
        'heartbeat',
        'configuration',
        'job',
        _CONTRADICTION,
    ))
    host = random.choice(ENTRIES if kind == 'job' else SCHEDULERS)
    if not cells.is_serving(soak.cell, host):
        return
    if kind == _CONTRADICTION:
        _contradict_worker(soak, f'{host}:{soak.cell.ports.control}')
        return
    what, document = random.choice(_ODD_MESSAGES[kind])
    raw = odd_messages.encode(document)
    control = f'{host}:{soak.cell.ports.control}'
    name = f'{random.getrandbits(64):016x}'
    if kind == 'job':
        status, _ = cells.call_entry(soak.cell, host, 'POST', name, raw)
    elif kind == 'heartbeat':
        status, _ = cells.call(control, 'PUT', f'/instances/i-{name}', raw)
    else:
        status, _ = cells.call(control, 'PUT', '/config', raw)
    soak.faults[f'odd {kind}'] += 1
    if status == cells.HTTP_OK:
        soak.accepted_odd.append(f'accepted: odd {kind} ({what})')


def _contradict_worker(soak: SoakRun, control: str) -> None:
    """Send a valid heartbeat that contradicts that of a sound worker.

    Only one of an unknown service has to be refused; the others must have no
    effect on what runs.
    """
    random = soak.odd_random
    number = random.randint(1, WORKERS)
    what = random.choice(_CONTRADICTIONS)
    status = cells.contradict_worker(soak.cell, control, number, what)
    soak.faults[_CONTRADICTION] += 1
    if what == odd_messages.UNKNOWN_SERVICE and status == cells.HTTP_OK:
        soak.accepted_odd.append(f'accepted: {what}')


def _restart_workers(soak: SoakRun) -> None:
    """Crash workers that take late calls as they are back; cut them off then.

    The random numbers are its own, so that the other faults of a seed stay the
    same.
    """
    random = soak.restart_random
    count = random.randint(1, _MAX_RESTARTED_WORKERS)
    names = random.sample(cells.worker_names(WORKERS), count)
    back_s = random.uniform(*_DOWN_S)
    late_s = back_s + random.uniform(*_LATE_S)
    cut_s = random.uniform(*_ISOLATION_S)
    cells.crash_workers(soak.cell, names, back_s, late_s)
    soak.faults['restart'] += 1
    cut_at = time.monotonic() + late_s + _UNTIL_CUT_S
    soak.pending_repairs.append((cut_at, lambda: _isolate(soak, names, cut_s)))


def _isolate(soak: SoakRun, names: list[str], cut_s: float) -> None:
    """Cut workers off, also from the hosts that they report to."""
    soak.isolated_workers += names
    cells.cut_off_workers(soak.cell, soak.isolated_workers)

    def rejoin() -> None:
        for name in names:
            soak.isolated_workers.remove(name)
        cells.cut_off_workers(soak.cell, soak.isolated_workers)

    soak.pending_repairs.append((time.monotonic() + cut_s, rejoin))


def inject_fault(soak: SoakRun) -> None:
    """Inject one random fault; at most two hosts are down at a time."""
    if soak.odd_random.random() < _ODD_MESSAGE_SHARE:
        _write_odd_message(soak)
    if soak.restart_random.random() < _RESTART_SHARE:
        _restart_workers(soak)
    kind = soak.random.choice((*_HOST_FAULTS, *_OTHER_FAULTS))
    soak.faults[kind] += 1
    inject = _OTHER_FAULTS.get(kind)
    if inject:
        inject(soak)
        return
    host = _pick_host(soak)
    if host not in soak.down_hosts and len(soak.down_hosts) <= 1:
        _disturb_host(soak, kind, host)


def slow_down_entries(soak: SoakRun) -> None:
    """Delay all links of entries, so that requests are always in progress."""
    state = (True, True, _PLANNED_WORK_DELAY_S)
    for host in cells.ENTRIES:
        soak.links.update(dict.fromkeys(cells.link_names(host), state))
    _set_links(soak)


def restore_links(soak: SoakRun) -> None:
    """Undo all faults of links between hosts."""
    soak.links.clear()
    _set_links(soak)


def do_planned_work(soak: SoakRun) -> None:
    """Stop an entry, reload settings or change the configuration."""
    kind = soak.random.choice(('stop', 'reload', 'change'))
    soak.faults[f'planned {kind}'] += 1
    if kind != 'stop':
        _OTHER_FAULTS[kind](soak)
        return
    host = soak.random.choice(cells.ENTRIES)
    if host not in soak.down_hosts:
        _disturb_host(soak, kind, host)


def _disturb_host(soak: SoakRun, kind: str, host: str) -> None:
    soak.down_hosts.add(host)
    began_at = time.monotonic()
    _HOST_FAULTS[kind](soak, host)
    soak.faults_changed_at = time.monotonic()
    due, repair = soak.pending_repairs.pop()

    def undo() -> None:
        repair()
        soak.down_hosts.discard(host)
        record_fault(soak, host, began_at, planned=kind == 'stop')

    soak.pending_repairs.append((due, undo))


def record_fault(
    soak: SoakRun, host: str, began_at: float, *, planned: bool = False
) -> None:
    """Note that a fault, of a host unless empty, ended now."""
    now = time.monotonic()
    soak.undone.append(Fault(host, began_at, now, planned))
    soak.faults_changed_at = now


_LAST_FAULTS = ('no last fault', 'power lost', 'disk lost')


def inject_last_fault(soak: SoakRun) -> None:
    """Kill all schedulers right after they acknowledged something.

    All lose power, or one loses its disk, or nothing happens.  Schedulers must
    have been undisturbed for ``_MIN_UNDISTURBED_S`` before.
    """
    kind = _LAST_FAULTS[soak.seed % len(_LAST_FAULTS)]
    soak.faults[kind] += 1
    if kind == 'no last fault':
        return
    changes = [_submit_acknowledged, _change_acknowledged]
    soak.random.shuffle(changes)
    for change in changes:
        change(soak)
    cells.kill_schedulers(soak.cell)
    hosts = list(cells.SCHEDULERS)
    soak.random.shuffle(hosts)
    if kind == 'disk lost':
        shutil.rmtree(soak.cell.folder / hosts[0])
    if kind == 'power lost' or soak.random.random() < _POWER_LOSS_SHARE:
        for host in cells.SCHEDULERS:
            cells.lose_unsynced_files(soak.cell, host, soak.random)
    time.sleep(soak.random.uniform(0, _MAX_RESTART_DELAY_S))
    for host in hosts:
        cells.start(soak.cell, host)


def _change_acknowledged(soak: SoakRun) -> None:
    before = soak.acknowledged_version

    def change() -> bool:
        _change_configuration(soak)
        return soak.acknowledged_version > before

    cells.wait_until(change, 'a configuration to be acknowledged')


def _submit_acknowledged(soak: SoakRun) -> None:
    name = f'{soak.seed:015x}e'
    body = cells.job(_LAST_JOB_TASKS)
    entry = soak.random.choice(cells.ENTRIES)

    def submit() -> bool:
        status, _ = cells.call_entry(soak.cell, entry, 'POST', name, body)
        return status == cells.HTTP_OK

    cells.wait_until(submit, 'a job to be accepted')
    step = (_LAST_JOB_TASKS, body['steps'][0]['cpu'], False)
    soak.jobs[name] = Job(name, time.monotonic(), (step,))


def run_due_repairs(soak: SoakRun, now: float) -> None:
    """Undo the faults that are due at ``now`` (s)."""
    due = [one for one in soak.pending_repairs if one[0] <= now]
    for entry in due:
        soak.pending_repairs.remove(entry)
        entry[1]()
