"""Measures the slopes in docs/CAPACITY.md: cost per unit of size.

``python -m bench.slopes [NAME ...]`` prints JSON lines; the names are
announcements, replica, state, workers, decisions, config and idle.  Each
slope is fitted over small sizes; the page extrapolates to large cells.
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

_US_PER_S = 1_000_000
_SIZES = (100, 400, 1600)
_IDLE_SECONDS = 5.0
_START_TIMEOUT_S = 60
_POLICY = Policy(short_share=0, lease=3600)


def _print_line(**figures) -> None:
    sys.stdout.write(f'{json.dumps(figures)}\n')
    sys.stdout.flush()


def _fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return (slope, intercept) of the regression line through the points."""
    sizes, costs = zip(*points, strict=True)
    line = statistics.linear_regression(sizes, costs)
    return line.slope, line.intercept


def _elapsed_s(work: Callable[..., object], *args: object) -> float:
    started_at = time.perf_counter()
    work(*args)
    return time.perf_counter() - started_at


def announcements() -> None:
    """Measure the leader's time per announcement of 8 running tasks."""
    points = []
    for workers in _SIZES:
        core = Core(Scale(workers, workers * 8, 20, 32), _POLICY)
        place_tasks(core, workers * 8)
        points.append((workers, _elapsed_s(announce_all, core)))
        points.append((workers, _elapsed_s(announce_all, core)))
    slope, intercept = _fit_line(points)
    _print_line(
        slope='announcement',
        per='announcement of 8 tasks',
        leader_us=round(slope * _US_PER_S, 1),
        intercept_us=round(intercept * _US_PER_S, 1),
    )


def _task_records(count: int) -> list[object]:
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
    """Measure time and bytes of the three log records of one task.

    The records are encoded, decoded and applied.
    """
    encoding = []
    decoding = []
    applying = []
    size = []
    for count in _SIZES:
        records = _task_records(count)
        encoded = codec.encode_batch(records)
        encoding.append((count, _elapsed_s(codec.encode_batch, records)))
        decoding.append((count, _elapsed_s(codec.decode_batch, encoded)))
        replicated = ReplicatedState()
        applying.append(
            (count, _elapsed_s(_apply_all, replicated, records)),
        )
        size.append((count, len(encoded)))
    _print_line(
        slope='task',
        per='task accepted, placed and ended',
        encode_us=round(_fit_line(encoding)[0] * _US_PER_S, 2),
        decode_us=round(_fit_line(decoding)[0] * _US_PER_S, 2),
        apply_us=round(_fit_line(applying)[0] * _US_PER_S, 2),
        log_bytes=round(_fit_line(size)[0], 1),
    )


def _traced_memory(scale: Scale) -> tuple[Core, int]:
    """Return a core with its tasks placed, and the memory (bytes) it takes."""
    gc.collect()
    tracemalloc.start()
    core = Core(scale, _POLICY)
    place_tasks(core, scale.held)
    gc.collect()
    traced, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return core, traced


def state() -> None:
    """Measure memory, and size and time of a snapshot, per running task."""
    memory = []
    snapshots = []
    spans = []
    for held in _SIZES:
        core, traced = _traced_memory(Scale(100, held, 20, 64))
        memory.append((held, traced))
        spans.append((
            held,
            _elapsed_s(snapshot_codec.dump, core.lead.replicated),
        ))
        snapshots.append((held, len(snapshot_codec.dump(core.lead.replicated))))
    _print_line(
        slope='state',
        per='task held, in jobs of up to 200',
        memory_bytes=round(_fit_line(memory)[0]),
        snapshot_bytes=round(_fit_line(snapshots)[0], 1),
        snapshot_us=round(_fit_line(spans)[0] * _US_PER_S, 2),
    )


def workers() -> None:
    """Measure memory per worker."""
    points = [
        (count, _traced_memory(Scale(count, 0, 20, 64))[1]) for count in _SIZES
    ]
    _print_line(
        slope='state', per='worker', memory_bytes=round(_fit_line(points)[0])
    )


