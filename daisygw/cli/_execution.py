"""Execution: from a definition to the function that does the work."""

from collections.abc import Mapping
from importlib import import_module
from types import MappingProxyType
from typing import Any

from daisygw.cli._definitions import Definition
from daisygw.context import Context, write_error
from daisygw.contracts import CodeClass, DaisygwError, ResultCode, code_class
from daisygw.status import ExitStatus

Given = Mapping[str, Any]

_BY_CLASS = MappingProxyType({
    CodeClass.DONE: ExitStatus.SUCCESS,
    CodeClass.BAD_INPUT: ExitStatus.REFUSED,
    CodeClass.NOT_RUN: ExitStatus.REFUSED,
    CodeClass.FAILED: ExitStatus.FAILED,
    CodeClass.UNKNOWN: ExitStatus.UNKNOWN,
    CodeClass.OPERATOR: ExitStatus.REFUSED,
    CodeClass.PROCESS: ExitStatus.ERROR,
})
_BY_CODE = MappingProxyType({
    ResultCode.SETTINGS_INVALID: ExitStatus.SETTINGS,
    ResultCode.ENTRY_UNREACHABLE: ExitStatus.UNREACHABLE,
})


def exit_status(code: int) -> ExitStatus:
    """Return the exit status that stands for a result code."""
    by_code = _BY_CODE.get(ResultCode(code))
    return by_code or _BY_CLASS[code_class(code)]


def execute(
    definition: Definition,
    given: Given,
    ctx: Context,
) -> ExitStatus:
    """Do what a command asks; a numbered error is printed, not raised."""
    module, _, name = definition.run.partition(':')
    run = getattr(import_module(module), name)
    try:
        return run(given, ctx)
    except DaisygwError as exc:
        write_error(ctx, f'daisygw: {exc}')
        return exit_status(exc.code)
