"""Counters behind the monthly report: waiting times, packing, refusals.

Only log records change them, so they survive the loss of a host.
"""

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from daisygw.contracts import ZERO_SIZE, Size

# Shortest waiting time that the histograms distinguish.
_LOWEST_MS = 1
# Longest waiting time that the histograms record: a day.
_HIGHEST_MS = 86_400_000
# Significant digits of the histograms: a report needs 1 % accuracy.
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 90, 99)


@dataclass(frozen=True, slots=True)
class WaitFigures:
    """Waiting times (ms) of one team's tasks of one kind."""

    team: str
    kind: str
    tasks: int
    p50: int
    p90: int
    p99: int
    longest: int


class Tally:
    """Counters since the start of the replicated state.

    ``waits`` is by team and kind, ``refusals`` and ``outcomes`` by team and
    result code.
    """

    def __init__(self) -> None:
        """Begin empty."""
        self.waits: dict[tuple[str, str], HdrHistogram] = {}
        self.refusals: Counter[tuple[str, int]] = Counter()
        self.outcomes: Counter[tuple[str, int]] = Counter()
        self.packing_totals = Packing()


class Packing:
    """Utilization of the targets: integrals over time, by resource.

    Sums are in unit-milliseconds: (millicores, MiB, accelerators,
    slots) times milliseconds.  ``at`` is in milliseconds since the Unix epoch.
    """

    def __init__(self) -> None:
        """Begin with no capacity and nothing held."""
        self.at = 0
        self.held = ZERO_SIZE
        self.capacity = ZERO_SIZE
        self.held_sum = ZERO_SIZE
        self.capacity_sum = ZERO_SIZE


def _add(total: Size, size: Size, span: int) -> Size:
    return Size(
        total.cpus + size.cpus * span,
        total.memory + size.memory * span,
        total.accelerators + size.accelerators * span,
        total.slots + size.slots * span,
    )


def record_packing(
    packing: Packing, at: int, held: Size, capacity: Size
) -> None:
    """Integrate up to ``at`` (ms); set the sizes that apply from then on."""
    span = max(at - packing.at, 0) if packing.at else 0
    packing.held_sum = _add(packing.held_sum, packing.held, span)
    packing.capacity_sum = _add(packing.capacity_sum, packing.capacity, span)
    packing.at = max(at, packing.at)
    packing.held = held
    packing.capacity = capacity


def new_waits() -> HdrHistogram:
    """Return an empty histogram of waiting times in milliseconds."""
    return HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_DIGITS)


def record_wait(tally: Tally, team: str, kind: str, wait: int) -> None:
    """Record a task's waiting time (ms) from acceptance to its first lease."""
    waits = tally.waits.get((team, kind))
    if waits is None:
        waits = new_waits()
        tally.waits[team, kind] = waits
    waits.record_value(min(max(wait, _LOWEST_MS), _HIGHEST_MS))


def wait_figures(tally: Tally) -> list[WaitFigures]:
    """Return the figures of waiting times by team and kind."""
    return [
        _figures(team, kind, waits)
        for (team, kind), waits in sorted(tally.waits.items())
    ]


def _figures(team: str, kind: str, waits: HdrHistogram) -> WaitFigures:
    percentiles = waits.get_percentile_to_value_dict(_PERCENTILES)
    return WaitFigures(
        team,
        kind,
        waits.get_total_count(),
        *(int(percentiles[rank]) for rank in _PERCENTILES),
        int(waits.get_max_value()),
    )
