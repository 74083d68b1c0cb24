"""Random log records of a cell, and the comparison of two cells' states."""

from collections import defaultdict
from typing import Any

from daisygw.cell import Cell, apply, snapshot
from daisygw.contracts import (
    CancelNoted,
    CancelsPurged,
    CellConfig,
    ConfigStored,
    Customer,
    EndsAcknowledged,
    InstanceClosed,
    InstanceEnded,
    JobCancelled,
    JobEnqueued,
    JobSpec,
    JobsPurged,
    JobStarted,
    Queue,
    RunEnd,
    RunFinished,
    RunsPlaced,
    Size,
    Step,
)
from daisygw.links import codec
from daisygw.machines import InstanceListed, TargetInstance, instance_key

REQUEST_HOST = 'host'
_OWNERS = ('', 'one', 'two')
_STEP_SIZE = Size(100, 50, 1, 0)
_JOBS = (
    ((Step(2, _STEP_SIZE, 1), Step(1, _STEP_SIZE, 1, after=(0,))), 0),
    ((Step(3, _STEP_SIZE, 1, gang=True, checkpoints=True),), 0),
    ((Step(2, _STEP_SIZE, 1, lasting=True, fills=True),), 0),
    ((Step(1, _STEP_SIZE, 1, checkpoints=True),), 2),
)
_ENDS = (RunEnd.DONE, RunEnd.FAILED, RunEnd.FAILED, RunEnd.LOST)


def queue(prefix: str, attempts: int) -> Queue:
    """Return a queue without a placement advisor."""
    return Queue(prefix, REQUEST_HOST, prefix, 'svc', 3, 1, 0, attempts, 3)


def config(version: int, queues: tuple[Queue, ...]) -> CellConfig:
    """Return a configuration with these queues."""
    # Every third version has no customers, and the others have one or two.
    customers = tuple(
        Customer(name, (name.encode(),), version, Size(version, 0, 0))
        for name in _OWNERS[1 : 1 + version % 3]
    )
    return CellConfig(version, queues, ('svc',), 99, b'{}', customers or None)


def target_instance(name: str, born: int = 1) -> TargetInstance:
    """Return a target instance with room for any test's tasks."""
    size = Size(9000, 9000, 9000, 0)
    return TargetInstance(name, born, 'svc', f'{name}:1', 'zone', size)


def restored(cell: Cell) -> Cell:
    """Return a cell that is rebuilt from an encoded snapshot of another."""
    rebuilt = Cell()
    for record in codec.decode_batch(codec.encode_batch(snapshot(cell))):
        apply(rebuilt, record)
    return rebuilt


def fields_of(state: Any) -> Any:
    """Return a state as nested dictionaries of its fields, to be compared."""
    if isinstance(state, dict):
        return {key: fields_of(part) for key, part in state.items()}
    if hasattr(state, '__dict__'):
        return {
            type(state).__name__: {
                name: fields_of(part) for name, part in state.__dict__.items()
            }
        }
    return state


def check_same_state(one: Cell, other: Cell) -> None:
    """Compare all fields of two cells."""
    differing = _differing_fields(fields_of(one), fields_of(other))
    assert not differing, differing


def _differing_fields(one: Any, other: Any, path: str = '') -> list[str]:
    """Return the paths and values of the fields that differ."""
    if not (isinstance(one, dict) and isinstance(other, dict)):
        return [] if one == other else [f'{path}: {one!r} / {other!r}']
    return [
        line
        for key in {**one, **other}
        for line in _differing_fields(
            one.get(key), other.get(key), f'{path}/{key}'
        )
    ]


def record_values(state: Any, found: dict[tuple, set[str]]) -> None:
    """Add the values of all fields of a state, by class and field name."""
    if isinstance(state, dict):
        for part in state.values():
            record_values(part, found)
    elif hasattr(state, '__dict__'):
        for name, part in state.__dict__.items():
            found[type(state).__name__, name].add(repr(fields_of(part)))
            record_values(part, found)


def constant_fields(found: dict[tuple, set[str]]) -> list[tuple]:
    """Return the fields that had the same value in all states."""
    return [field for field, values in found.items() if len(values) == 1]


def values_by_field() -> dict[tuple, set[str]]:
    """Return an empty collection for ``record_values``."""
    return defaultdict(set)


def next_record(cell: Cell, kind: str, number: int) -> Any:
    """Return a record that a leader could append now, or none.

    ``number`` chooses among the possible records of this kind.
    """
    return _MAKERS[kind](cell, number)


def _config(cell: Cell, number: int) -> ConfigStored:
    current = cell.cfg.version if cell.cfg else 0
    version = current + number % 3
    queues = (queue('/a/', attempts=2), queue('/b/', attempts=3))
    return ConfigStored(config(version, queues[number % 2 : 1 + number % 4]))


