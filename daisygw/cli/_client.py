"""The HTTP client of the commands that talk to an entry."""

import asyncio
import json
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp

from daisygw.cli._execution import Given, exit_status
from daisygw.context import Context, write_error
from daisygw.contracts import LinkError, ResultCode
from daisygw.status import ExitStatus

# Longest wait for a connection to an entry, s: a person waits for it.
_CONNECT = 3.0
CODE_HEADER = 'Daisygw-Code'


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call to an entry."""

    method: str
    path: str
    document: Any = None
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()


def entry_address(given: Given, ctx: Context) -> str:
    """Return the address of the entry to talk to."""
    address = given['entry'] or ctx.env.get('DAISYGW_ENTRY', '')
    if not address:
        reason = 'name an entry with --entry or $DAISYGW_ENTRY'
        raise LinkError(ResultCode.ENTRY_UNREACHABLE, reason)
    return address


@asynccontextmanager
async def calling(
    address: str,
    call: Call,
) -> AsyncGenerator[aiohttp.ClientResponse, None]:
    """Make a call; the body reads its reply."""
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT)
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


async def _fetch(address: str, call: Call) -> Any:
    async with calling(address, call) as reply:
        return await reply.json(content_type=None)


def fetch(given: Given, ctx: Context, call: Call) -> Any:
    """Make a call and return the JSON document of its reply."""
    return asyncio.run(_fetch(entry_address(given, ctx), call))


def show(ctx: Context, document: Any) -> None:
    """Print a document as indented JSON."""
    ctx.stdout.write(json.dumps(document, indent=2))
    ctx.stdout.write('\n')


def finish(ctx: Context, document: Any) -> ExitStatus:
    """Print a numbered reply, and return the status that it stands for."""
    status = exit_status(document['code'])
    if status is ExitStatus.SUCCESS:
        show(ctx, document)
    else:
        write_error(ctx, json.dumps(document))
    return status
