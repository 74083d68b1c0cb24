"""Refusals of requests by an HTTP server, before they reach the application."""

import json

import httptools

from daisygw.contracts import RequestLimits, ResultCode, http_status

_RETRY_AFTER_S = 1

# Causes of refusals, as in metrics and logs.
CAUSE_MALFORMED = 'malformed'
CAUSE_HEADER = 'header too large'
CAUSE_BODY = 'body too large'
CAUSE_TIMEOUT = 'timeout'
CAUSE_MEMORY = 'memory'
CAUSE_CONNECTIONS = 'connections'
CAUSE_IDLE = 'idle'


class Refused(Exception):
    """Ends the parsing of a request that is refused."""

    def __init__(self, code: ResultCode, cause: str, reason: str) -> None:
        """Create a refusal with its result code, cause and reason."""
        super().__init__(reason)
        self.code = code
        self.cause = cause
        self.reason = reason


def write_refusal(refused: Refused) -> bytes:
    """Return the response to a refused request; it announces the close."""
    status = http_status(refused.code)
    media = {
        'code': refused.code.value,
        'name': refused.code.name,
        'reason': refused.reason,
    }
    body = json.dumps(media).encode()
    lines = [
        f'HTTP/1.1 {status} {refused.code.name}',
        'content-type: application/json',
        f'content-length: {len(body)}',
        'connection: close',
    ]
    if refused.code == ResultCode.BUFFERS_FULL:
        lines.append(f'retry-after: {_RETRY_AFTER_S}')
    return '\r\n'.join((*lines, '', '')).encode() + body


def refusal_of(exc: httptools.HttpParserError) -> Refused:
    """Return the refusal that an event of the parser raised, or a new one."""
    if isinstance(exc.__context__, Refused):
        return exc.__context__
    reason = 'not a valid HTTP request'
    return Refused(ResultCode.MALFORMED, CAUSE_MALFORMED, reason)


def time_refusal() -> Refused:
    """Return the refusal of a request that is too slow."""
    reason = 'the request was not complete in time'
    return Refused(ResultCode.REQUEST_TIMEOUT, CAUSE_TIMEOUT, reason)


def body_refusal(limits: RequestLimits) -> Refused:
    """Return the refusal of a body that is too long."""
    reason = f'body: more than {limits.body} bytes'
    return Refused(ResultCode.BODY_TOO_LARGE, CAUSE_BODY, reason)


def memory_refusal() -> Refused:
    """Return the refusal of a request for which no memory is left."""
    reason = 'no memory for further requests'
    return Refused(ResultCode.BUFFERS_FULL, CAUSE_MEMORY, reason)


def header_refusal(limits: RequestLimits) -> Refused:
    """Return the refusal of a header section or trailers without end."""
    reason = f'header section: more than {limits.header} bytes'
    return Refused(ResultCode.HEADER_TOO_LARGE, CAUSE_HEADER, reason)
