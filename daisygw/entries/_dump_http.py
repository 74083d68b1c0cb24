"""The HTTP face of an entry for its own state: dump, metrics, health."""

import asyncio
from typing import Any

import falcon
import falcon.asgi
import msgspec
from prometheus_client import CollectorRegistry, Gauge, generate_latest

from daisygw.contracts import Query, SchedulerResponse
from daisygw.entries._http import Resource
from daisygw.entries._state import Entry, post_to_group
from daisygw.links.processes import describe_link, usage

# Longest wait for a scheduler's dump, s: it is on the same host.
_VIEW_WAIT = 2.0


class Dump(Resource):
    """``/v1/dump``: the state of this host's two processes."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Show the entry's state and its scheduler's."""
        answer = await ask_own_scheduler(self.entry, 'dump')
        resp.media = {
            'entry': describe_entry(self.entry),
            'scheduler': msgspec.json.decode(answer.view) if answer else None,
        }


async def ask_own_scheduler(
    entry: Entry, view: str
) -> SchedulerResponse | None:
    """Ask the scheduler on this host about itself."""
    link = entry.links[entry.host]
    if not link.up:
        return None
    seq = next(entry.numbers)
    fut = asyncio.get_running_loop().create_future()
    entry.asked[seq] = fut
    post_to_group(link, entry.domain, Query(seq, view))
    try:
        return await asyncio.wait_for(fut, _VIEW_WAIT)
    except TimeoutError:
        return None
    finally:
        entry.asked.pop(seq, None)


def describe_entry(entry: Entry) -> dict[str, Any]:
    """Return what a dump shows of an entry."""
    return {
        'process': 'entry',
        'host': entry.host,
        'domain': entry.domain,
        'stopping': entry.stopping,
        'in_progress': entry.in_progress,
        'driven': sorted(entry.driven),
        'answered': entry.answered,
        'refused': entry.refused,
        'config_version': entry.cfg.version,
        'leaders': {group: news.host for group, news in entry.leaders.items()},
        'usage': usage(),
        'links': [describe_link(link) for link in entry.links.values()],
    }


class Health(Resource):
    """``/v1/health``: for the balancer in front of the entries."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Answer 200 while new requests are taken, 503 otherwise."""
        entry = self.entry
        resp.media = {
            'stopping': entry.stopping,
            'configured': entry.configured,
        }
        if entry.stopping or not entry.configured:
            resp.status = falcon.HTTP_503


class Metrics(Resource):
    """``/metrics``: of this host's two processes."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Show the metrics in the text format."""
        answer = await ask_own_scheduler(self.entry, 'metrics')
        resp.content_type = falcon.MEDIA_TEXT
        scheduler = answer.view if answer else ''
        resp.text = _metrics(self.entry) + scheduler


def _metrics(entry: Entry) -> str:
    registry = CollectorRegistry()
    for name, text, reading in (
        ('in_progress', 'Requests in progress', entry.in_progress),
        ('answered', 'Requests answered', entry.answered),
        ('refused', 'Requests refused', entry.refused),
        ('driven', 'Jobs carried out here now', len(entry.driven)),
        ('config_version', 'Configuration in force', entry.cfg.version),
    ):
        gauge = Gauge(f'daisygw_entry_{name}', text, registry=registry)
        gauge.set(reading)
    return generate_latest(registry).decode('utf-8')
