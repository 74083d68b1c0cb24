"""Random jobs and faults for a cell that is played."""

from random import Random

from daisygw.contracts import (
    JobSpec,
    Size,
    Step,
)
from tests.cell_world import (
    World,
    add_worker,
    cancel,
    crash,
    fail_over,
    later,
    run_for,
    submit,
)

# Workers of a played cell.
_WORKERS = 6


def random_job(world: World, number: int) -> JobSpec:
    """Return a job of one to three steps."""
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
                spread=random.choice((0, 0, 0, 2)),
            )
        )
    payload = 'poison' if random.random() < 0.03 else 'work'
    return JobSpec(f'{number:016x}', payload, tuple(steps))


def play(
    seed: int, seconds: float, calm: float, longest_lease: float = 4
) -> World:
    """Play a time of random faults and then a calm one."""
    world = World(seed, longest_lease=longest_lease)
    random = world.random
    run_for(world, 1)
    until = world.now + seconds
    number = 0
    while world.now < until:
        if random.random() < 0.5:
            number += 1
            prefix = random.choice(('/a/', '/b/'))
            submit(world, random_job(world, number), prefix)
        _disturb(world, random)
        run_for(world, 0.2)
    _mend(world)
    run_for(world, calm)
    return world


def _mend(world: World) -> None:
    world.late = 0
    world.lost = 0
    world.cut.clear()
    for index in range(_WORKERS):
        if f'w{index}' not in world.workers:
            add_worker(world, f'w{index}')


def _disturb(world: World, random: Random) -> None:
    chance = random.random()
    name = f'w{random.randrange(_WORKERS)}'
    if chance < 0.05:
        _disturb_host(world, random, chance, name)
    elif chance < 0.07:
        world.late = random.choice((0, 0.06))
        world.lost = random.choice((0, 0.05))
    else:
        _disturb_rest(world, random, chance, name)


def _disturb_host(
    world: World, random: Random, chance: float, name: str
) -> None:
    if chance < 0.02:
        fail_over(world)
    elif chance < 0.03:
        crash(world, name, reborn=random.random() < 0.7)
    else:
        world.cut.add(name)
        later(world, random.uniform(0.5, 8), lambda: world.cut.discard(name))


def _disturb_rest(
    world: World, random: Random, chance: float, name: str
) -> None:
    if chance < 0.08 and world.jobs:
        cancel(world, random.choice(list(world.jobs)))
    elif chance < 0.085:
        world.loses_until = world.now + random.uniform(0, 1)
    elif chance < 0.09 and name not in world.workers:
        add_worker(world, name)
