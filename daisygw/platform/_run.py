"""Runs an entry or a scheduler process on the platform."""

import asyncio
import os
import signal
import sys
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

from daisygw.context import Context
from daisygw.contracts import DaisygwError, ResultCode, SettingsError
from daisygw.links import NonBlockingStream, configure_logging, log, log_error
from daisygw.links.processes import listen, serving_http
from daisygw.nodes import (
    EntryNode,
    Peers,
    SchedulerNode,
    connect_to_hosts,
    executing_effects,
    running_entry,
    running_scheduler,
    stop_leading,
)
from daisygw.platform._calls import open_calls
from daisygw.platform._services import entry_services, scheduler_services
from daisygw.platform._settings import (
    BOOT_VARIABLE,
    PlatformSettings,
    load_settings,
    read_port,
)
from daisygw.status import ExitStatus

# Part of the grace period in which a stopping entry still serves requests: the
# load balancer needs three readiness checks, a second apart, to notice.
_READINESS_GRACE_FRACTION = 0.55
# Part of the grace period after which a stopping entry answers the requests
# that still wait for the leader: well before it is killed.
_ANSWER_GRACE_FRACTION = 0.75
# Part of the grace period in which the servers of a process stop.
_SHUTDOWN_GRACE_FRACTION = 0.3
_RunProcess = Callable[[PlatformSettings, Path], Awaitable[None]]


def _settings_path(ctx: Context) -> Path:
    path = ctx.env.get(BOOT_VARIABLE)
    if not path:
        reason = f'{BOOT_VARIABLE}: must name a settings file'
        raise SettingsError(ResultCode.SETTINGS_INVALID, reason)
    return Path(path)


@asynccontextmanager
async def _handling_signals(
    node: EntryNode | SchedulerNode, path: Path
) -> AsyncGenerator[None, None]:
    """Stop the node on SIGTERM and SIGINT; reload the settings on SIGHUP.

    SIGHUP stays blocked before and after, where it would end the process.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.stopped.set)
    loop.add_signal_handler(signal.SIGINT, node.stopped.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, node.peers, path)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def _is_stopping(node: EntryNode | SchedulerNode) -> bool:
    return node.stopping


async def run_entry(cfg: PlatformSettings, path: Path) -> None:
    """Run an entry until SIGTERM or SIGINT, then shut down gracefully."""
    grace = cfg.node.grace
    async with (
        open_calls(cfg.advisor, cfg.stop_time) as calls,
        running_entry(cfg.node, calls) as node,
        _handling_signals(node, path),
        serving_http(
            entry_services(node, cfg),
            grace * _SHUTDOWN_GRACE_FRACTION,
            partial(_is_stopping, node),
        ),
    ):
        log('entry up', host=cfg.node.host, seeds=cfg.node.seeds)
        await _serve_until_stopped(node, grace)
    log('entry stopped', host=cfg.node.host, open=len(node.peers.open))


async def _serve_until_stopped(node: EntryNode, grace: float) -> None:
    """Wait for a stop signal, then keep serving until callers have left."""
    await node.stopped.wait()
    node.stopping = True
    stopped_at = asyncio.get_running_loop().time()
    node.peers.answer_by = stopped_at + grace * _ANSWER_GRACE_FRACTION
    log('entry stopping', open=len(node.peers.open))
    await asyncio.sleep(grace * _READINESS_GRACE_FRACTION)


async def run_scheduler(cfg: PlatformSettings, path: Path) -> None:
    """Run a scheduler until SIGTERM or SIGINT, then transfer leadership."""
    sock = listen(cfg.control)
    async with (
        open_calls(cfg.advisor, cfg.stop_time) as calls,
        running_scheduler(cfg.node, calls) as node,
        executing_effects(node),
        _handling_signals(node, path),
        serving_http(
            scheduler_services(node, cfg, sock),
            cfg.node.grace * _SHUTDOWN_GRACE_FRACTION,
            partial(_is_stopping, node),
        ),
    ):
        log('scheduler up', host=cfg.node.host, seeds=cfg.node.seeds)
        await node.stopped.wait()
        log('scheduler stopping', term=node.group.replica.term)
        await stop_leading(node)
    log('scheduler stopped', host=cfg.node.host)


def _reload(peers: Peers, path: Path) -> None:
    """Reload the seeds from the settings file; keep them if it is invalid."""
    try:
        cfg = load_settings(path, 0)
    except SettingsError as exc:
        log('settings refused', code=exc.code, reason=exc.reason)
        return
    connect_to_hosts(peers, cfg.node.seeds)
    log('settings reloaded', seeds=cfg.node.seeds)


def _run_with_settings(running: _RunProcess, path: Path, metrics: str) -> None:
    port = read_port('--metrics', metrics)
    asyncio.run(running(load_settings(path, port), path))


def run(role: str, ctx: Context, metrics: str) -> ExitStatus:
    """Run the entry or scheduler process, as ``role`` says.

    ``metrics`` is the port on which the process serves its metrics.
    """
    stream = NonBlockingStream(sys.stdout.fileno())
    configure_logging('info', role, stream)
    running = run_entry if role == 'entry' else run_scheduler
    try:
        _run_with_settings(running, _settings_path(ctx), metrics)
    except DaisygwError as exc:
        log('failed', code=exc.code, reason=exc.reason)
        raise
    except Exception as exc:
        log_error('crashed', exc)
        return ExitStatus.ERROR
    finally:
        log('end', role=role, process=os.getpid())
    return ExitStatus.SUCCESS
