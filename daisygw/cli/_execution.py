"""Runs the function that a command definition names."""

from collections.abc import Mapping
from importlib import import_module
from types import MappingProxyType
from typing import Any

from daisygw.cli._definitions import CommandDefinition
from daisygw.context import Context, write_error
from daisygw.contracts import CodeClass, DaisygwError, ResultCode, code_class
from daisygw.status import CheckStatus, ExitStatus

ParsedArgs = Mapping[str, Any]

_STATUS_BY_CLASS = MappingProxyType({
    CodeClass.DONE: ExitStatus.SUCCESS,
    CodeClass.BAD_INPUT: ExitStatus.REFUSED,
    CodeClass.NOT_RUN: ExitStatus.REFUSED,
    CodeClass.FAILED: ExitStatus.FAILED,
    CodeClass.UNKNOWN: ExitStatus.UNKNOWN,
    CodeClass.OPERATOR: ExitStatus.REFUSED,
    CodeClass.PROCESS: ExitStatus.ERROR,
})
_STATUS_BY_CODE = MappingProxyType({
    ResultCode.SETTINGS_INVALID: ExitStatus.SETTINGS,
    ResultCode.ENTRY_UNREACHABLE: ExitStatus.UNREACHABLE,
})


def exit_status(code: int) -> ExitStatus:
    """Return the exit status for a result code."""
    by_code = _STATUS_BY_CODE.get(ResultCode(code))
    return by_code or _STATUS_BY_CLASS[code_class(code)]


def execute(
    definition: CommandDefinition,
    parsed: ParsedArgs,
    ctx: Context,
) -> ExitStatus | CheckStatus:
    """Run a command; print a ``DaisygwError`` instead of raising it."""
    module, _, name = definition.run.partition(':')
    run = getattr(import_module(module), name)
    try:
        return run(parsed, ctx)
    except DaisygwError as exc:
        write_error(ctx, f'daisygw: {exc}')
        return exit_status(exc.code)
