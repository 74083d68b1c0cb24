"""Logs as JSON lines, through ``absl.logging``."""

import json
import logging as std_logging
import sys
from types import MappingProxyType
from typing import Any

from absl import flags, logging

from daisygw.contracts import ResultCode, SettingsError

_LEVELS = MappingProxyType({
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
})
_FIELDS = 'daisygw_fields'


class _JsonFormatter(std_logging.Formatter):
    """Formats one record as one JSON object on a line."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line."""
        line = {
            'at': round(record.created, 3),
            'level': record.levelname.lower(),
            'event': record.getMessage(),
            **getattr(record, _FIELDS, {}),
        }
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def set_up_logs(level: str, process: str) -> None:
    """Send log lines of ``level`` and above to standard error."""
    if level not in _LEVELS:
        known = ', '.join(_LEVELS)
        reason = f'process.log_level: {level!r} is not one of {known}'
        raise SettingsError(ResultCode.SETTINGS_INVALID, reason)
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.use_absl_log_file = False
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(_JsonFormatter())
    logging.set_verbosity(_LEVELS[level])
    log('start', process=process)


def log(event: str, **fields: Any) -> None:
    """Write one line about ``event`` with its fields."""
    logging.get_absl_logger().info(event, extra={_FIELDS: fields})


def log_error(event: str, exc: BaseException, **fields: Any) -> None:
    """Write one line about an error that was not expected."""
    extra = {_FIELDS: fields}
    logging.get_absl_logger().error(event, exc_info=exc, extra=extra)
