"""Machines: targets (workers), their capacity books, index and scoring."""

from daisygw.machines._index import (
    FreeIndex,
    candidates,
    refresh,
    set_speed,
)
from daisygw.machines._scoring import SCORINGS, Score
from daisygw.machines._target import (
    Announced,
    Announcement,
    AnnouncementTaken,
    EndedAttempt,
    RunningAttempt,
    TargetDrained,
    TargetDropped,
    TargetListed,
    TargetSetAside,
    TargetSpec,
)
from daisygw.machines._workers import (
    Worker,
    Workers,
    drain_target,
    drop_target,
    enter,
    hold,
    list_target,
    release,
    set_aside,
)

__all__ = (
    'SCORINGS',
    'Announced',
    'Announcement',
    'AnnouncementTaken',
    'EndedAttempt',
    'FreeIndex',
    'RunningAttempt',
    'Score',
    'TargetDrained',
    'TargetDropped',
    'TargetListed',
    'TargetSetAside',
    'TargetSpec',
    'Worker',
    'Workers',
    'candidates',
    'drain_target',
    'drop_target',
    'enter',
    'hold',
    'list_target',
    'refresh',
    'release',
    'set_aside',
    'set_speed',
)
