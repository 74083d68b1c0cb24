"""Logs as JSON lines, through ``absl.logging``."""

import json
import logging as std_logging
import os
import sys
import time
from collections import Counter
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
# Libraries that log each connection or request; ours say more.
_CHATTY = ('uvicorn', 'grpclib')
# Lines of one event in a second: several times what a busy day brings.
MAX_EVENT_LINES_PER_SECOND = 400
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


class _Gate:
    """Counts lines by event, so that a flood of one is cut off."""

    def __init__(self) -> None:
        self.second = 0
        self.lines: Counter[str] = Counter()


class NonBlockingStream:
    """A stream that drops lines rather than wait for its reader."""

    def __init__(self, descriptor: int) -> None:
        """Write to an open file descriptor without blocking."""
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line, or count it as dropped."""
        if self.dropped:
            note = json.dumps({'event': 'lines dropped', 'n': self.dropped})
            text = f'{note}\n{text}'
        try:
            os.write(self.descriptor, text.encode('utf-8', 'replace'))
        except BlockingIOError:
            self.dropped += 1
        else:
            self.dropped = 0

    def flush(self) -> None:
        """Do nothing: nothing is kept back."""

    def close(self) -> None:
        """Leave the descriptor open: it belongs to the process."""


_gate = _Gate()


def configure_logging(level: str, process: str, stream: Any = None) -> None:
    """Send log lines of ``level`` and above to a stream (standard error)."""
    if level not in _LEVELS:
        known = ', '.join(_LEVELS)
        reason = f'process.log_level: {level!r} is not one of {known}'
        raise SettingsError(ResultCode.SETTINGS_INVALID, reason)
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.use_absl_log_file = False
    handler.python_handler.stream = stream or sys.stderr
    handler.setFormatter(_JsonFormatter())
    logging.set_verbosity(_LEVELS[level])
    for library in _CHATTY:
        std_logging.getLogger(library).setLevel(std_logging.WARNING)
    log('start', process=process)


def _is_over(event: str) -> bool:
    """Tell whether an event has had its lines in this second."""
    second = int(time.monotonic())
    if second != _gate.second:
        over = {
            name: count - MAX_EVENT_LINES_PER_SECOND
            for name, count in _gate.lines.items()
            if count > MAX_EVENT_LINES_PER_SECOND
        }
        _gate.second = second
        _gate.lines.clear()
        if over:
            log('lines left out', events=over)
    _gate.lines[event] += 1
    return _gate.lines[event] > MAX_EVENT_LINES_PER_SECOND


def log(event: str, **fields: Any) -> None:
    """Write one line about ``event`` with its fields, within a bound."""
    if _is_over(event):
        return
    logging.get_absl_logger().info(event, extra={_FIELDS: fields})


def log_error(event: str, exc: BaseException, **fields: Any) -> None:
    """Write one line about an error that was not expected."""
    extra = {_FIELDS: fields}
    logging.get_absl_logger().error(event, exc_info=exc, extra=extra)
