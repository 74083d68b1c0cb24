"""Links: streams between processes, the journal on disk, HTTP and logging."""

from daisygw.links import _codec as codec
from daisygw.links import _journal as journal_files
from daisygw.links._logs import (
    MOST_LINES,
    BoundedStream,
    log,
    log_error,
    set_up_logs,
)
from daisygw.links._stream import running

__all__ = (
    'MOST_LINES',
    'BoundedStream',
    'codec',
    'journal_files',
    'log',
    'log_error',
    'running',
    'set_up_logs',
)