def decisions() -> None:
    """Measure the time of a decision, by the number of waiting teams."""
    points = []
    for teams in (10, 60, 230):
        core = Core(Scale(300, 0, teams, 64), _POLICY)
        for _ in range(500):
            submit(core, random_contract(core))
        before = core.lead.decisions
        took = _elapsed_s(run_turn, core, 0.001)
        points.append((teams, took / (core.lead.decisions - before)))
    slope, intercept = _fit_line(points)
    _print_line(
        slope='decision',
        per='team that waits',
        us=round(slope * _US_PER_S, 3),
        intercept_us=round(intercept * _US_PER_S, 1),
    )


def _process_usage(entry: str) -> dict[str, dict[str, float]]:
    dump = fetch_json(entry, '/v1/dump')
    figures = {}
    for kind in ('entry', 'scheduler'):
        process = dump[kind]
        links = [*process['links'], *process.get('sessions', ())]
        figures[kind] = {
            'cpu': process['usage']['cpu_s'],
            'sent': sum(link['sent_bytes'] for link in links),
            'messages': sum(link['sent'] for link in links),
            'rss': process['usage']['max_rss_kib'],
        }
    return figures


def idle() -> None:
    """Measure CPU time, traffic and memory of idle processes.

    They are measured by number of failure domains and of targets in each.
    """
    for domains, targets in ((1, 0), (2, 0), (4, 0), (2, 8), (2, 24)):
        names = [f'd{number}' for number in range(domains)]
        with tempfile.TemporaryDirectory() as folder:
            plan = plan_cell('r', names, fast_timing=False)
            with running_cell(plan, Path(folder)) as cell:
                for name in names if targets else ():
                    start_targets(cell, name, targets)
                total = domains * targets
                wait_until_serving(cell, total, _START_TIMEOUT_S)
                time.sleep(2)
                _print_idle_figures(plan.hosts[0].entry, domains, targets)


def _print_idle_figures(entry: str, domains: int, targets: int) -> None:
    before = _process_usage(entry)
    time.sleep(_IDLE_SECONDS)
    after = _process_usage(entry)
    for kind in ('entry', 'scheduler'):
        per_second = {
            name: (after[kind][name] - before[kind][name]) / _IDLE_SECONDS
            for name in ('cpu', 'sent', 'messages')
        }
        _print_line(
            slope='idle',
            process=kind,
            domains=domains,
            hosts=domains * 2,
            targets_in_domain=targets,
            core_percent=round(per_second['cpu'] * 100, 2),
            sent_bytes_s=round(per_second['sent']),
            messages_s=round(per_second['messages'], 1),
            rss_mib=round(after[kind]['rss'] / 1024, 1),
        )


def config() -> None:
    """Measure the time until a new configuration is in force, by its size."""
    with tempfile.TemporaryDirectory() as folder:
        plan = plan_cell('r', ('d0', 'd1', 'd2'), fast_timing=False)
        with running_cell(plan, Path(folder)) as cell:
            wait_until_serving(cell, 0, _START_TIMEOUT_S)
            _measure_changes(cell)


def _measure_changes(cell) -> None:
    entry = cell.plan.hosts[0].entry
    base = cell.base.read_text()
    number = 0
    for teams in (2, 60, 230):
        extra_teams = ''.join(
            f'[teams.extra{one}]\nweight = 1\n' for one in range(teams)
        )
        took = []
        for _ in range(10):
            document = {'expected': number, 'base': base + extra_teams}
            body = json.dumps(document).encode()
            started_at = time.perf_counter()
            _, answer = call(entry, '/v1/configuration', 'POST', body)
            took.append(time.perf_counter() - started_at)
            number = json.loads(answer)['view']['version']
        _print_line(
            slope='configuration',
            teams=teams,
            text_bytes=len(base + extra_teams),
            in_force_s_median=round(statistics.median(took), 3),
            in_force_s_max=round(max(took), 3),
        )


_MEASUREMENTS = MappingProxyType({
    'announcements': announcements,
    'replica': replica,
    'state': state,
    'workers': workers,
    'decisions': decisions,
    'config': config,
    'idle': idle,
})


def main() -> None:
    """Measure the slopes named as arguments, or all."""
    for name, measure in _MEASUREMENTS.items():
        if not sys.argv[1:] or name in sys.argv[1:]:
            measure()


if __name__ == '__main__':
    main()
