"""Checks a valid configuration for entries and limits that cannot work.

``contracts.check_cell_config`` refuses what is out of range; these functions
find what is accepted and still has no effect, or contradicts itself.
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass

from daisygw.contracts import CellConfig, Customer, Queue, ResultCode

# Header sections below this size (bytes) refuse ordinary callers: request
# line, host, key and content type need about as much.
_MIN_HEADER_BYTES = 256
_MILLICORES_PER_CORE = 1000


@enum.unique
class Severity(enum.StrEnum):
    """How serious a finding is; an error prevents the configuration's use."""

    ERROR = 'error'
    WARNING = 'warning'


@enum.unique
class ConfigPart(enum.StrEnum):
    """Part of a configuration."""

    VERSION = 'version'
    LIMITS = 'limits'
    QUEUES = 'queues'
    SERVICES = 'services'
    CUSTOMERS = 'customers'


@dataclass(frozen=True, slots=True)
class ConfigPlace:
    """Place of a value in a configuration.

    ``name`` and ``position`` (from 0) are those of a queue, service or
    customer; a service has no position (None).  ``attribute`` is the field of
    the entry's type, with dots for nested types; it is empty for the whole
    entry.
    """

    part: ConfigPart
    name: str = ''
    position: int | None = None
    attribute: str = ''


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault of a configuration; ``code`` is None where no code says it."""

    severity: Severity
    place: ConfigPlace
    reason: str
    hint: str
    code: ResultCode | None = None


def check_consistency(cfg: CellConfig, max_body: int) -> tuple[Finding, ...]:
    """Return warnings about a valid configuration.

    ``max_body`` is the longest body (bytes) that an entry accepts at most.
    """
    return (
        *_check_queues(cfg),
        *_check_services(cfg),
        *_check_customers(cfg.customers or ()),
        *_check_limits(cfg, max_body),
    )


def _warning(place: ConfigPlace, reason: str, hint: str) -> Finding:
    return Finding(Severity.WARNING, place, reason, hint)


def _check_queues(cfg: CellConfig) -> Iterator[Finding]:
    first: dict[tuple[str, str], int] = {}
    for position, queue in enumerate(cfg.queues):
        first.setdefault((queue.host, queue.prefix), position)
    for position, queue in enumerate(cfg.queues):
        other = first[queue.host, queue.prefix]
        if not queue.prefix:
            # Each path begins with a slash, and the longest prefix wins.
            other = first.get((queue.host, '/'), other)
        if other != position:
            yield _warning(
                ConfigPlace(ConfigPart.QUEUES, queue.name, position),
                'no request matches: the queue '
                f'{cfg.queues[other].name!r} gets all of them',
                'remove it, or give it a host or path prefix of its own',
            )
        yield from _check_queue(queue, position)


def _check_queue(queue: Queue, position: int) -> Iterator[Finding]:
    def place(attribute: str) -> ConfigPlace:
        return ConfigPlace(ConfigPart.QUEUES, queue.name, position, attribute)

    if ':' in queue.host:
        yield _warning(
            place('host'),
            'no request matches: hosts are compared without their port',
            'leave out the port',
        )
    if queue.prefix and not queue.prefix.startswith('/'):
        yield _warning(
            place('prefix'),
            'no request matches: each path begins with a slash',
            'begin the path prefix with a slash',
        )
    if queue.advisor is None:
        return
    call = queue.advisor.decision + queue.advisor.per_target
    for attribute, what, duration in (
        ('timeout', 'timeout', queue.timeout),
        ('latency', 'latency objective', queue.latency),
    ):
        if duration < call:
            yield _warning(
                place(attribute),
                f'the {what} of {duration:g} s is shorter than a call to the '
                f'placement advisor for one target, {call:g} s',
                'raise it above the duration of a call',
            )


def _check_services(cfg: CellConfig) -> Iterator[Finding]:
    used = {queue.service for queue in cfg.queues}
    for service in cfg.services:
        if service not in used:
            yield _warning(
                ConfigPlace(ConfigPart.SERVICES, service),
                'no queue uses this service',
                'remove it, or name it in a queue',
            )


def _check_customers(customers: tuple[Customer, ...]) -> Iterator[Finding]:
    for position, customer in enumerate(customers):
        place = ConfigPlace(ConfigPart.CUSTOMERS, customer.name, position)
        if not customer.keys:
            yield _warning(
                place,
                'the customer has no key: nobody can submit, read or cancel '
                'its jobs',
                'give it a key, or remove it once its jobs have ended',
            )
        if not customer.weight:
            yield _warning(
                ConfigPlace(
                    ConfigPart.CUSTOMERS, customer.name, position, 'weight'
                ),
                'with a weight of 0 it has no share of a full cell, and all '
                'its jobs are above its rate',
                'give it a weight above 0',
            )
    cpus = [customer.limit.cpus for customer in customers]
    if cpus and all(cpus) and sum(cpus) < _MILLICORES_PER_CORE:
        yield _warning(
            ConfigPlace(ConfigPart.CUSTOMERS, attribute='limit.cpus'),
            f'all customers together may use {sum(cpus)} thousandths of a core',
            'the unit is a thousandth of a core; 0 is no limit',
        )


def _check_limits(cfg: CellConfig, max_body: int) -> Iterator[Finding]:
    if cfg.max_body > max_body:
        yield _warning(
            _limit('max_body'),
            f'entries accept bodies of {max_body} bytes at most',
            f'lower it to {max_body}, or to 0 for the limit of the process',
        )
    if 0 < cfg.max_header < _MIN_HEADER_BYTES:
        yield _warning(
            _limit('max_header'),
            f'ordinary requests have header sections of {_MIN_HEADER_BYTES} '
            'bytes or more',
            'raise it, or set it to 0 for the limit of the process',
        )
    if 0 < cfg.idle_timeout < cfg.header_timeout:
        yield _warning(
            _limit('header_timeout'),
            f'the header timeout of {cfg.header_timeout:g} s is above the idle '
            f'timeout of {cfg.idle_timeout:g} s',
            'lower it to the idle timeout',
        )


def _limit(attribute: str) -> ConfigPlace:
    return ConfigPlace(ConfigPart.LIMITS, attribute=attribute)
