"""The cell: what is shared by all customers, and its leader's decisions."""

from daisygw.cell._advice import on_advice
from daisygw.cell._jobs import forget_old_jobs, on_config_ask, on_job_ask
from daisygw.cell._lead import (
    LOCAL_PROCESS,
    CellLeader,
    EndsCommitted,
    LogEvent,
    Probe,
    StartOrder,
    StopOrder,
    enqueue_job,
    lease_for,
    start_leading,
    take,
)
from daisygw.cell._passing import pass_time
from daisygw.cell._placing import place_waiting
from daisygw.cell._renewals import (
    LeaseRenewal,
    acknowledge_ends,
    next_renewal,
    on_renewal_failure,
    on_renewal_reply,
    start_deadline,
)
from daisygw.cell._starts import (
    OrderOutcome,
    StartResult,
    on_started,
    on_stopped,
)
from daisygw.cell._state import Cell, Run, TargetState, apply, snapshot
from daisygw.cell._targets import on_report

__all__ = (
    'LOCAL_PROCESS',
    'Cell',
    'LogEvent',
    'EndsCommitted',
    'CellLeader',
    'OrderOutcome',
    'Probe',
    'LeaseRenewal',
    'Run',
    'StartResult',
    'StartOrder',
    'StopOrder',
    'TargetState',
    'apply',
    'start_leading',
    'start_deadline',
    'enqueue_job',
    'forget_old_jobs',
    'lease_for',
    'acknowledge_ends',
    'on_advice',
    'on_config_ask',
    'on_renewal_reply',
    'on_job_ask',
    'on_report',
    'on_renewal_failure',
    'on_started',
    'on_stopped',
    'pass_time',
    'place_waiting',
    'next_renewal',
    'snapshot',
    'take',
)
