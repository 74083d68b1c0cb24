"""What all HTTP faces of an entry share: bodies, refusals, errors."""

import json
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from typing import Any

import falcon
import falcon.asgi
import msgspec

from daisygw.contracts import (
    ContractError,
    DaisygwError,
    ResultCode,
    SchedulerResponse,
    http_status,
)
from daisygw.entries._state import Entry
from daisygw.entries._target_client import CODE_HEADER
from daisygw.links import log_error

# Largest JSON document that is read, bytes: a base and 11 overlays take a
# tenth.
_MOST_JSON = 1_048_576


def put_refusal(
    resp: falcon.asgi.Response,
    code: int,
    reason: str,
    **more: Any,
) -> None:
    """Write a numbered answer that is not a whole result."""
    named = ResultCode(code)
    resp.status = http_status(code)
    resp.set_header(CODE_HEADER, str(named.value))
    retry_after = more.get('retry_after')
    if retry_after:
        resp.set_header('Retry-After', str(max(round(retry_after), 1)))
    resp.media = {
        'code': named.value,
        'name': named.name,
        'reason': reason,
        **more,
    }


def put_answer(
    resp: falcon.asgi.Response,
    answer: SchedulerResponse | None,
    **more: Any,
) -> None:
    """Write an answer of a leader, with its view."""
    if answer is None:
        reason = 'no leader answered in time'
        put_refusal(resp, ResultCode.OUTCOME_UNKNOWN, reason, **more)
        return
    view = msgspec.json.decode(answer.view) if answer.view else None
    if view is not None:
        more['view'] = view
    put_refusal(resp, answer.code, answer.reason, **more)
    if answer.code == ResultCode.ACCEPTED and view is not None:
        resp.status = falcon.HTTP_200


async def on_error(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    exc: DaisygwError,
    params: dict[str, Any],
) -> None:
    """Write a numbered error."""
    put_refusal(resp, exc.code, exc.reason)


async def read_json(req: falcon.asgi.Request) -> Any:
    """Read a JSON document, or raise with MALFORMED."""
    raw = await read_body(req, _MOST_JSON)
    return parse_json(raw)


def parse_json(raw: bytes | str) -> Any:
    """Parse a JSON document, or raise with MALFORMED."""
    try:
        return json.loads(raw)
    except (ValueError, RecursionError) as exc:
        raise ContractError(ResultCode.MALFORMED, f'JSON: {exc}') from exc


async def read_body(req: falcon.asgi.Request, most: int) -> bytes:
    """Read a whole body, or raise with BODY_TOO_LARGE."""
    chunks = []
    total = 0
    async for chunk in req.stream:
        total += len(chunk)
        if total > most:
            reason = f'body: more than {most} bytes'
            raise ContractError(ResultCode.BODY_TOO_LARGE, reason)
        chunks.append(chunk)
    return b''.join(chunks)


@asynccontextmanager
async def in_progress(entry: Entry) -> AsyncGenerator[None, None]:
    """Count a request in progress; a graceful stop waits for it."""
    entry.in_progress += 1
    try:
        yield
    finally:
        entry.in_progress -= 1


class Resource:
    """What serves one path for an entry."""

    def __init__(self, entry: Entry) -> None:
        """Serve for ``entry``."""
        self.entry = entry


async def on_crash(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    exc: Exception,
    params: dict[str, Any],
) -> None:
    """Log an error that was not expected, and answer 'unknown'."""
    log_error('crash', exc, path=req.path)
    put_refusal(resp, ResultCode.OUTCOME_UNKNOWN, type(exc).__name__)
