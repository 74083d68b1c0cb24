"""Links: streams between processes, the journal on disk, HTTP and logging."""

from daisygw.links import _codec as codec
from daisygw.links import _journal as journal_files
from daisygw.links._logs import (
    MAX_EVENT_LINES_PER_SECOND,
    NonBlockingStream,
    configure_logging,
    log,
    log_error,
)
from daisygw.links._stream import running

__all__ = (
    'MAX_EVENT_LINES_PER_SECOND',
    'NonBlockingStream',
    'codec',
    'journal_files',
    'log',
    'log_error',
    'running',
    'configure_logging',
)
