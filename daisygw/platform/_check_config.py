"""Checks a configuration before an operator sends it; changes nothing."""

import asyncio
import os
from pathlib import Path
from types import MappingProxyType

import aiohttp

from daisygw.cell import check_change, check_consistency, compare_configs
from daisygw.context import Context, write_bytes, write_error
from daisygw.contracts import (
    CellConfig,
    ContractError,
    DaisygwError,
    LinkError,
    ResultCode,
    SettingsError,
)
from daisygw.machines import check_address
from daisygw.platform._calls import CONNECTION_ERRORS, read_reply
from daisygw.platform._check_output import (
    format_check,
    list_changes,
    list_errors,
    list_findings,
    printable,
    summarize,
)
from daisygw.platform._codec import decode_config, encode, service_positions
from daisygw.platform._config_errors import ConfigError, find_errors
from daisygw.platform._http import MAX_CONTROL_BYTES, MAX_JOB_BYTES
from daisygw.platform._wire import WireCheck
from daisygw.status import CheckStatus

# A person waits for the connection; the longest document takes half a minute
# over 2 Mbit/s.
_TIMEOUT = aiohttp.ClientTimeout(total=60, sock_connect=3, sock_read=5)
_HTTP_OK = 200


def check_config(
    path: str, against: str, output: str, ctx: Context
) -> CheckStatus:
    """Check the document in the file ``path`` and print what was found.

    ``against`` is the control address of a scheduler, or a file, with the
    version in force; or empty.  ``output`` is 'text' or 'json'.
    """
    try:
        check = _check(path, against, output)
    except DaisygwError as exc:
        write_error(ctx, printable(f'daisygw: {exc.reason}'))
        return CheckStatus.UNREADABLE
    _write(ctx, _FORMATS[output](check))
    if check.errors:
        return CheckStatus.ERRORS
    return CheckStatus.WARNINGS if check.warnings else CheckStatus.SOUND


def _write(ctx: Context, written: bytes) -> None:
    try:
        write_bytes(ctx, written)
    except BrokenPipeError:
        # The reader, as ``head``, has what it wants; the exit status counts.
        # The stream is flushed again at the end of the process.
        os.dup2(os.open(os.devnull, os.O_WRONLY), ctx.stdout.fileno())


def _to_text(check: WireCheck) -> bytes:
    return format_check(check).encode('utf-8')


def _to_json(check: WireCheck) -> bytes:
    return b'%b\n' % encode(check)


_FORMATS = MappingProxyType({'text': _to_text, 'json': _to_json})


def _check(path: str, against: str, output: str) -> WireCheck:
    """Check a document; raises ``DaisygwError`` where one is unreadable."""
    if output not in _FORMATS:
        raise _unreadable('--format', f'{output!r} is neither text nor json')
    raw = _read_file(path)
    in_force = _read_in_force(against) if against else None
    errors = _find_errors(raw)
    if errors:
        return summarize(None, in_force, list_errors(errors))
    cfg = decode_config(raw)
    positions = service_positions(raw)
    findings = check_consistency(cfg, MAX_JOB_BYTES)
    if in_force is None:
        return summarize(cfg, None, list_findings(findings, positions))
    return summarize(
        cfg,
        in_force,
        list_findings((*check_change(in_force, cfg), *findings), positions),
        list_changes(compare_configs(in_force, cfg), positions),
    )


def _find_errors(raw: bytes) -> tuple[ConfigError, ...]:
    if len(raw) <= MAX_CONTROL_BYTES:
        return find_errors(raw)
    reason = f'more than {MAX_CONTROL_BYTES} bytes'
    hint = 'split the cell, or leave out what no caller needs'
    return (ConfigError(ResultCode.BODY_TOO_LARGE, reason, hint=hint),)


def _unreadable(source: str, reason: str) -> SettingsError:
    return SettingsError(ResultCode.SETTINGS_INVALID, f'{source}: {reason}')


def _read_file(path: str) -> bytes:
    """Return the content of a file, at most a byte more than is accepted."""
    try:
        with Path(path).open('rb') as source:
            return source.read(MAX_CONTROL_BYTES + 1)
    except OSError as exc:
        raise _unreadable(path, exc.strerror or str(exc)) from exc


def _read_in_force(against: str) -> CellConfig:
    raw = (
        asyncio.run(_fetch_config(against))
        if _is_address(against)
        else _read_file(against)
    )
    if len(raw) > MAX_CONTROL_BYTES:
        raise _unreadable(against, f'more than {MAX_CONTROL_BYTES} bytes')
    try:
        return decode_config(raw)
    except ContractError as exc:
        raise _unreadable(against, f'no configuration: {exc.reason}') from exc


def _is_address(against: str) -> bool:
    try:
        check_address('--against', against)
    except ContractError:
        return False
    return True


async def _fetch_config(address: str) -> bytes:
    """Return the configuration that a scheduler knows, asked for once."""
    url = f'http://{address}/config'
    try:
        async with (
            aiohttp.ClientSession(timeout=_TIMEOUT) as session,
            session.get(url, allow_redirects=False) as resp,
        ):
            raw = await read_reply(resp, MAX_CONTROL_BYTES)
    except CONNECTION_ERRORS as exc:
        reason = f'{address}: {exc or type(exc).__name__}'
        raise LinkError(ResultCode.ENTRY_UNREACHABLE, reason) from exc
    if resp.status != _HTTP_OK:
        reason = f'{address}: answered with status {resp.status}'
        raise LinkError(ResultCode.ENTRY_UNREACHABLE, reason)
    return raw
