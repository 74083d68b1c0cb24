"""Numbered result codes, shared by all responses and errors.

The hundreds digit is the class: 1xx done, 2xx bad input (not run), 3xx
refused or ended before a start (not run), 4xx failed while running, 5xx
outcome unknown, 6xx an operator's request, 7xx a failure of a process.
docs/RESULT_CODES.md lists them all.
"""

import enum
from types import MappingProxyType

# The class is the hundreds digit of a code, as with HTTP status codes.
_CODES_PER_CLASS = 100


@enum.unique
class ResultCode(enum.IntEnum):
    """An outcome by number; a published number never changes its meaning."""

    ANSWERED = 100
    ACCEPTED = 101
    STOPPED = 102
    IN_FORCE = 103
    MALFORMED = 201
    UNKNOWN_FIELD = 202
    BAD_SIZE = 203
    BAD_ID = 204
    BODY_TOO_LARGE = 205
    UNKNOWN_TEAM = 206
    UNKNOWN_KIND = 207
    ID_REUSED = 208
    BAD_VALUE = 209
    UNKNOWN_QUEUE = 210
    NOT_STORABLE = 211
    UNKNOWN_SERVICE = 212
    OTHER_REPORT = 213
    UNKNOWN_KEY = 214
    HEADER_TOO_LARGE = 215
    NEVER_FITS = 301
    QUOTA_EXCEEDED = 302
    OVERLOADED = 303
    DEADLINE_PASSED = 304
    CANCELLED = 305
    STOPPING = 306
    NO_LEADER = 307
    RETRIES_EXHAUSTED = 308
    NOT_STARTED = 309
    CALLER_GONE = 310
    NO_WORKERS = 311
    NOT_CONFIGURED = 312
    NEVER_IN_TIME = 313
    REQUEST_TIMEOUT = 314
    BUFFERS_FULL = 315
    TASK_FAILED = 401
    WORKER_LOST = 402
    CANCELLED_RUNNING = 403
    FAILED_EVERYWHERE = 404
    PREEMPTED = 405
    HOME_UNREACHABLE = 501
    OUTCOME_UNKNOWN = 502
    ANSWER_GONE = 503
    CONFIG_INVALID = 601
    VERSION_CONFLICT = 602
    UNKNOWN_TARGET = 603
    UNKNOWN_JOB = 604
    SETTINGS_INVALID = 701
    PORT_TAKEN = 702
    JOURNAL_CORRUPT = 703
    ENTRY_UNREACHABLE = 704
    DISK_FAILED = 705


@enum.unique
class CodeClass(enum.IntEnum):
    """Class of a result code, given by its hundreds digit."""

    DONE = 1
    BAD_INPUT = 2
    NOT_RUN = 3
    FAILED = 4
    UNKNOWN = 5
    OPERATOR = 6
    PROCESS = 7


_HTTP_BY_CLASS = MappingProxyType({
    CodeClass.DONE: 200,
    CodeClass.BAD_INPUT: 400,
    CodeClass.NOT_RUN: 503,
    CodeClass.FAILED: 502,
    CodeClass.UNKNOWN: 504,
    CodeClass.OPERATOR: 409,
    CodeClass.PROCESS: 500,
})

_HTTP_BY_CODE = MappingProxyType({
    ResultCode.ACCEPTED: 202,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.HEADER_TOO_LARGE: 431,
    ResultCode.REQUEST_TIMEOUT: 408,
    ResultCode.NEVER_FITS: 422,
    ResultCode.QUOTA_EXCEEDED: 429,
    ResultCode.OVERLOADED: 429,
    ResultCode.ID_REUSED: 409,
    ResultCode.UNKNOWN_QUEUE: 404,
    ResultCode.UNKNOWN_KEY: 401,
    ResultCode.NEVER_IN_TIME: 429,
    ResultCode.UNKNOWN_JOB: 404,
    ResultCode.UNKNOWN_TARGET: 404,
    ResultCode.CONFIG_INVALID: 400,
})


def code_class(code: int) -> CodeClass:
    """Return the class of ``code``; raises ``ValueError`` if unknown."""
    return CodeClass(code // _CODES_PER_CLASS)


def is_not_run(code: int) -> bool:
    """Return whether ``code`` guarantees that nothing was started."""
    return code_class(code) in {CodeClass.BAD_INPUT, CodeClass.NOT_RUN}


def is_bad_input(code: int) -> bool:
    """Return whether ``code`` is about the input, so that a retry is vain."""
    return code_class(code) is CodeClass.BAD_INPUT


def http_status(code: int) -> int:
    """Return the HTTP status for ``code``; raises ``ValueError`` if unknown."""
    by_code = _HTTP_BY_CODE.get(ResultCode(code))
    return by_code or _HTTP_BY_CLASS[code_class(code)]
