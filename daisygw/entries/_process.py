"""The entry process: its HTTP server, scheduler links and shutdown."""

import asyncio
import signal
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from types import MappingProxyType
from typing import Any

import falcon.asgi

from daisygw.contracts import (
    ConfigAtBoot,
    ConfigChanged,
    DaisygwError,
    LeaderStatus,
    ResultCode,
    SchedulerResponse,
    TaskSettled,
    TaskStartOrder,
    TaskStopOrder,
)
from daisygw.entries._announce_http import Announcements
from daisygw.entries._config_http import Changes, Configurations
from daisygw.entries._dump_http import Dump, Health, Metrics, describe_entry
from daisygw.entries._http import on_error, on_unexpected_error
from daisygw.entries._job_driver import (
    handle_settled,
    handle_start_order,
    handle_stop_order,
    resubmit_jobs,
)
from daisygw.entries._operator_http import (
    Cancellations,
    Drains,
    OneRequest,
    Views,
)
from daisygw.entries._requests_http import Requests
from daisygw.entries._state import Entry
from daisygw.entries._target_client import open_session
from daisygw.links import log
from daisygw.links.processes import (
    HttpService,
    Link,
    keep_connected,
    listen,
    running,
    serving_http,
    to_json,
)
from daisygw.machines import AnnouncementAccepted
from daisygw.settings import Settings, configuration_of, settings_in_force

# How often a stopping entry checks whether all requests have finished.
_DRAIN_POLL_INTERVAL_S = 0.05


def _on_response(entry: Entry, link: Link, answer: SchedulerResponse) -> None:
    fut = entry.asked.get(answer.seq)
    if fut and not fut.done():
        fut.set_result(answer)


def _on_announcement_accepted(
    entry: Entry, link: Link, accepted: AnnouncementAccepted
) -> None:
    key = (accepted.name, accepted.incarnation, accepted.number)
    fut = entry.announced.get(key)
    if fut and not fut.done():
        fut.set_result(accepted)


def _on_leader(entry: Entry, link: Link, leader_status: LeaderStatus) -> None:
    known_leader = entry.leaders.get(leader_status.group)
    if not leader_status.leads:
        if known_leader and known_leader.host == leader_status.host:
            entry.leaders.pop(leader_status.group)
        return
    if known_leader and known_leader.term > leader_status.term:
        return
    entry.leaders[leader_status.group] = leader_status
    resubmit_jobs(entry, leader_status.group)


def _on_config(entry: Entry, link: Link, change: ConfigChanged) -> None:
    entry.configured = True
    if change.version <= entry.cfg.version:
        return
    settings = settings_in_force(entry.boot_settings, change, entry.domain)
    entry.cfg = configuration_of(settings, change.version)


def _on_boot_config(entry: Entry, link: Link, message: ConfigAtBoot) -> None:
    entry.configured = True


_HANDLERS = MappingProxyType({
    ConfigAtBoot: _on_boot_config,
    SchedulerResponse: _on_response,
    AnnouncementAccepted: _on_announcement_accepted,
    ConfigChanged: _on_config,
    LeaderStatus: _on_leader,
    TaskStartOrder: lambda entry, link, order: handle_start_order(entry, order),
    TaskStopOrder: lambda entry, link, order: handle_stop_order(entry, order),
    TaskSettled: lambda entry, link, settled: handle_settled(entry, settled),
})


def _on_message(entry: Entry, link: Link, message: Any) -> None:
    _HANDLERS[type(message)](entry, link, message)


def _on_link_change(entry: Entry, link: Link) -> None:
    if link.up:
        return
    for group, leader_status in list(entry.leaders.items()):
        if leader_status.host == link.peer:
            entry.leaders.pop(group)


def make_app(entry: Entry) -> falcon.asgi.App:
    """Return the ASGI application that serves all paths of ``entry``."""
    app = falcon.asgi.App()
    app.add_error_handler(Exception, on_unexpected_error)
    app.add_error_handler(falcon.HTTPError, on_http_error)
    app.add_error_handler(DaisygwError, on_error)
    for path, resource in (
        ('/v1/requests', Requests(entry)),
        ('/v1/requests/{name}', OneRequest(entry)),
        ('/v1/cancellations', Cancellations(entry)),
        ('/v1/views/{view}', Views(entry)),
        ('/v1/targets/{name}/drain', Drains(entry)),
        ('/v1/targets/{name}/announcements', Announcements(entry)),
        ('/v1/configuration', Configurations(entry)),
        ('/v1/configuration/changes', Changes(entry)),
        ('/v1/dump', Dump(entry)),
        ('/v1/health', Health(entry)),
        ('/metrics', Metrics(entry)),
    ):
        app.add_route(path, resource)
    return app


async def on_http_error(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    exc: falcon.HTTPError,
    params: dict[str, Any],
) -> None:
    """Write errors raised by falcon, such as an unknown path, as JSON."""
    resp.status = exc.status
    resp.media = {
        'code': ResultCode.MALFORMED.value,
        'name': ResultCode.MALFORMED.name,
        'reason': exc.title,
    }


@asynccontextmanager
async def _connected_to_hosts(entry: Entry) -> AsyncGenerator[None, None]:
    async with AsyncExitStack() as stack:
        entry.http_session = await stack.enter_async_context(open_session())
        for name, host in entry.boot_settings.hosts.items():
            link = Link(name)
            entry.links[name] = link
            connecting = keep_connected(
                link,
                f'entry/{entry.host}',
                host.scheduler,
                partial(_on_message, entry),
                partial(_on_link_change, entry),
            )
            await stack.enter_async_context(running(connecting))
        yield


def _install_signal_handlers(entry: Entry) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, entry.stopped.set)
    loop.add_signal_handler(signal.SIGINT, entry.stopped.set)
    loop.add_signal_handler(signal.SIGUSR1, _log_dump, entry)


def _log_dump(entry: Entry) -> None:
    log('dump', dump=to_json(describe_entry(entry)))


async def _drain(entry: Entry) -> None:
    """Refuse new requests and wait for those in progress."""
    loop = asyncio.get_running_loop()
    until = loop.time() + entry.boot_settings.process.grace
    entry.stopping = True
    while loop.time() < until and (entry.in_progress or entry.driven):
        await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)


async def run_entry(settings: Settings, host: str) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain it."""
    entry = Entry(settings, host)
    address = settings.hosts[host].entry
    sock = listen(address)
    _install_signal_handlers(entry)
    grace = entry.boot_settings.process.grace
    serving = serving_http(
        (HttpService(make_app(entry), sock),), grace, lambda: entry.stopping
    )
    async with _connected_to_hosts(entry), serving:
        log('entry up', host=host, address=address)
        await entry.stopped.wait()
        await _drain(entry)
    log('entry stopped', host=host, in_progress=entry.in_progress)
