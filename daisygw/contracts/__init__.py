"""Contracts: requests, tasks, leases, policy, configuration, result codes."""

from daisygw.contracts._check import check_contract, check_id
from daisygw.contracts._codes import (
    CodeClass,
    ResultCode,
    code_class,
    http_status,
    is_not_run,
)
from daisygw.contracts._configuration import (
    ConfigChanged,
    ConfigHistory,
    Configuration,
    Limits,
    Policy,
    Team,
    Waits,
    apply_change,
)
from daisygw.contracts._errors import (
    ContractError,
    DaisygwError,
    JournalError,
    LinkError,
    SettingsError,
)
from daisygw.contracts._home import home_of, mint
from daisygw.contracts._records import (
    JobAccepted,
    JobForgotten,
    RefusalsTallied,
    TaskEnded,
    TaskPlaced,
    TaskRequeued,
)
from daisygw.contracts._register import (
    Job,
    Register,
    accept,
    end,
    expected_run,
    forget,
    place,
    requeue,
    work_key,
)
from daisygw.contracts._request import Contract, Kind, Priority
from daisygw.contracts._size import (
    NOTHING,
    Size,
    fits,
    minus,
    plus,
    share_of,
    times,
)
from daisygw.contracts._task import (
    Fence,
    Order,
    StopOrder,
    Task,
    TaskKey,
    TaskState,
)

__all__ = (
    'NOTHING', 'CodeClass', 'ConfigChanged', 'ConfigHistory',
    'Configuration', 'Contract', 'ContractError', 'DaisygwError', 'Fence',
    'Job', 'JobAccepted', 'JobForgotten', 'JournalError', 'Kind', 'Limits',
    'LinkError', 'Order', 'Policy', 'Priority', 'RefusalsTallied',
    'Register', 'ResultCode', 'SettingsError', 'Size', 'StopOrder', 'Task',
    'TaskEnded', 'TaskKey', 'TaskPlaced', 'TaskRequeued', 'TaskState',
    'Team', 'Waits', 'accept', 'apply_change', 'check_contract', 'check_id',
    'code_class', 'end', 'expected_run', 'fits', 'forget', 'home_of',
    'http_status', 'is_not_run', 'minus', 'mint', 'place', 'plus',
    'requeue', 'share_of', 'times', 'work_key',
)
