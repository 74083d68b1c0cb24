"""Caller commands: submit, status, cancel."""

import asyncio
import json
from pathlib import Path
from typing import Any
from urllib.parse import quote

import aiohttp

from daisygw.cli._client import (
    CODE_HEADER,
    Call,
    entry_address,
    fetch_json,
    finish,
    open_request,
)
from daisygw.cli._execution import ParsedArgs, exit_status
from daisygw.context import Context, write_bytes, write_error
from daisygw.contracts import ContractError, ResultCode
from daisygw.status import ExitStatus

_TEXT_OPTIONS = ('id', 'team', 'kind', 'priority', 'work')
_SIZE_OPTIONS = ('cpus', 'memory', 'accelerators')
_DURATION_OPTIONS = ('deadline', 'run')
_NDJSON = 'application/x-ndjson'


def _parse_number(parsed: ParsedArgs, name: str, kind: type) -> Any:
    try:
        return kind(parsed[name])
    except ValueError:
        reason = f'{name}: {parsed[name]!r} is not a number'
        raise ContractError(ResultCode.BAD_SIZE, reason) from None


def _contract_document(parsed: ParsedArgs) -> dict[str, Any]:
    contract: dict[str, Any] = {
        name: parsed[name] for name in _TEXT_OPTIONS if parsed[name]
    }
    for name in _DURATION_OPTIONS:
        if parsed[name]:
            contract[name] = _parse_number(parsed, name, float)
    if parsed['count']:
        contract['count'] = _parse_number(parsed, 'count', int)
    contract['size'] = {
        name: _parse_number(parsed, name, int)
        for name in _SIZE_OPTIONS
        if parsed[name]
    }
    contract['repeatable'] = not parsed['not-repeatable']
    contract['checkpoint'] = bool(parsed['checkpoint'])
    return contract


def _read_body(parsed: ParsedArgs, ctx: Context) -> bytes:
    source = parsed['body']
    if not source:
        return b''
    if source == '-':
        return ctx.stdin.read()
    try:
        return Path(source).read_bytes()
    except OSError as exc:
        raise ContractError(ResultCode.BAD_VALUE, str(exc)) from exc


def submit(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Submit a request; print the complete response."""
    body = _read_body(parsed, ctx)
    contract = json.dumps(_contract_document(parsed))
    headers = (('Daisygw-Contract', contract),)
    call = Call('POST', '/v1/requests', body=body, headers=headers)
    return asyncio.run(_submit(entry_address(parsed, ctx), call, ctx))


async def _submit(address: str, call: Call, ctx: Context) -> ExitStatus:
    async with open_request(address, call) as reply:
        if reply.content_type == _NDJSON:
            return await _print_lines(reply, ctx)
        code = int(reply.headers.get(CODE_HEADER, ResultCode.OUTCOME_UNKNOWN))
        if code != ResultCode.ANSWERED:
            return finish(ctx, await reply.json(content_type=None))
        async for chunk in reply.content.iter_any():
            write_bytes(ctx, chunk)
        write_bytes(ctx, b'\n')
        return ExitStatus.SUCCESS


async def _print_lines(
    reply: aiohttp.ClientResponse,
    ctx: Context,
) -> ExitStatus:
    worst = ResultCode.ANSWERED.value
    async for line in reply.content:
        worst = max(worst, json.loads(line)['code'])
        write_bytes(ctx, line)
    if worst != ResultCode.ANSWERED:
        write_error(ctx, f'daisygw: worst code {worst}')
    return exit_status(worst)


def status(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Print the state of a request."""
    name = quote(parsed['id'], safe='')
    call = Call('GET', f'/v1/requests/{name}')
    return finish(ctx, fetch_json(parsed, ctx, call))


def cancel(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Cancel requests."""
    document = {'ids': parsed['ids']}
    call = Call('POST', '/v1/cancellations', document)
    return finish(ctx, fetch_json(parsed, ctx, call))
