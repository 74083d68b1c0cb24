"""HTTP endpoints for an entry's own state: dump, metrics and health."""

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

# Time to wait for the scheduler, which runs on the same host.
_SCHEDULER_QUERY_TIMEOUT_S = 2.0


class Dump(Resource):
    """``/v1/dump``: the state of the entry and scheduler on this host."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Return both states; null for a scheduler that does not respond."""
        answer = await query_local_scheduler(self.entry, 'dump')
        resp.media = {
            'entry': describe_entry(self.entry),
            'scheduler': msgspec.json.decode(answer.view) if answer else None,
        }


async def query_local_scheduler(
    entry: Entry, view: str
) -> SchedulerResponse | None:
    """Query the scheduler on this host; None if it does not respond."""
    link = entry.links[entry.host]
    if not link.up:
        return None
    seq = next(entry.seq_numbers)
    fut = asyncio.get_running_loop().create_future()
    entry.asked[seq] = fut
    post_to_group(link, entry.domain, Query(seq, view))
    try:
        return await asyncio.wait_for(fut, _SCHEDULER_QUERY_TIMEOUT_S)
    except TimeoutError:
        return None
    finally:
        entry.asked.pop(seq, None)


def describe_entry(entry: Entry) -> dict[str, Any]:
    """Return the state of an entry as a JSON-serializable mapping."""
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
        'leaders': {
            group: leader_status.host
            for group, leader_status in entry.leaders.items()
        },
        'usage': usage(),
        'links': [describe_link(link) for link in entry.links.values()],
    }


class Health(Resource):
    """``/v1/health``: health check for the load balancer."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Respond with 200 while new requests are accepted, else 503."""
        entry = self.entry
        resp.media = {
            'stopping': entry.stopping,
            'configured': entry.configured,
        }
        if entry.stopping or not entry.configured:
            resp.status = falcon.HTTP_503


class Metrics(Resource):
    """``/metrics``: metrics of the entry and scheduler on this host."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Return the metrics in the Prometheus text format."""
        answer = await query_local_scheduler(self.entry, 'metrics')
        resp.content_type = falcon.MEDIA_TEXT
        scheduler = answer.view if answer else ''
        resp.text = _entry_metrics(self.entry) + scheduler


def _entry_metrics(entry: Entry) -> str:
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
