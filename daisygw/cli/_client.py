"""HTTP client for the commands that call an entry."""

import asyncio
import json
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp

from daisygw.cli._execution import ParsedArgs, exit_status
from daisygw.context import Context, write_error
from daisygw.contracts import LinkError, ResultCode
from daisygw.status import ExitStatus

# Short, because a person waits for the connection.
_CONNECT_TIMEOUT_S = 3.0
CODE_HEADER = 'Daisygw-Code'


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call to an entry."""

    method: str
    path: str
    document: Any = None
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()


def entry_address(parsed: ParsedArgs, ctx: Context) -> str:
    """Return the address of the entry to call.

    Raises ``LinkError`` where neither the option nor the environment has one.
    """
    address = parsed['entry'] or ctx.env.get('DAISYGW_ENTRY', '')
    if not address:
        reason = 'name an entry with --entry or $DAISYGW_ENTRY'
        raise LinkError(ResultCode.ENTRY_UNREACHABLE, reason)
    return address


@asynccontextmanager
async def open_request(
    address: str,
    call: Call,
) -> AsyncGenerator[aiohttp.ClientResponse, None]:
    """Send a request to an entry, and yield the open response.

    Raises ``LinkError`` where the entry cannot be reached.
    """
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S)
    url = f'http://{address}{call.path}'
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                call.method,
                url,
                json=call.document,
                data=call.body,
                headers=dict(call.headers),
            ) as reply,
        ):
            yield reply
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        reason = f'{address}: {exc}'
        raise LinkError(ResultCode.ENTRY_UNREACHABLE, reason) from exc


async def _fetch_json(address: str, call: Call) -> Any:
    async with open_request(address, call) as reply:
        return await reply.json(content_type=None)


def fetch_json(parsed: ParsedArgs, ctx: Context, call: Call) -> Any:
    """Send a request and return the JSON document of the response.

    Raises ``LinkError`` where the entry cannot be reached.
    """
    return asyncio.run(_fetch_json(entry_address(parsed, ctx), call))


def show(ctx: Context, document: Any) -> None:
    """Print a document as indented JSON."""
    ctx.stdout.write(json.dumps(document, indent=2))
    ctx.stdout.write('\n')


def finish(ctx: Context, document: Any) -> ExitStatus:
    """Print a response with a result code, and return its exit status."""
    status = exit_status(document['code'])
    if status is ExitStatus.SUCCESS:
        show(ctx, document)
    else:
        write_error(ctx, json.dumps(document))
    return status
