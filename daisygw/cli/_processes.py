"""The two commands that run until they are stopped."""

import asyncio
import gc
from collections.abc import Awaitable, Callable
from importlib import import_module
from pathlib import Path
from typing import Any

from daisygw.cli._execution import Given
from daisygw.context import Context
from daisygw.contracts import DaisygwError, ResultCode, SettingsError
from daisygw.links import configure_logging, log, log_error
from daisygw.settings import Settings, load
from daisygw.status import ExitStatus

# Where a process shows its metrics unless it is told another port.
METRICS_PORT = '9464'
_GC_THRESHOLDS = (50_000, 20, 100)

Run = Callable[[Settings, str], Awaitable[None]]


def load_settings(given: Given) -> Settings:
    """Load the settings that the options name."""
    if not given['config']:
        raise SettingsError(ResultCode.SETTINGS_INVALID, '--config: missing')
    overlay = given['overlay']
    return load(Path(given['config']), Path(overlay) if overlay else None)


def _run(given: Given, process: str, run: Run) -> ExitStatus:
    settings = load_settings(given)
    host = given['host'] or ''
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
    """Let the cyclic collector look at the large replicated state less often.

    It holds no cycles, and a full collection of it stops the loop.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


def _load(module: str, name: str) -> Any:
    return getattr(import_module(module), name)


def entry(given: Given, ctx: Context) -> ExitStatus:
    """Run an entry."""
    run = _load('daisygw.entries', 'run_entry')
    return _run(given, 'entry', run)


def scheduler(given: Given, ctx: Context) -> ExitStatus:
    """Run a scheduler."""
    run = _load('daisygw.schedulers', 'run_scheduler')
    return _run(given, 'scheduler', run)


def _run_on_platform(role: str, given: Given, ctx: Context) -> ExitStatus:
    tune_garbage_collector()
    run = _load('daisygw.platform', 'run')
    return run(role, ctx, given['metrics'] or METRICS_PORT)


def platform_entry(given: Given, ctx: Context) -> ExitStatus:
    """Run an entry of a cell on the users' platform."""
    return _run_on_platform('entry', given, ctx)


def platform_scheduler(given: Given, ctx: Context) -> ExitStatus:
    """Run a scheduler of a cell on the users' platform."""
    return _run_on_platform('scheduler', given, ctx)
