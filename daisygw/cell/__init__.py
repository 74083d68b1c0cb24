"""The cell: what is shared by all customers, and its leader's decisions."""

from daisygw.cell._advice import on_advice
from daisygw.cell._jobs import forget_old, on_config_ask, on_job_ask
from daisygw.cell._lead import (
    HERE,
    Decided,
    EndsCommitted,
    Lead,
    Probe,
    StartOrder,
    StopOrder,
    begin,
    enqueue_job,
    lease_for,
    take,
)
from daisygw.cell._passing import pass_time
from daisygw.cell._placing import place_waiting
from daisygw.cell._renewals import (
    Renewal,
    deadline_of,
    note_committed,
    on_holding,
    on_silence,
    renewal_of,
)
from daisygw.cell._starts import OrderOutcome, StartDone, on_started, on_stopped
from daisygw.cell._state import Cell, Run, TargetState, apply, snapshot
from daisygw.cell._targets import on_report

__all__ = (
    'HERE',
    'Cell',
    'Decided',
    'EndsCommitted',
    'Lead',
    'OrderOutcome',
    'Probe',
    'Renewal',
    'Run',
    'StartDone',
    'StartOrder',
    'StopOrder',
    'TargetState',
    'apply',
    'begin',
    'deadline_of',
    'enqueue_job',
    'forget_old',
    'lease_for',
    'note_committed',
    'on_advice',
    'on_config_ask',
    'on_holding',
    'on_job_ask',
    'on_report',
    'on_silence',
    'on_started',
    'on_stopped',
    'pass_time',
    'place_waiting',
    'renewal_of',
    'snapshot',
    'take',
)
