"""A cell: its replicated state, and the scheduling decisions of its leader."""

from daisygw.cell._advice import LONG_CALL_S, on_advice
from daisygw.cell._call_limits import (
    RENEWAL_CONNECTIONS,
    OrderLimits,
    order_limits,
)
from daisygw.cell._config_check import (
    ConfigPart,
    ConfigPlace,
    Finding,
    Severity,
    check_consistency,
)
from daisygw.cell._config_difference import (
    ChangeKind,
    ConfigChange,
    check_change,
    compare_configs,
)
from daisygw.cell._confirmations import (
    longest_wait,
    state_of_job,
    steps_without_start,
    unconfirmed_runs,
)
from daisygw.cell._fences import order_fence
from daisygw.cell._jobs import on_config_request, on_job_request, purge_old_jobs
from daisygw.cell._leader import (
    LOCAL_PROCESS,
    CellLeader,
    EndsCommitted,
    LogEvent,
    Probe,
    StartOrder,
    StopOrder,
    collect_output,
    enqueue_job,
    lease_for,
    start_leading,
)
from daisygw.cell._placement import place_waiting
from daisygw.cell._renewals import (
    LeaseRenewal,
    acknowledge_ends,
    next_renewal,
    on_renewal_failure,
    on_renewal_reply,
    start_deadline,
)
from daisygw.cell._snapshot import snapshot
from daisygw.cell._starts import (
    OrderOutcome,
    StartResult,
    on_started,
    on_stopped,
)
from daisygw.cell._state import (
    Cell,
    Run,
    StepState,
    TargetState,
    apply,
)
from daisygw.cell._targets import on_target_report
from daisygw.cell._timeouts import advance_clock

__all__ = (
    'LOCAL_PROCESS',
    'state_of_job',
    'steps_without_start',
    'unconfirmed_runs',
    'RENEWAL_CONNECTIONS',
    'OrderLimits',
    'order_limits',
    'LONG_CALL_S',
    'Cell',
    'CellLeader',
    'ChangeKind',
    'ConfigChange',
    'ConfigPart',
    'ConfigPlace',
    'EndsCommitted',
    'Finding',
    'LeaseRenewal',
    'LogEvent',
    'OrderOutcome',
    'Probe',
    'Run',
    'Severity',
    'StartOrder',
    'StartResult',
    'StepState',
    'StopOrder',
    'TargetState',
    'acknowledge_ends',
    'apply',
    'check_change',
    'check_consistency',
    'compare_configs',
    'enqueue_job',
    'purge_old_jobs',
    'lease_for',
    'longest_wait',
    'next_renewal',
    'on_advice',
    'order_fence',
    'on_config_request',
    'on_job_request',
    'on_renewal_failure',
    'on_renewal_reply',
    'on_target_report',
    'on_started',
    'on_stopped',
    'advance_clock',
    'place_waiting',
    'snapshot',
    'start_deadline',
    'start_leading',
    'collect_output',
)
