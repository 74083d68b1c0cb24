"""The slopes of docs/CAPACITY.md: cost against size, over three sizes each.

``python -m bench.slopes [decisions|replica|announce|config|idle]`` prints
JSON lines.  Sizes are small; the page works the figures out for the large.
"""

import gc
import json
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from types import MappingProxyType

from bench.core import (
    Core,
    Scale,
    announce_all,
    place_tasks,
    random_contract,
    run_turn,
    submit,
)
from daisygw.contracts import (
    JobAccepted,
    Policy,
    Size,
    TaskEnded,
    TaskPlaced,
)
from daisygw.links import codec
from daisygw.machines import TargetListed, TargetSpec
from daisygw.schedulers import snapshot_codec
from daisygw.zones import ReplicatedState, apply
from standins.cell import (
    call,
    fetch_json,
    plan_cell,
    running_cell,
    start_targets,
    wait_until_serving,
)

_MICRO = 1_000_000
_SIZES = (100, 400, 1600)
_IDLE = 5.0
_UP_WAIT = 60
_POLICY = Policy(short_share=0, lease=3600)


def _say(**figures) -> None:
    sys.stdout.write(f'{json.dumps(figures)}\n')
    sys.stdout.flush()


def _slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return (slope, intercept) of a line through the points."""
    sizes, costs = zip(*points, strict=True)
    line = statistics.linear_regression(sizes, costs)
    return line.slope, line.intercept


def _timed(work: Callable[..., object], *args: object) -> float:
    began = time.perf_counter()
    work(*args)
    return time.perf_counter() - began


def announcements() -> None:
    """Processor time and bytes of announcements, by targets and tasks held."""
    points = []
    for workers in _SIZES:
        core = Core(Scale(workers, workers * 8, 20, 32), _POLICY)
        place_tasks(core, workers * 8)
        points.append((workers, _timed(announce_all, core)))
        points.append((workers, _timed(announce_all, core)))
    slope, intercept = _slope(points)
    _say(
        slope='announcement',
        per='announcement of 8 tasks',
        leader_us=round(slope * _MICRO, 1),
        intercept_us=round(intercept * _MICRO, 1),
    )


def _records(count: int) -> list[object]:
    core = Core(Scale(10, 0, 5, 10_000), _POLICY)
    records = [TargetListed(TargetSpec('w', 'i', 'a:1', Size(0, 0, 0, 10**6)))]
    for number in range(count):
        contract = random_contract(core, size=Size(0, 0, 0))
        records += [
            JobAccepted(contract, number),
            TaskPlaced(contract.id, 0, 1, 'w', 'i', number),
            TaskEnded(contract.id, 0, 1, 100, number, 5),
        ]
    return records


def _apply_all(replicated: ReplicatedState, records: list[object]) -> None:
    for record in records:
        apply(replicated, record)


def replica() -> None:
    """Encoding, decoding, applying and bytes of one task's three records."""
    encoding = []
    decoding = []
    applying = []
    size = []
    for count in _SIZES:
        records = _records(count)
        encoded = codec.encode_batch(records)
        encoding.append((count, _timed(codec.encode_batch, records)))
        decoding.append((count, _timed(codec.decode_batch, encoded)))
        replicated = ReplicatedState()
        applying.append(
            (count, _timed(_apply_all, replicated, records)),
        )
        size.append((count, len(encoded)))
    _say(
        slope='task',
        per='task accepted, placed and ended',
        encode_us=round(_slope(encoding)[0] * _MICRO, 2),
        decode_us=round(_slope(decoding)[0] * _MICRO, 2),
        apply_us=round(_slope(applying)[0] * _MICRO, 2),
        log_bytes=round(_slope(size)[0], 1),
    )


def _traced(scale: Scale) -> tuple[Core, int]:
    """Return a filled core and the memory (bytes) that it takes."""
    gc.collect()
    tracemalloc.start()
    core = Core(scale, _POLICY)
    place_tasks(core, scale.held)
    gc.collect()
    traced, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return core, traced


def state() -> None:
    """Memory and snapshot bytes by tasks held and by workers."""
    memory = []
    snapshots = []
    spans = []
    for held in _SIZES:
        core, traced = _traced(Scale(100, held, 20, 64))
        memory.append((held, traced))
        spans.append((held, _timed(snapshot_codec.dump, core.lead.replicated)))
        snapshots.append((held, len(snapshot_codec.dump(core.lead.replicated))))
    _say(
        slope='state',
        per='task held, in jobs of up to 200',
        memory_bytes=round(_slope(memory)[0]),
        snapshot_bytes=round(_slope(snapshots)[0], 1),
        snapshot_us=round(_slope(spans)[0] * _MICRO, 2),
    )


