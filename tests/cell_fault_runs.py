"""Run a simulated cell with random jobs and faults."""

from random import Random
from typing import Any

from daisygw.contracts import (
    JobSpec,
    Size,
    Step,
)
from tests.cell_history import check_waiting_jobs
from tests.cell_world import (
    World,
    add_worker,
    call_later,
    cancel,
    configure,
    crash,
    fail_over,
    run_for,
    submit,
    unadvised_queues,
)

_WORKERS = 6
# Share of the turns in which one of the next jobs is cancelled beforehand.
_OVERTAKING_SHARE = 0.05


def random_job(world: World, number: int) -> JobSpec:
    """Return a random job of one to three steps."""
    random = world.random
    steps = []
    for index in range(random.choice((1, 1, 2, 3))):
        gang = random.random() < 0.3
        count = random.randint(1, 4)
        cpus = random.choice((500, 2000, 4000))
        steps.append(
            Step(
                count,
                Size(cpus, random.choice((500, 3000)), 0, 0),
                random.choice((0.3, 1, 2)),
                (index - 1,) if index else (),
                gang=gang,
                checkpoints=count > 1,
                spread=random.choice((0, 0, 0, 2)),
            )
        )
    payload = 'poison' if random.random() < 0.03 else 'work'
    return JobSpec(f'{number:016x}', payload, tuple(steps))


def run_with_faults(
    seed: int, seconds: float, quiet_s: float, **more: Any
) -> World:
    """Run a cell with random faults, then without faults (s each).

    ``more`` are arguments of the world.
    """
    world = World(seed, **more)
    random = world.random
    cancel_random = Random(f'cancel {seed}')
    run_for(world, 1)
    until = world.now + seconds
    number = 0
    while world.now < until:
        if cancel_random.random() < _OVERTAKING_SHARE:
            cancel(world, f'{number + cancel_random.randint(1, 3):016x}')
        if random.random() < 0.5:
            number += 1
            prefix = random.choice(('/a/', '/b/'))
            submit(world, random_job(world, number), prefix)
        _inject_fault(world, random)
        run_for(world, 0.2)
        check_waiting_jobs(world)
    _heal(world)
    run_for(world, quiet_s)
    return world


def run_with_restarts(
    seed: int, seconds: float, quiet_s: float, *, advised: bool
) -> World:
    """Run a cell whose targets restart often and carry out calls late.

    Without an advisor, no ticket keeps a start from another instance of its
    target.
    """
    world = World(seed, longest_lease=10)
    if not advised:
        configure(world, 2, queues=unadvised_queues())
    random = world.random
    run_for(world, 1)
    world.late_probability = 0.1
    until = world.now + seconds
    number = 0
    while world.now < until:
        if random.random() < 0.25:
            number += 1
            submit(world, random_job(world, number), '/a/')
        _inject_restart(world, random)
        run_for(world, 0.2)
    _heal(world)
    run_for(world, quiet_s)
    return world


def _inject_restart(world: World, random: Random) -> None:
    """Restart a target at times, and cut it off soon afterwards."""
    draw = random.random()
    name = f'w{random.randrange(_WORKERS)}'
    if draw < 0.1:
        crash(world, name, restarts=True)
        call_later(world, random.uniform(0, 3), lambda: world.cut.add(name))
        call_later(world, 12, lambda: world.cut.discard(name))
    elif draw < 0.12:
        fail_over(world)


def _heal(world: World) -> None:
    world.late_probability = 0
    world.loss_probability = 0
    world.cut.clear()
    for index in range(_WORKERS):
        if f'w{index}' not in world.workers:
            add_worker(world, f'w{index}')


def _inject_fault(world: World, random: Random) -> None:
    draw = random.random()
    name = f'w{random.randrange(_WORKERS)}'
    if draw < 0.05:
        _inject_host_fault(world, random, draw, name)
    elif draw < 0.07:
        world.late_probability = random.choice((0, 0.06))
        world.loss_probability = random.choice((0, 0.05))
    else:
        _inject_other_fault(world, random, draw, name)


def _inject_host_fault(
    world: World, random: Random, draw: float, name: str
) -> None:
    if draw < 0.02:
        fail_over(world)
    elif draw < 0.03:
        crash(world, name, restarts=random.random() < 0.7)
    else:
        world.cut.add(name)
        call_later(
            world, random.uniform(0.5, 8), lambda: world.cut.discard(name)
        )


def _inject_other_fault(
    world: World, random: Random, draw: float, name: str
) -> None:
    if draw < 0.08 and world.jobs:
        cancel(world, random.choice(list(world.jobs)))
    elif draw < 0.085:
        world.drops_output_until = world.now + random.uniform(0, 1)
    elif draw < 0.09 and name not in world.workers:
        add_worker(world, name)
