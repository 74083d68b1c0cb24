"""Bounds of settings and what must agree between them."""

import ipaddress
import math
from collections.abc import Iterator
from types import MappingProxyType
from typing import TypeAlias

from daisygw.contracts import ORDERINGS
from daisygw.machines import SCORINGS
from daisygw.settings._schema import Settings, hosts_of
from daisygw.zones import ADMISSIONS

# Longest of the short times, s.
_HOUR = 3600.0
# Longest of the long times, s.
_WEEK = 604_800.0
# Largest number that a setting takes.
_MOST = 10**9
# The last port of TCP.
_LAST_PORT = 65_535

_BOUNDS = MappingProxyType({
    'policy.short_run': (0, _WEEK),
    'policy.short_share': (0, 1),
    'policy.headroom': (0, 1),
    'policy.gang_patience': (0, _HOUR),
    'policy.retries': (1, 100),
    'policy.retry_share': (0, 1),
    'policy.aside_failures': (1, 1000),
    'policy.probe_every': (0.1, _HOUR),
    'policy.lease': (0.5, _HOUR),
    'policy.lease_margin': (0.05, _HOUR),
    'policy.order_age': (0.1, _HOUR),
    'policy.announce_every': (0.05, _HOUR),
    'policy.keep_outcomes': (1, _WEEK),
    'policy.park': (0.1, _HOUR),
    'policy.max_wait.urgent': (0, _WEEK),
    'policy.max_wait.normal': (0, _WEEK),
    'policy.max_wait.patient': (0, _WEEK),
    'limits.body_bytes': (0, _MOST),
    'limits.spec_bytes': (0, 65_536),
    'limits.id_length': (8, 1024),
    'limits.count': (1, 1_000_000),
    'limits.cpus': (1, _MOST),
    'limits.memory': (1, _MOST),
    'limits.accelerators': (0, 1_000_000),
    'limits.deadline': (1, _WEEK),
    'process.grace': (0, _HOUR),
    'process.patience': (0.1, _HOUR),
    'process.snapshot_every': (10, 1_000_000),
    'timing.heartbeat': (0.01, 10),
    'timing.election': (0.05, 60),
    'timing.drift': (0, 0.5),
    'timing.hello': (0.05, 10),
    'timing.batch': (1024, 4_194_304),
})

Fault: TypeAlias = tuple[str, str]


def check_bounds(settings: Settings) -> Iterator[Fault]:
    """Yield (key, reason) for every value out of its bounds."""
    yield from _numbers(settings)
    yield from _names(settings)
    yield from _hosts(settings)
    yield from _domains(settings)
    yield from _teams(settings)
    yield from _times(settings)


def _numbers(settings: Settings) -> Iterator[Fault]:
    for key, (low, high) in _BOUNDS.items():
        found = settings
        for part in key.split('.'):
            found = getattr(found, part)
        if not math.isfinite(found) or not low <= found <= high:
            yield key, f'{found} is not from {low} to {high}'


def _names(settings: Settings) -> Iterator[Fault]:
    policy = settings.policy
    for key, chosen, known in (
        ('ordering', policy.ordering, ORDERINGS),
        ('scoring', policy.scoring, SCORINGS),
        ('admission', policy.admission, ADMISSIONS),
    ):
        if chosen not in known:
            names = ', '.join(sorted(known))
            yield f'policy.{key}', f'{chosen!r} is not one of {names}'


def _address_fault(address: str) -> str:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return f'{address!r} is not an IP number and port'
    if not port.isdecimal() or not 0 < int(port) <= _LAST_PORT:
        return f'{address!r} has no port from 1 to {_LAST_PORT}'
    return ''


def _hosts(settings: Settings) -> Iterator[Fault]:
    for name, host in settings.hosts.items():
        if host.domain not in settings.domains:
            reason = f'{host.domain!r} is not a failure domain'
            yield f'hosts.{name}.domain', reason
        for key in ('entry', 'scheduler'):
            fault = _address_fault(getattr(host, key))
            if fault:
                yield f'hosts.{name}.{key}', fault
    voter_hosts = settings.configuration.voters
    if len(voter_hosts) % 2 == 0 and voter_hosts:
        yield 'configuration.voters', 'it must be an odd number of hosts'
    for host in voter_hosts:
        if host not in settings.hosts:
            yield 'configuration.voters', f'{host!r} is not a host'


def _domains(settings: Settings) -> Iterator[Fault]:
    if not settings.domains:
        yield 'domains', 'at least one failure domain is needed'
    for name, domain in settings.domains.items():
        key = f'domains.{name}'
        if not hosts_of(settings, name):
            yield key, 'it has no host'
        if not 0 <= domain.share <= 1:
            yield f'{key}.share', 'it is not from 0 to 1'
        yield from _tie_breaker(settings, name, domain.tie_breaker)


def _tie_breaker(
    settings: Settings,
    domain: str,
    tie_breaker: str,
) -> Iterator[Fault]:
    host = settings.hosts.get(tie_breaker)
    if tie_breaker and host is None:
        reason = f'{tie_breaker!r} is not a host'
        yield f'domains.{domain}.tie_breaker', reason
    elif host and host.domain == domain:
        reason = 'it must be in another failure domain'
        yield f'domains.{domain}.tie_breaker', reason


def _teams(settings: Settings) -> Iterator[Fault]:
    for name, team in settings.teams.items():
        if not 0 < team.weight <= _MOST:
            yield f'teams.{name}.weight', 'it must be above 0'
        if min(team.quota.cpus, team.quota.memory, team.quota.slots) < 0:
            yield f'teams.{name}.quota', 'it must not be negative'


def _times(settings: Settings) -> Iterator[Fault]:
    policy = settings.policy
    if policy.order_age >= policy.lease:
        yield 'policy.order_age', 'it must be less than policy.lease'
    if policy.announce_every * 2 > policy.order_age:
        reason = 'it must be at most half of policy.order_age'
        yield 'policy.announce_every', reason
    if settings.timing.heartbeat * 3 > settings.timing.election:
        reason = 'it must be at most a third of timing.election'
        yield 'timing.heartbeat', reason
