"""Commands that run a server process until it is stopped."""

import asyncio
import gc
import signal
from collections.abc import Awaitable, Callable
from importlib import import_module
from pathlib import Path
from typing import Any

from daisygw.cli._execution import ParsedArgs
from daisygw.context import Context
from daisygw.contracts import DaisygwError, ResultCode, SettingsError
from daisygw.links import configure_logging, log, log_error
from daisygw.settings import Settings, load
from daisygw.status import ExitStatus

# Default port for the metrics of a process on the users' platform.
METRICS_PORT = '9464'
# Far above the defaults of CPython, which are (700, 10, 10).
_GC_THRESHOLDS = (50_000, 20, 100)

ProcessMain = Callable[[Settings, str], Awaitable[None]]


def load_settings(parsed: ParsedArgs) -> Settings:
    """Load the settings files that the options name; raises SettingsError."""
    if not parsed['config']:
        raise SettingsError(ResultCode.SETTINGS_INVALID, '--config: missing')
    overlay = parsed['overlay']
    return load(Path(parsed['config']), Path(overlay) if overlay else None)


def _run_process(
    parsed: ParsedArgs, process: str, run: ProcessMain
) -> ExitStatus:
    settings = load_settings(parsed)
    host = parsed['host'] or ''
    if host not in settings.hosts:
        reason = f'--host: {host!r} is not one of the hosts'
        raise SettingsError(ResultCode.SETTINGS_INVALID, reason)
    configure_logging(settings.process.log_level, f'{process}/{host}')
    tune_garbage_collector()
    try:
        asyncio.run(run(settings, host))
    except DaisygwError as exc:
        log('failed', code=exc.code, reason=exc.reason)
        raise
    except Exception as exc:
        log_error('crashed', exc)
        return ExitStatus.ERROR
    return ExitStatus.SUCCESS


def tune_garbage_collector() -> None:
    """Make cyclic garbage collection of the large replicated state rarer.

    The state has no reference cycles, and a full collection of it blocks the
    event loop.  What was loaded at the start stays, and is not visited.
    """
    gc.enable()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


def import_attribute(module: str, name: str) -> Any:
    """Import what only some commands need: other ones start faster."""
    return getattr(import_module(module), name)


def entry(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Run an entry."""
    run = import_attribute('daisygw.entries', 'run_entry')
    return _run_process(parsed, 'entry', run)


def scheduler(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Run a scheduler."""
    run = import_attribute('daisygw.schedulers', 'run_scheduler')
    return _run_process(parsed, 'scheduler', run)


def _run_on_platform(role: str, parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    # Ends a process that has no handler for it yet.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    run = import_attribute('daisygw.platform', 'run')
    tune_garbage_collector()
    return run(role, ctx, parsed['metrics'] or METRICS_PORT)


def platform_entry(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Run an entry of a cell on the users' platform."""
    return _run_on_platform('entry', parsed, ctx)


def platform_scheduler(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Run a scheduler of a cell on the users' platform."""
    return _run_on_platform('scheduler', parsed, ctx)
