"""Logging as JSON lines, through ``absl.logging``."""

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
# Libraries that log every connection or request; our own lines have more
# detail.
_VERBOSE_LIBRARIES = ('uvicorn', 'grpclib')
# Rate limit for the lines of each event: several times the rate on a busy day.
MAX_EVENT_LINES_PER_SECOND = 400
# Characters of a text in a line.
_MAX_FIELD_CHARS = 1000
_FIELDS_ATTRIBUTE = 'daisygw_fields'


def _shorten(value: Any) -> Any:
    """Cut a text that someone else may have chosen, such as a path."""
    is_long = isinstance(value, str) and len(value) > _MAX_FIELD_CHARS
    return f'{value[:_MAX_FIELD_CHARS]}...' if is_long else value


class _JsonFormatter(std_logging.Formatter):
    """Formats one record as one JSON object on a line."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the record as a line of JSON."""
        fields = getattr(record, _FIELDS_ATTRIBUTE, {})
        line = {
            'at': round(record.created, 3),
            'level': record.levelname.lower(),
            'event': record.getMessage(),
            **{name: _shorten(value) for name, value in fields.items()},
        }
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class _LineCounter:
    """Counts the lines of each event in the current second."""

    def __init__(self) -> None:
        self.second = 0
        self.lines: Counter[str] = Counter()


class NonBlockingStream:
    """A stream that drops lines instead of blocking on a slow reader.

    ``rest`` is the end of a line that did not fit into the pipe any more.
    """

    def __init__(self, descriptor: int) -> None:
        """Make an open file descriptor non-blocking, and write to it."""
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.dropped = 0
        self.rest = b''

    def write(self, text: str) -> None:
        """Write a line, or count it as dropped."""
        if self.dropped:
            note = json.dumps({'event': 'lines dropped', 'n': self.dropped})
            text = f'{note}\n{text}'
        try:
            self._write(text.encode('utf-8', 'replace'))
        except BlockingIOError:
            self.dropped += 1
        else:
            self.dropped = 0

    def flush(self) -> None:
        """Do nothing: the stream has no buffer."""

    def close(self) -> None:
        """Leave the descriptor open: the process owns it."""

    def _write(self, line: bytes) -> None:
        """Write the rest of the line before, and as much of this one as fits.

        Raises ``BlockingIOError`` where nothing of this line was written.
        """
        while self.rest:
            self.rest = self.rest[os.write(self.descriptor, self.rest) :]
        self.rest = line[os.write(self.descriptor, line) :]


_line_counter = _LineCounter()


def configure_logging(level: str, process: str, stream: Any = None) -> None:
    """Send log lines of ``level`` and above to ``stream``.

    The default stream is standard error.  Raises ``SettingsError`` where the
    level is unknown.
    """
    if level not in _LEVELS:
        allowed = ', '.join(_LEVELS)
        reason = f'process.log_level: {level!r} is not one of {allowed}'
        raise SettingsError(ResultCode.SETTINGS_INVALID, reason)
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.use_absl_log_file = False
    handler.python_handler.stream = stream or sys.stderr
    handler.setFormatter(_JsonFormatter())
    logging.set_verbosity(_LEVELS[level])
    for library in _VERBOSE_LIBRARIES:
        std_logging.getLogger(library).setLevel(std_logging.WARNING)
    log('start', process=process)


def _is_rate_limited(event: str) -> bool:
    """Count a line; return whether its event exceeds the rate limit."""
    second = int(time.monotonic())
    if second != _line_counter.second:
        excess = {
            name: count - MAX_EVENT_LINES_PER_SECOND
            for name, count in _line_counter.lines.items()
            if count > MAX_EVENT_LINES_PER_SECOND
        }
        _line_counter.second = second
        _line_counter.lines.clear()
        if excess:
            log('lines left out', events=excess)
    _line_counter.lines[event] += 1
    return _line_counter.lines[event] > MAX_EVENT_LINES_PER_SECOND


def log(event: str, **fields: Any) -> None:
    """Write a log line about ``event``, subject to the rate limit."""
    if _is_rate_limited(event):
        return
    logging.get_absl_logger().info(event, extra={_FIELDS_ATTRIBUTE: fields})


def log_error(event: str, exc: BaseException, **fields: Any) -> None:
    """Write a log line with the traceback of an unexpected error."""
    extra = {_FIELDS_ATTRIBUTE: fields}
    logging.get_absl_logger().error(event, exc_info=exc, extra=extra)