def _job(cell: Cell, number: int) -> JobEnqueued | None:
    name = f'{number % 6:016x}'
    queues = cell.cfg.queues if cell.cfg else ()
    if not queues or name in cell.jobs:
        return None
    steps, repeats = _JOBS[number % len(_JOBS)]
    prefix = queues[number % len(queues)].prefix
    spec = JobSpec(name, 'work', steps, repeats, 1, 2)
    owner = _OWNERS[number % len(_OWNERS)]
    surplus = number % 2 > 0
    return JobEnqueued(spec, REQUEST_HOST, prefix, number, owner, surplus)


def _cancel(cell: Cell, number: int) -> JobCancelled | None:
    open_jobs = [name for name, job in cell.jobs.items() if not job.over]
    if not open_jobs:
        return None
    return JobCancelled(open_jobs[number % len(open_jobs)])


def _note_cancel(cell: Cell, number: int) -> CancelNoted:
    return CancelNoted(f'{number % 4:016x}', _OWNERS[number % len(_OWNERS)])


def _purge_cancels(cell: Cell, number: int) -> CancelsPurged | None:
    rows = [
        (customer, name)
        for customer, names in cell.early_cancels.items()
        for name in names
    ]
    return CancelsPurged(tuple(rows[: 1 + number % 2])) if rows else None


def _start_job(cell: Cell, number: int) -> JobStarted | None:
    started = [
        name
        for name, job in cell.jobs.items()
        if any(state.runs for state in job.steps.values())
    ]
    return JobStarted(started[number % len(started)]) if started else None


def _purge(cell: Cell, number: int) -> JobsPurged | None:
    ended = tuple(
        name
        for name, job in cell.jobs.items()
        if job.over and not any(one.runs for one in job.steps.values())
    )
    return JobsPurged(ended) if ended else None


def _target(cell: Cell, number: int) -> InstanceListed | None:
    name = f't{number % 3}'
    if any(one.instance.name == name for one in cell.targets.values()):
        return None
    return InstanceListed(target_instance(name, number))


def _chosen_target(cell: Cell, number: int) -> Any:
    targets = list(cell.targets.values())
    return targets[number % len(targets)] if targets else None


def _close(cell: Cell, number: int) -> InstanceClosed | None:
    target = _chosen_target(cell, number)
    return InstanceClosed(instance_key(target.instance)) if target else None


def _gone(cell: Cell, number: int) -> InstanceEnded | None:
    target = _chosen_target(cell, number)
    return InstanceEnded(instance_key(target.instance)) if target else None


def _position(cell: Cell, number: int) -> EndsAcknowledged | None:
    target = _chosen_target(cell, number)
    if target is None:
        return None
    return EndsAcknowledged(instance_key(target.instance), number)


def _steps(cell: Cell) -> list[Any]:
    return [state for job in cell.jobs.values() for state in job.steps.values()]


def _place(cell: Cell, number: int) -> RunsPlaced | None:
    steps = [
        state
        for state in _steps(cell)
        if not cell.jobs[state.key.job].over
        and not state.complete
        and not (state.step.gang and state.runs)
    ]
    if not steps or not cell.targets:
        return None
    state = steps[number % len(steps)]
    pending = [
        index
        for index in range(state.step.count)
        if index not in state.done and index not in state.runs
    ]
    if not state.step.gang:
        pending = pending[: 1 + number % 2]
    newest = max(state.numbers.values(), default=0) + 1
    keys = list(cell.targets)
    rows = tuple(
        (index, newest, keys[(number + index) % len(keys)]) for index in pending
    )
    return RunsPlaced(state.key, rows) if rows else None


def _move(cell: Cell, number: int) -> RunsPlaced | None:
    """Let another target adopt a run."""
    runs = [run for state in _steps(cell) for run in state.runs.values()]
    if not runs or not cell.targets:
        return None
    run = runs[number % len(runs)]
    key = list(cell.targets)[number // 7 % len(cell.targets)]
    return RunsPlaced(run.step, ((run.index, run.number, key),))


def _end(cell: Cell, number: int) -> RunFinished | None:
    runs = [run for state in _steps(cell) for run in state.runs.values()]
    if not runs:
        return None
    run = runs[number % len(runs)]
    how = _ENDS[number // 3 % len(_ENDS)]
    checkpoint = f'c{number}' if number % 2 else ''
    return RunFinished(run.step, run.index, run.number, how, checkpoint)


_MAKERS = {
    'config': _config,
    'job': _job,
    'cancel': _cancel,
    'start': _start_job,
    'note cancel': _note_cancel,
    'purge cancels': _purge_cancels,
    'purge': _purge,
    'target': _target,
    'close': _close,
    'gone': _gone,
    'position': _position,
    'place': _place,
    'move': _move,
    'end': _end,
}
