"""Measures a placement pass of a full cell while many tasks wait.

``python -m bench.passes [TASKS]`` prints a JSON line: the median and the
longest time (ms, of the processor) of a pass.  The
bound for a pass with 20,000 waiting tasks is 20 ms.
"""

import argparse
import json
import statistics
import sys
import time
from dataclasses import replace

from daisygw.cell import enqueue_job, place_waiting
from daisygw.contracts import JobSpec, RunsPlaced, Size, Step, StepKey
from standins.cell_load import World, enqueued_record, run_leader_turn
from standins.cell_loads import LAKESHORE

_TASKS_PER_JOB = 4
_PASSES = 40
_FILLER = 'f' * 16
_WARM_UP_TURNS = 20


def _full_world(tasks: int) -> World:
    """Return a cell of 176 full targets for which ``tasks`` tasks wait."""
    kinds = tuple(replace(kind, rate=0) for kind in LAKESHORE.kinds)
    load = replace(LAKESHORE, kinds=kinds, bursts=(), surge=None)
    world = World(load, 1)
    run_leader_turn(world)
    size = Size(LAKESHORE.target_cpus, LAKESHORE.target_memory, 0, 0)
    filler = JobSpec(_FILLER, 'work', (Step(len(world.targets), size, 60),))
    _accept(world, filler, 1)
    rows = tuple(
        (index, 1, key) for index, key in enumerate(world.cell.targets)
    )
    world.lead.record(RunsPlaced(StepKey(_FILLER, 0, 0), rows))
    for number in range(tasks // _TASKS_PER_JOB):
        step = Step(_TASKS_PER_JOB, Size(2_000 + number % 9, 1_000, 0, 0), 1)
        job = JobSpec(f'{number:016x}', 'work', (step,))
        _accept(world, job, number % len(kinds))
        enqueue_job(world.lead, world.cell.jobs[job.id])
    for _ in range(_WARM_UP_TURNS):
        run_leader_turn(world)
    return world


def _accept(world: World, job: JobSpec, number: int) -> None:
    kind = world.load.kinds[number]
    world.jobs[job.id] = (kind, job, world.now)
    world.work_by_step[job.id] = [step.estimate for step in job.steps]
    world.lead.record(enqueued_record(job, kind, world.now))


def measure(tasks: int) -> dict:
    """Return the times of passes with ``tasks`` waiting tasks."""
    world = _full_world(tasks)
    times = []
    for _ in range(_PASSES):
        run_leader_turn(world)
        world.lead.changed = True
        began = time.process_time()
        place_waiting(world.lead)
        times.append(1000 * (time.process_time() - began))
    return {
        'tasks': tasks,
        'steps': len(world.lead.waiting),
        'median_ms': round(statistics.median(times), 2),
        'longest_ms': round(max(times), 2),
    }


def main() -> None:
    """Measure once."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('tasks', nargs='?', default=20_000, type=int)
    row = measure(parser.parse_args().tasks)
    sys.stdout.write(f'{json.dumps(row)}\n')


if __name__ == '__main__':
    main()