def workers() -> None:
    """Memory by workers."""
    points = [(count, _traced(Scale(count, 0, 20, 64))[1]) for count in _SIZES]
    _say(slope='state', per='worker', memory_bytes=round(_slope(points)[0]))


def decisions() -> None:
    """Processor time of one decision by teams waiting at once."""
    points = []
    for teams in (10, 60, 230):
        core = Core(Scale(300, 0, teams, 64), _POLICY)
        for _ in range(500):
            submit(core, random_contract(core))
        before = core.lead.decisions
        took = _timed(run_turn, core, 0.001)
        points.append((teams, took / (core.lead.decisions - before)))
    slope, intercept = _slope(points)
    _say(
        slope='decision',
        per='team that waits',
        us=round(slope * _MICRO, 3),
        intercept_us=round(intercept * _MICRO, 1),
    )


def _usage(entry: str) -> dict[str, dict[str, float]]:
    dump = fetch_json(entry, '/v1/dump')
    figures = {}
    for kind in ('entry', 'scheduler'):
        one = dump[kind]
        links = [*one['links'], *one.get('sessions', ())]
        figures[kind] = {
            'cpu': one['usage']['cpu_s'],
            'sent': sum(link['sent_bytes'] for link in links),
            'messages': sum(link['sent'] for link in links),
            'rss': one['usage']['max_rss_kib'],
        }
    return figures


def idle() -> None:
    """What idle processes spend, by failure domains and targets."""
    for domains, targets in ((1, 0), (2, 0), (4, 0), (2, 8), (2, 24)):
        names = [f'd{number}' for number in range(domains)]
        with tempfile.TemporaryDirectory() as folder:
            plan = plan_cell('r', names, fast_timing=False)
            with running_cell(plan, Path(folder)) as cell:
                for name in names if targets else ():
                    start_targets(cell, name, targets)
                total = domains * targets
                wait_until_serving(cell, total, _UP_WAIT)
                time.sleep(2)
                _idle_figures(plan.hosts[0].entry, domains, targets)


def _idle_figures(entry: str, domains: int, targets: int) -> None:
    before = _usage(entry)
    time.sleep(_IDLE)
    after = _usage(entry)
    for kind in ('entry', 'scheduler'):
        spent = {
            name: (after[kind][name] - before[kind][name]) / _IDLE
            for name in ('cpu', 'sent', 'messages')
        }
        _say(
            slope='idle',
            process=kind,
            domains=domains,
            hosts=domains * 2,
            targets_in_domain=targets,
            core_percent=round(spent['cpu'] * 100, 2),
            sent_bytes_s=round(spent['sent']),
            messages_s=round(spent['messages'], 1),
            rss_mib=round(after[kind]['rss'] / 1024, 1),
        )


def config() -> None:
    """Time and bytes of changes of the configuration."""
    with tempfile.TemporaryDirectory() as folder:
        plan = plan_cell('r', ('d0', 'd1', 'd2'), fast_timing=False)
        with running_cell(plan, Path(folder)) as cell:
            wait_until_serving(cell, 0, _UP_WAIT)
            _changes(cell)


def _changes(cell) -> None:
    entry = cell.plan.hosts[0].entry
    base = cell.base.read_text()
    number = 0
    for teams in (2, 60, 230):
        more = ''.join(
            f'[teams.extra{one}]\nweight = 1\n' for one in range(teams)
        )
        took = []
        for _ in range(10):
            document = {'expected': number, 'base': base + more}
            body = json.dumps(document).encode()
            began = time.perf_counter()
            _, answer = call(entry, '/v1/configuration', 'POST', body)
            took.append(time.perf_counter() - began)
            number = json.loads(answer)['view']['version']
        _say(
            slope='configuration',
            teams=teams,
            text_bytes=len(base + more),
            in_force_s_median=round(statistics.median(took), 3),
            in_force_s_max=round(max(took), 3),
        )


_ALL = MappingProxyType({
    'announcements': announcements,
    'replica': replica,
    'state': state,
    'workers': workers,
    'decisions': decisions,
    'config': config,
    'idle': idle,
})


def main() -> None:
    """Measure the slopes named, all where none is."""
    for name, measure in _ALL.items():
        if not sys.argv[1:] or name in sys.argv[1:]:
            measure()


if __name__ == '__main__':
    main()
