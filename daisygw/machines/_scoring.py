"""Scoring functions for the workers that can hold a task; lowest is best."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TypeAlias

from daisygw.contracts import Size, dominant_share
from daisygw.machines._workers import Worker

Score: TypeAlias = Callable[[Worker, Size], float]


def by_finish(slowness: Mapping[str, int]) -> Score:
    """Return a score that prefers fast workers, then the tightest fit."""

    def score(worker: Worker, need: Size) -> float:
        slow = slowness.get(worker.spec.name, 0)
        return slow + dominant_share(worker.free, worker.spec.capacity)

    return score


def by_first(slowness: Mapping[str, int]) -> Score:
    """Return a constant score: the first fit, as a baseline to compare."""

    def score(worker: Worker, need: Size) -> float:
        return 0

    return score


SCORINGS: Mapping[str, Callable[[Mapping[str, int]], Score]] = (
    MappingProxyType({
        'finish': by_finish,
        'first': by_first,
    })
)
