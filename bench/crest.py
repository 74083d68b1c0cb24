"""Replays a user's peak load through the placement decisions of a cell.

``python -m bench.crest [LOAD] [SEEDS]`` prints a JSON line per seed: for each
kind of job the shares that were refused, in time and late, the share of their
worth that was earned, and the shares that earned a worth of all, of the largest
tenth and of the fifth below it.  The target for the mean of that share is 0.71
(Latas Vivas) and 0.53 (Obrapase) with faults; this load injects none.
"""

import argparse
import json
import sys
from dataclasses import asdict

from standins.cell_figures import figures
from standins.cell_load import World, replay_load
from standins.cell_loads import LOADS


def replay(load: str, seed: int) -> dict:
    """Replay a load from a seed; return its figures as JSON values."""
    world = World(LOADS[load], seed)
    replay_load(world)
    rows = {name: asdict(row) for name, row in figures(world).items()}
    return {
        'load': load,
        'seed': seed,
        'starts': world.starts,
        'advice_s': round(world.advice, 1),
        'returns': sum(world.returns.values()),
        'earned': round(rows.pop('')['earned'], 3),
        'kinds': rows,
    }


def main() -> None:
    """Replay a load with the seeds from 1 to SEEDS."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('load', nargs='?', default='latas-grown', choices=LOADS)
    parser.add_argument('seeds', nargs='?', default=4, type=int)
    args = parser.parse_args()
    for seed in range(1, args.seeds + 1):
        sys.stdout.write(f'{json.dumps(replay(args.load, seed))}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
