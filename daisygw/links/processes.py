"""Building blocks of a process: links, replica groups, journal, HTTP."""

from daisygw.links._describe import describe_link, to_json, usage
from daisygw.links._group import (
    Group,
    StateMachine,
    Transport,
    carry_out,
    compact_log,
    describe_group,
    leads,
    resign,
)
from daisygw.links._http_budget import (
    DEFAULT_MEMORY_MIB,
    BudgetLimits,
    HttpBudget,
    budget_limits,
    descriptor_limit,
)
from daisygw.links._http_connection import WAITING_SINCE
from daisygw.links._journal import (
    Journal,
    close,
    create,
    describe_journal,
    load,
)
from daisygw.links._serving import (
    HttpService,
    default_request_limits,
    listen,
    serving_http,
    tighter_limits,
)
from daisygw.links._stream import (
    Link,
    LinkTiming,
    accepting_links,
    keep_connected,
    post,
    running,
    set_idle,
)

__all__ = (
    'BudgetLimits',
    'HttpBudget',
    'HttpService',
    'budget_limits',
    'descriptor_limit',
    'DEFAULT_MEMORY_MIB',
    'WAITING_SINCE',
    'default_request_limits',
    'tighter_limits',
    'Group',
    'Journal',
    'Link',
    'StateMachine',
    'Transport',
    'LinkTiming',
    'carry_out',
    'close',
    'create',
    'describe_journal',
    'describe_group',
    'describe_link',
    'keep_connected',
    'compact_log',
    'leads',
    'listen',
    'load',
    'post',
    'resign',
    'running',
    'accepting_links',
    'serving_http',
    'set_idle',
    'to_json',
    'usage',
)
