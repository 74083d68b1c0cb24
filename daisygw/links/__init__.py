"""Links: the two processes, and how they talk to each other and outside."""

from daisygw.links import _journal as journal_files
from daisygw.links._logs import log, log_error, set_up_logs

__all__ = (
    'journal_files',
    'log',
    'log_error',
    'set_up_logs',
)
