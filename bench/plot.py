"""Draws the JSON lines of a bench: ``python -m bench.plot FILE PICTURE``.

One panel a bench; a bar for each figure and policy, and a line at each bound.
"""

import json
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot as plt  # noqa: E402

_HEIGHT = 2.6
_WIDTH = 9
_BOUND = 'bound_'
_LABELS = frozenset({'bench', 'policy', 'user', 'process', 'workers'})


def _name(line: dict[str, Any]) -> str:
    return ' '.join(str(line[key]) for key in _LABELS & set(line))


def _figures(line: dict[str, Any]) -> dict[str, float]:
    return {
        key: number
        for key, number in line.items()
        if isinstance(number, int | float)
        and key not in _LABELS
        and not key.startswith(_BOUND)
    }


def draw(lines: list[dict[str, Any]], picture: Path) -> None:
    """Draw all benches of the lines into one picture."""
    by_bench = defaultdict(list)
    for line in lines:
        by_bench[line['bench']].append(line)
    count = len(by_bench)
    _, axes = plt.subplots(
        count,
        1,
        figsize=(_WIDTH, _HEIGHT * count),
        squeeze=False,
    )
    for axis, (bench, mine) in zip(axes.ravel(), by_bench.items(), strict=True):
        _draw_bench(axis, bench, mine)
    plt.tight_layout()
    plt.savefig(picture)


def _draw_bench(axis: Any, bench: str, lines: list[dict[str, Any]]) -> None:
    bars = [
        (f'{_name(line)}\n{key}', number)
        for line in lines
        for key, number in _figures(line).items()
    ]
    axis.barh([name for name, _ in bars], [number for _, number in bars])
    bounds = {
        number
        for line in lines
        for key, number in line.items()
        if key.startswith(_BOUND) and isinstance(number, int | float)
    }
    for bound in bounds:
        axis.axvline(bound, color='red', linewidth=1)
    axis.set_title(bench)
    axis.set_xscale('symlog')
    axis.tick_params(labelsize=5)


def main() -> int:
    """Draw one file."""
    source, picture = map(Path, sys.argv[1:3])
    lines = [json.loads(line) for line in source.read_text().splitlines()]
    draw(lines, picture)
    return 0


if __name__ == '__main__':
    sys.exit(main())
