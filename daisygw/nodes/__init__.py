"""The entry and scheduler processes of a cell that spans a region."""

from daisygw.nodes._effects import executing_effects
from daisygw.nodes._entry import EntryNode, is_ready, running_entry
from daisygw.nodes._meters import Meters, add_labelled_gauge, count, show
from daisygw.nodes._peers import Peers, call_leader, connect_to_hosts
from daisygw.nodes._scheduler import (
    SchedulerNode,
    running_scheduler,
    stop_leading,
)
from daisygw.nodes._settings import NodeSettings, TargetCalls

__all__ = (
    'EntryNode',
    'Meters',
    'NodeSettings',
    'Peers',
    'SchedulerNode',
    'TargetCalls',
    'add_labelled_gauge',
    'call_leader',
    'connect_to_hosts',
    'count',
    'executing_effects',
    'is_ready',
    'running_entry',
    'running_scheduler',
    'show',
    'stop_leading',
)
