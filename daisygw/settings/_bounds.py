"""Validation of settings: bounds and consistency between values."""

import ipaddress
import math
from collections.abc import Iterator
from types import MappingProxyType
from typing import TypeAlias

from daisygw.contracts import ORDERINGS
from daisygw.machines import SCORINGS
from daisygw.settings._schema import Settings, hosts_of
from daisygw.zones import ADMISSIONS

# Upper bound of short durations.
_HOUR_S = 3600.0
# Upper bound of long durations.
_WEEK_S = 604_800.0
# Upper bound of amounts and weights.
_MAX_AMOUNT = 10**9
_MAX_PORT = 65_535

_BOUNDS = MappingProxyType({
    'policy.short_run': (0, _WEEK_S),
    'policy.short_share': (0, 1),
    'policy.headroom': (0, 1),
    'policy.gang_patience': (0, _HOUR_S),
    'policy.retries': (1, 100),
    'policy.retry_share': (0, 1),
    'policy.aside_failures': (1, 1000),
    'policy.probe_every': (0.1, _HOUR_S),
    'policy.lease': (0.5, _HOUR_S),
    'policy.lease_margin': (0.05, _HOUR_S),
    'policy.order_age': (0.1, _HOUR_S),
    'policy.announce_every': (0.05, _HOUR_S),
    'policy.keep_outcomes': (1, _WEEK_S),
    'policy.park': (0.1, _HOUR_S),
    'policy.max_wait.urgent': (0, _WEEK_S),
    'policy.max_wait.normal': (0, _WEEK_S),
    'policy.max_wait.patient': (0, _WEEK_S),
    'limits.body_bytes': (0, _MAX_AMOUNT),
    'limits.spec_bytes': (0, 65_536),
    'limits.id_length': (8, 1024),
    'limits.count': (1, 1_000_000),
    'limits.cpus': (1, _MAX_AMOUNT),
    'limits.memory': (1, _MAX_AMOUNT),
    'limits.accelerators': (0, 1_000_000),
    'limits.deadline': (1, _WEEK_S),
    'process.grace': (0, _HOUR_S),
    'process.patience': (0.1, _HOUR_S),
    'process.snapshot_every': (10, 1_000_000),
    'timing.heartbeat': (0.01, 10),
    'timing.election': (0.05, 60),
    'timing.drift': (0, 0.5),
    'timing.hello': (0.05, 10),
    'timing.batch': (1024, 4_194_304),
})

Violation: TypeAlias = tuple[str, str]


def check_bounds(settings: Settings) -> Iterator[Violation]:
    """Yield (key, reason) for every invalid or inconsistent value."""
    yield from _check_numbers(settings)
    yield from _check_names(settings)
    yield from _check_hosts(settings)
    yield from _check_domains(settings)
    yield from _check_teams(settings)
    yield from _check_intervals(settings)


def _check_numbers(settings: Settings) -> Iterator[Violation]:
    for key, (low, high) in _BOUNDS.items():
        value = settings
        for part in key.split('.'):
            value = getattr(value, part)
        if not math.isfinite(value) or not low <= value <= high:
            yield key, f'{value} is not between {low} and {high}'


def _check_names(settings: Settings) -> Iterator[Violation]:
    policy = settings.policy
    for key, chosen, allowed in (
        ('ordering', policy.ordering, ORDERINGS),
        ('scoring', policy.scoring, SCORINGS),
        ('admission', policy.admission, ADMISSIONS),
    ):
        if chosen not in allowed:
            names = ', '.join(sorted(allowed))
            yield f'policy.{key}', f'{chosen!r} is not one of {names}'


def _address_error(address: str) -> str:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return f'{address!r} is not an IP address and port'
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        return f'{address!r} has no port between 1 and {_MAX_PORT}'
    return ''


def _check_hosts(settings: Settings) -> Iterator[Violation]:
    for name, host in settings.hosts.items():
        if host.domain not in settings.domains:
            reason = f'{host.domain!r} is not a failure domain'
            yield f'hosts.{name}.domain', reason
        for key in ('entry', 'scheduler'):
            error = _address_error(getattr(host, key))
            if error:
                yield f'hosts.{name}.{key}', error
    voter_hosts = settings.configuration.voters
    if len(voter_hosts) % 2 == 0 and voter_hosts:
        yield 'configuration.voters', 'must be an odd number of hosts'
    for host in voter_hosts:
        if host not in settings.hosts:
            yield 'configuration.voters', f'{host!r} is not a host'


def _check_domains(settings: Settings) -> Iterator[Violation]:
    if not settings.domains:
        yield 'domains', 'at least one failure domain is required'
    for name, domain in settings.domains.items():
        key = f'domains.{name}'
        if not hosts_of(settings, name):
            yield key, 'has no hosts'
        if not 0 <= domain.share <= 1:
            yield f'{key}.share', 'must be between 0 and 1'
        yield from _check_tie_breaker(settings, name, domain.tie_breaker)


def _check_tie_breaker(
    settings: Settings,
    domain: str,
    tie_breaker: str,
) -> Iterator[Violation]:
    host = settings.hosts.get(tie_breaker)
    if tie_breaker and host is None:
        reason = f'{tie_breaker!r} is not a host'
        yield f'domains.{domain}.tie_breaker', reason
    elif host and host.domain == domain:
        reason = 'must be in another failure domain'
        yield f'domains.{domain}.tie_breaker', reason


def _check_teams(settings: Settings) -> Iterator[Violation]:
    for name, team in settings.teams.items():
        if not 0 < team.weight <= _MAX_AMOUNT:
            yield f'teams.{name}.weight', 'must be above 0'
        if min(team.quota.cpus, team.quota.memory, team.quota.slots) < 0:
            yield f'teams.{name}.quota', 'must not be negative'


def _check_intervals(settings: Settings) -> Iterator[Violation]:
    policy = settings.policy
    if policy.order_age >= policy.lease:
        yield 'policy.order_age', 'must be less than policy.lease'
    if policy.announce_every * 2 > policy.order_age:
        reason = 'must be at most half of policy.order_age'
        yield 'policy.announce_every', reason
    if settings.timing.heartbeat * 3 > settings.timing.election:
        reason = 'must be at most a third of timing.election'
        yield 'timing.heartbeat', reason
