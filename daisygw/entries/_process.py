"""The entry process: HTTP for callers, operators and targets."""

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
    StopOrder,
    TaskSettled,
    TaskStartOrder,
)
from daisygw.entries._announce_http import Announcements
from daisygw.entries._config_http import Changes, Configurations
from daisygw.entries._driving import on_order, on_settled, on_stop, resubmit
from daisygw.entries._dump_http import Dump, Health, Metrics, describe_entry
from daisygw.entries._http import on_crash, on_error
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
    Link,
    keep_connected,
    listen,
    running,
    serving_http,
    to_json,
)
from daisygw.machines import AnnouncementAccepted
from daisygw.settings import Settings, configuration_of, settings_in_force

# How often a stopping entry looks for what still runs, s.
_DRAIN_LOOK = 0.05


def _on_answer(entry: Entry, link: Link, answer: SchedulerResponse) -> None:
    fut = entry.asked.get(answer.seq)
    if fut and not fut.done():
        fut.set_result(answer)


def _on_taken(entry: Entry, link: Link, taken: AnnouncementAccepted) -> None:
    key = (taken.name, taken.incarnation, taken.number)
    fut = entry.announced.get(key)
    if fut and not fut.done():
        fut.set_result(taken)


def _on_leader(entry: Entry, link: Link, news: LeaderStatus) -> None:
    known = entry.leaders.get(news.group)
    if not news.leads:
        if known and known.host == news.host:
            entry.leaders.pop(news.group)
        return
    if known and known.term > news.term:
        return
    entry.leaders[news.group] = news
    resubmit(entry, news.group)


def _on_config(entry: Entry, link: Link, change: ConfigChanged) -> None:
    entry.configured = True
    if change.version <= entry.cfg.version:
        return
    settings = settings_in_force(entry.boot, change, entry.domain)
    entry.cfg = configuration_of(settings, change.version)


def _on_boot_config(entry: Entry, link: Link, news: ConfigAtBoot) -> None:
    entry.configured = True


_BY_TYPE = MappingProxyType({
    ConfigAtBoot: _on_boot_config,
    SchedulerResponse: _on_answer,
    AnnouncementAccepted: _on_taken,
    ConfigChanged: _on_config,
    LeaderStatus: _on_leader,
    TaskStartOrder: lambda entry, link, order: on_order(entry, order),
    StopOrder: lambda entry, link, order: on_stop(entry, order),
    TaskSettled: lambda entry, link, settled: on_settled(entry, settled),
})


def _on_message(entry: Entry, link: Link, message: Any) -> None:
    _BY_TYPE[type(message)](entry, link, message)


def _on_link(entry: Entry, link: Link) -> None:
    if link.up:
        return
    for group, news in list(entry.leaders.items()):
        if news.host == link.peer:
            entry.leaders.pop(group)


def make_app(entry: Entry) -> falcon.asgi.App:
    """Return the application that serves for ``entry``."""
    app = falcon.asgi.App()
    app.add_error_handler(Exception, on_crash)
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
    """Write falcon's own refusals (no such path) with their status."""
    resp.status = exc.status
    resp.media = {
        'code': ResultCode.MALFORMED.value,
        'name': ResultCode.MALFORMED.name,
        'reason': exc.title,
    }


@asynccontextmanager
async def _linked(entry: Entry) -> AsyncGenerator[None, None]:
    async with AsyncExitStack() as stack:
        entry.http = await stack.enter_async_context(open_session())
        for name, host in entry.boot.hosts.items():
            link = Link(name)
            entry.links[name] = link
            connecting = keep_connected(
                link,
                f'entry/{entry.host}',
                host.scheduler,
                partial(_on_message, entry),
                partial(_on_link, entry),
            )
            await stack.enter_async_context(running(connecting))
        yield


def _on_signals(entry: Entry) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, entry.stopped.set)
    loop.add_signal_handler(signal.SIGINT, entry.stopped.set)
    loop.add_signal_handler(signal.SIGUSR1, _log_dump, entry)


def _log_dump(entry: Entry) -> None:
    log('dump', dump=to_json(describe_entry(entry)))


async def _drain(entry: Entry) -> None:
    """Refuse what is new, and wait for what is in progress."""
    loop = asyncio.get_running_loop()
    until = loop.time() + entry.boot.process.grace
    entry.stopping = True
    while loop.time() < until and (entry.in_progress or entry.driven):
        await asyncio.sleep(_DRAIN_LOOK)


async def run_entry(settings: Settings, host: str) -> None:
    """Run an entry until it is told to stop."""
    entry = Entry(settings, host)
    address = settings.hosts[host].entry
    sock = listen(address)
    _on_signals(entry)
    grace = entry.boot.process.grace
    serving = serving_http(make_app(entry), sock, grace)
    async with _linked(entry), serving:
        log('entry up', host=host, address=address)
        await entry.stopped.wait()
        await _drain(entry)
    log('entry stopped', host=host, in_progress=entry.in_progress)
