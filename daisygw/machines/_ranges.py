"""Ranges of what targets report about themselves.

Each check raises ``ContractError`` with a code and a reason.
"""

from daisygw.contracts import (
    MAX_AMOUNT,
    MAX_INTEGER,
    ContractError,
    ResultCode,
    Size,
    check_name,
    check_range,
    check_text,
)
from daisygw.machines._leases import TargetInstance, TargetReport
from daisygw.machines._target import (
    Announcement,
    EndedAttempt,
    RunningAttempt,
    TargetSpec,
)

_HOST_PUNCTUATION = frozenset('.-_')
_IPV6_CHARACTERS = frozenset('0123456789abcdefABCDEF:.')
_MAX_HOST_CHARS = 253
_MAX_PORT_DIGITS = 5
_MAX_PORT = 65_535
# Attempts that a target lists in an announcement.
_MAX_LISTED_ATTEMPTS = 100_000


def check_address(name: str, address: str) -> None:
    """Check that a text is a host and a port that can be connected to."""
    host, _, port = address.rpartition(':')
    if not _is_host(host) or not _is_port(port):
        reason = f'{name}: not a host and a port from 1 to {_MAX_PORT}'
        raise ContractError(ResultCode.BAD_VALUE, reason)


def _is_host(host: str) -> bool:
    """Tell whether a text is a host name or an IP address."""
    if host.startswith('[') and host.endswith(']'):
        return len(host) > 2 and set(host[1:-1]) <= _IPV6_CHARACTERS
    return 0 < len(host) <= _MAX_HOST_CHARS and all(
        char.isascii() and (char.isalnum() or char in _HOST_PUNCTUATION)
        for char in host
    )


def _is_port(port: str) -> bool:
    is_number = port.isascii() and port.isdecimal()
    is_short = len(port) <= _MAX_PORT_DIGITS
    return is_number and is_short and 0 < int(port) <= _MAX_PORT


def check_capacity(capacity: Size) -> None:
    """Check the amounts that a target offers."""
    for name, amount in (
        ('cpus', capacity.cpus),
        ('memory', capacity.memory),
        ('accelerators', capacity.accelerators),
        ('slots', capacity.slots),
    ):
        check_range(f'capacity: {name}', amount, 0, MAX_AMOUNT)


def check_report(report: TargetReport) -> None:
    """Check a target's status report."""
    check_name('target', report.name)
    check_range('number', report.number, 0, MAX_INTEGER)
    if report.instance is not None:
        _check_instance(report.instance)


def _check_instance(instance: TargetInstance) -> None:
    check_range('start time', instance.born, 0, MAX_INTEGER)
    check_address('address', instance.address)
    check_capacity(instance.capacity)
    for name, text in (
        ('service', instance.service),
        ('domain', instance.domain),
        ('kind', instance.kind),
        ('rack', instance.rack),
    ):
        check_text(name, text)


def check_announcement(announcement: Announcement) -> None:
    """Check a target's announcement."""
    _check_spec(announcement.spec)
    check_capacity(announcement.usage)
    check_range('number', announcement.number, 1, MAX_INTEGER)
    check_range('heard', announcement.heard, 0, MAX_INTEGER)
    attempts = (*announcement.running, *announcement.ended)
    check_range('attempts', len(attempts), 0, _MAX_LISTED_ATTEMPTS)
    for attempt in attempts:
        _check_attempt(attempt)


def _check_attempt(attempt: RunningAttempt | EndedAttempt) -> None:
    check_range('attempt', attempt.attempt, 0, MAX_INTEGER)
    check_text('job', attempt.key.job)
    check_range('index', attempt.key.index, 0, MAX_INTEGER)
    if isinstance(attempt, EndedAttempt):
        check_range('code', attempt.code, 0, MAX_INTEGER)
        check_range('run', attempt.run, 0, MAX_INTEGER)


def _check_spec(spec: TargetSpec) -> None:
    check_name('spec.name', spec.name)
    check_name('spec.incarnation', spec.incarnation)
    check_address('spec.address', spec.address)
    check_text('spec.rack', spec.rack)
    check_capacity(spec.capacity)
    check_range('spec.capacity.slots', spec.capacity.slots, 1, MAX_AMOUNT)
