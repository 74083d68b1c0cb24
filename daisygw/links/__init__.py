"""Links: the two processes, and how they talk to each other and outside."""

from daisygw.links import _books_file as books_file
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
    'books_file',
    'codec',
    'journal_files',
    'log',
    'log_error',
    'running',
    'set_up_logs',
)
