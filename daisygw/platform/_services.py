"""The HTTP servers of a process: limits of their clients, and metrics."""

import socket
from dataclasses import replace
from typing import Any

from daisygw.links.processes import (
    BudgetLimits,
    HttpBudget,
    HttpService,
    default_request_limits,
    listen,
    tighter_limits,
)
from daisygw.nodes import (
    EntryNode,
    Meters,
    SchedulerNode,
    add_labelled_gauge,
)
from daisygw.platform._http import (
    MAX_JOB_BYTES,
    callers_app,
    control_app,
    metrics_app,
    readiness_app,
)
from daisygw.platform._settings import PlatformSettings

# The load balancer's checks and the metrics have room of their own: some
# connections with small requests.
_RESERVED_BYTES = 1_048_576
_RESERVED_CONNECTIONS = 64


def entry_services(
    node: EntryNode, cfg: PlatformSettings
) -> tuple[HttpService, ...]:
    """Return the servers of an entry; the configuration may limit callers."""
    limits = replace(default_request_limits(), body=MAX_JOB_BYTES)
    services = (
        _reserved('readiness', readiness_app(node), listen(cfg.readiness)),
        HttpService(
            callers_app(node),
            listen(cfg.callers),
            'callers',
            lambda: tighter_limits(limits, node.peers.limits),
            HttpBudget(cfg.clients),
        ),
        _reserved('metrics', metrics_app(node.meters), listen(cfg.metrics)),
    )
    _measure(node.meters, services)
    return services


def scheduler_services(
    node: SchedulerNode, cfg: PlatformSettings, control: socket.socket
) -> tuple[HttpService, ...]:
    """Return the servers of a scheduler, with the socket of one of them."""
    services = (
        HttpService(
            control_app(node),
            control,
            'control',
            budget=HttpBudget(cfg.clients),
        ),
        _reserved('metrics', metrics_app(node.meters), listen(cfg.metrics)),
    )
    _measure(node.meters, services)
    return services


def _reserved(name: str, app: Any, sock: socket.socket) -> HttpService:
    limits = BudgetLimits(_RESERVED_BYTES, _RESERVED_CONNECTIONS)
    return HttpService(app, sock, name, budget=HttpBudget(limits))


def _measure(meters: Meters, services: tuple[HttpService, ...]) -> None:
    """Add metrics of what the clients of each server hold and are refused."""
    add_labelled_gauge(
        meters,
        'http_held_bytes',
        'Bytes that clients make the process hold, by server',
        ('server',),
        lambda: {(one.name,): one.budget.held for one in services},
    )
    add_labelled_gauge(
        meters,
        'http_connections',
        'Open connections of clients, by server',
        ('server',),
        lambda: {(one.name,): len(one.budget.connections) for one in services},
    )
    add_labelled_gauge(
        meters,
        'http_refused',
        'Clients refused or disconnected since the start, by server and cause',
        ('server', 'cause'),
        lambda: {
            (one.name, cause): total
            for one in services
            for cause, total in one.budget.refused.items()
        },
    )
