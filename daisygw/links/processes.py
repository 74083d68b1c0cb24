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
from daisygw.links._journal import (
    Journal,
    close,
    create,
    describe_journal,
    load,
)
from daisygw.links._serving import listen, serving_http
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
