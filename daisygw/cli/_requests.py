"""Commands of callers: submit, status, cancel."""

import asyncio
import json
from pathlib import Path
from typing import Any
from urllib.parse import quote

import aiohttp

from daisygw.cli._client import (
    CODE_HEADER,
    Call,
    calling,
    entry_address,
    fetch,
    finish,
)
from daisygw.cli._execution import Given, exit_status
from daisygw.context import Context, write_bytes, write_error
from daisygw.contracts import ContractError, ResultCode
from daisygw.status import ExitStatus

_TEXTS = ('id', 'team', 'kind', 'priority', 'work')
_SIZES = ('cpus', 'memory', 'accelerators')
_SECONDS = ('deadline', 'run')
_NDJSON = 'application/x-ndjson'


def _number(given: Given, name: str, kind: type) -> Any:
    try:
        return kind(given[name])
    except ValueError:
        reason = f'{name}: {given[name]!r} is not a number'
        raise ContractError(ResultCode.BAD_SIZE, reason) from None


def _contract(given: Given) -> dict[str, Any]:
    contract: dict[str, Any] = {
        name: given[name] for name in _TEXTS if given[name]
    }
    for name in _SECONDS:
        if given[name]:
            contract[name] = _number(given, name, float)
    if given['count']:
        contract['count'] = _number(given, 'count', int)
    contract['size'] = {
        name: _number(given, name, int) for name in _SIZES if given[name]
    }
    contract['repeatable'] = not given['not-repeatable']
    contract['checkpoint'] = bool(given['checkpoint'])
    return contract


def _read_body(given: Given, ctx: Context) -> bytes:
    source = given['body']
    if not source:
        return b''
    if source == '-':
        return ctx.stdin.read()
    try:
        return Path(source).read_bytes()
    except OSError as exc:
        raise ContractError(ResultCode.BAD_VALUE, str(exc)) from exc


def submit(given: Given, ctx: Context) -> ExitStatus:
    """Submit a request; print the whole answer."""
    body = _read_body(given, ctx)
    contract = json.dumps(_contract(given))
    headers = (('Daisygw-Contract', contract),)
    call = Call('POST', '/v1/requests', body=body, headers=headers)
    return asyncio.run(_submit(entry_address(given, ctx), call, ctx))


async def _submit(address: str, call: Call, ctx: Context) -> ExitStatus:
    async with calling(address, call) as reply:
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


def status(given: Given, ctx: Context) -> ExitStatus:
    """Show a request."""
    name = quote(given['id'], safe='')
    call = Call('GET', f'/v1/requests/{name}')
    return finish(ctx, fetch(given, ctx, call))


def cancel(given: Given, ctx: Context) -> ExitStatus:
    """Cancel requests."""
    document = {'ids': given['ids']}
    call = Call('POST', '/v1/cancellations', document)
    return finish(ctx, fetch(given, ctx, call))
