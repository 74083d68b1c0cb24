"""What a process of the system is built from: links, log, HTTP."""

from daisygw.links._group import (
    Group,
    Machine,
    Outlet,
    carry_out,
    describe_group,
    keep_short,
    leads,
)
from daisygw.links._journal import Journal, close, create, describe, load
from daisygw.links._serving import listen, serving_http
from daisygw.links._stream import (
    Link,
    Pace,
    keep_connected,
    post,
    running,
    serving,
)

__all__ = (
    'Group',
    'Journal',
    'Link',
    'Machine',
    'Outlet',
    'Pace',
    'carry_out',
    'close',
    'create',
    'describe',
    'describe_group',
    'keep_connected',
    'keep_short',
    'leads',
    'listen',
    'load',
    'post',
    'running',
    'serving',
    'serving_http',
)
