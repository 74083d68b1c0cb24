"""Plots benchmark results: ``python -m bench.plot FILE PICTURE``.

FILE holds JSON lines.  Each benchmark gets a panel with a bar for each figure
and policy, and a line at each bound.
"""

import json
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot as plt  # noqa: E402

_PANEL_HEIGHT_INCHES = 2.6
_WIDTH_INCHES = 9
_BOUND_PREFIX = 'bound_'
_LABEL_KEYS = frozenset({'bench', 'policy', 'user', 'process', 'workers'})


def _label(line: dict[str, Any]) -> str:
    return ' '.join(str(line[key]) for key in _LABEL_KEYS & set(line))


def _figures(line: dict[str, Any]) -> dict[str, float]:
    return {
        key: number
        for key, number in line.items()
        if isinstance(number, int | float)
        and key not in _LABEL_KEYS
        and not key.startswith(_BOUND_PREFIX)
    }


def draw(lines: list[dict[str, Any]], picture: Path) -> None:
    """Plot all benchmarks of the lines into one image file."""
    by_bench = defaultdict(list)
    for line in lines:
        by_bench[line['bench']].append(line)
    count = len(by_bench)
    _, axes = plt.subplots(
        count,
        1,
        figsize=(_WIDTH_INCHES, _PANEL_HEIGHT_INCHES * count),
        squeeze=False,
    )
    for axis, (bench, bench_lines) in zip(
        axes.ravel(), by_bench.items(), strict=True
    ):
        _draw_bench(axis, bench, bench_lines)
    plt.tight_layout()
    plt.savefig(picture)


def _draw_bench(axis: Any, bench: str, lines: list[dict[str, Any]]) -> None:
    bars = [
        (f'{_label(line)}\n{key}', number)
        for line in lines
        for key, number in _figures(line).items()
    ]
    axis.barh([name for name, _ in bars], [number for _, number in bars])
    bounds = {
        number
        for line in lines
        for key, number in line.items()
        if key.startswith(_BOUND_PREFIX) and isinstance(number, int | float)
    }
    for bound in bounds:
        axis.axvline(bound, color='red', linewidth=1)
    axis.set_title(bench)
    axis.set_xscale('symlog')
    axis.tick_params(labelsize=5)


def main() -> int:
    """Plot the file of JSON lines named on the command line."""
    source, picture = map(Path, sys.argv[1:3])
    lines = [json.loads(line) for line in source.read_text().splitlines()]
    draw(lines, picture)
    return 0


if __name__ == '__main__':
    sys.exit(main())
