"""Helpers for all HTTP endpoints: request bodies, results and errors."""

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

# Largest JSON body; a configuration with a base and 11 overlays takes a tenth.
_MAX_JSON_BYTES = 1_048_576


def write_result(
    resp: falcon.asgi.Response,
    code: int,
    reason: str,
    **more: Any,
) -> None:
    """Write a JSON response with a result code and a reason."""
    result_code = ResultCode(code)
    resp.status = http_status(code)
    resp.set_header(CODE_HEADER, str(result_code.value))
    retry_after = more.get('retry_after')
    if retry_after:
        resp.set_header('Retry-After', str(max(round(retry_after), 1)))
    resp.media = {
        'code': result_code.value,
        'name': result_code.name,
        'reason': reason,
        **more,
    }


def write_leader_response(
    resp: falcon.asgi.Response,
    answer: SchedulerResponse | None,
    **more: Any,
) -> None:
    """Write a leader's response, with its view if it has one."""
    if answer is None:
        reason = 'no leader answered in time'
        write_result(resp, ResultCode.OUTCOME_UNKNOWN, reason, **more)
        return
    view = msgspec.json.decode(answer.view) if answer.view else None
    if view is not None:
        more['view'] = view
    write_result(resp, answer.code, answer.reason, **more)
    if answer.code == ResultCode.ACCEPTED and view is not None:
        resp.status = falcon.HTTP_200


async def on_error(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    exc: DaisygwError,
    params: dict[str, Any],
) -> None:
    """Write the result code and reason of an error."""
    write_result(resp, exc.code, exc.reason)


async def read_json(req: falcon.asgi.Request) -> Any:
    """Read a JSON body; raises ``ContractError`` (MALFORMED)."""
    raw = await read_body(req, _MAX_JSON_BYTES)
    return parse_json(raw)


def parse_json(raw: bytes | str) -> Any:
    """Parse a JSON document; raises ``ContractError`` (MALFORMED)."""
    try:
        return json.loads(raw)
    except (ValueError, RecursionError) as exc:
        raise ContractError(ResultCode.MALFORMED, f'JSON: {exc}') from exc


async def read_body(req: falcon.asgi.Request, max_bytes: int) -> bytes:
    """Read a whole body; raises ``ContractError`` (BODY_TOO_LARGE)."""
    chunks = []
    total = 0
    async for chunk in req.stream:
        total += len(chunk)
        if total > max_bytes:
            reason = f'body: more than {max_bytes} bytes'
            raise ContractError(ResultCode.BODY_TOO_LARGE, reason)
        chunks.append(chunk)
    return b''.join(chunks)


@asynccontextmanager
async def in_progress(entry: Entry) -> AsyncGenerator[None, None]:
    """Count a request as in progress, so that a graceful stop awaits it."""
    entry.in_progress += 1
    try:
        yield
    finally:
        entry.in_progress -= 1


class Resource:
    """Base class of the resources that serve one path each."""

    def __init__(self, entry: Entry) -> None:
        """Keep the entry whose state the resource uses."""
        self.entry = entry


async def on_unexpected_error(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    exc: Exception,
    params: dict[str, Any],
) -> None:
    """Log an unexpected error and respond with OUTCOME_UNKNOWN."""
    log_error('crash', exc, path=req.path)
    write_result(resp, ResultCode.OUTCOME_UNKNOWN, type(exc).__name__)
