"""A user's load, replayed through the decisions of a cell: who waited.

``python -m bench.crest [LOAD] [SEEDS]`` prints a JSON line a seed: by kind of
job the shares refused, in time and late, and what was earned of the worth
owed; the target for the mean is 0.71 (Latas Vivas) and 0.53 (Obrapase) with
faults, which this load has not.
"""

import argparse
import json
import sys
from dataclasses import asdict

from standins.cell_figures import figures
from standins.cell_load import World, replay_load
from standins.cell_loads import LOADS


def replay(load: str, seed: int) -> dict:
    """Play a load from a seed; return its figures as plain values."""
    world = World(LOADS[load], seed)
    replay_load(world)
    rows = {name: asdict(row) for name, row in figures(world).items()}
    return {
        'load': load,
        'seed': seed,
        'starts': world.starts,
        'advice_s': round(world.advice, 1),
        'earned': round(rows.pop('')['earned'], 3),
        'kinds': rows,
    }


def main() -> None:
    """Replay a load from several seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('load', nargs='?', default='latas-grown', choices=LOADS)
    parser.add_argument('seeds', nargs='?', default=4, type=int)
    given = parser.parse_args()
    for seed in range(1, given.seeds + 1):
        sys.stdout.write(f'{json.dumps(replay(given.load, seed))}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
