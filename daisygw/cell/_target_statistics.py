"""What a leader has learned about its targets from their runs.

It is not replicated; a newly elected leader learns it again.
"""

from dataclasses import dataclass

from daisygw.contracts import StepKey


@dataclass(frozen=True, slots=True)
class RelativeSpeed:
    """How fast a target, or a group of targets, runs compared with others.

    ``slowness`` is its run time relative to the mean run (2: twice as long),
    a geometric mean of measurements.  They count as ``weight`` ended tasks at
    ``at`` (s); older ones count less.
    """

    slowness: float = 1.0
    weight: float = 0.0
    at: float = 0.0


@dataclass(frozen=True, slots=True)
class Probation:
    """A target that returned at ``since`` (s), ``returns`` times lately.

    ``ends`` is the number of runs that have ended well on it since.
    """

    since: float
    returns: int
    ends: int = 0


class TargetStatistics:
    """What runs have told about targets, in this term.

    ``slowness`` holds the estimates by target key, as they were read last at
    ``slowness_read_at`` (s).  ``group_speed`` holds the mean speed by kind and
    rack of targets (the rack empty: of the whole kind), ``mean_slowness`` the
    moving average by which measurements are divided.  ``run_times`` holds, by
    step and task index, the time (s) that a task takes on a target of mean
    speed, ``probations`` the targets that have returned, by name.
    """

    def __init__(self) -> None:
        """Begin without measurements."""
        self.slowness: dict[str, float] = {}
        self.slowness_read_at = float('-inf')
        self.group_speed: dict[tuple[str, str], RelativeSpeed] = {}
        self.mean_slowness = 1.0
        self.run_times: dict[StepKey, dict[int, float]] = {}
        self.probations: dict[str, Probation] = {}
