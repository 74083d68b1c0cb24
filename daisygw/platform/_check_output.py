"""Writes what the check of a configuration found, as text or JSON.

Values are in the units of the document, and places are paths in it.
"""

from collections.abc import Iterable, Iterator
from types import MappingProxyType

from daisygw.cell import (
    ConfigChange,
    ConfigPart,
    ConfigPlace,
    Finding,
    Severity,
)
from daisygw.contracts import CellConfig
from daisygw.platform._codec import MS_PER_S
from daisygw.platform._config_errors import ConfigError
from daisygw.platform._wire import WireChange, WireCheck, WireFinding

# Longest text of a finding or a change: names in a document are unbounded.
_MAX_TEXT_CHARS = 300
# Digests of keys that a line of text lists; JSON has all of them.
_LISTED_DIGESTS = 5
# Digits after the point of a time in ms: hides the rounding of seconds.
_MS_DIGITS = 6
_PARTS = MappingProxyType({
    ConfigPart.VERSION: 'version',
    ConfigPart.LIMITS: 'limits',
    ConfigPart.QUEUES: 'routes',
    ConfigPart.SERVICES: 'services',
    ConfigPart.CUSTOMERS: 'tenants',
})
_TIMES = MappingProxyType({
    'timeout': 'timeoutMs',
    'latency': 'targetLatencyMs',
    'advisor.decision': 'placementAdvisor.decisionMs',
    'advisor.per_target': 'placementAdvisor.perWorkerMs',
    'advisor.validity': 'placementAdvisor.validityMs',
    'header_timeout': 'headerTimeoutMs',
    'idle_timeout': 'idleTimeoutMs',
})
# Attributes that are named otherwise in the document.
_FIELDS = MappingProxyType({
    **_TIMES,
    'prefix': 'pathPrefix',
    'attempts': 'maxAttempts',
    'slack': 'slackFactor',
    'keys': 'apiKeys',
    'limit.cpus': 'maxCount.cpu',
    'limit.memory': 'maxCount.memMb',
    'limit.accelerators': 'maxCount.gpu',
    'max_body': 'maxBodyBytes',
    'max_header': 'maxHeaderBytes',
})


def list_errors(errors: Iterable[ConfigError]) -> tuple[WireFinding, ...]:
    """Return the findings of errors for which the server refuses a document."""
    return tuple(
        WireFinding(
            Severity.ERROR,
            _shorten(error.place or 'document'),
            _shorten(error.name),
            _shorten(error.reason),
            _shorten(error.hint),
            error.code,
            error.code.name,
        )
        for error in errors
    )


def list_findings(
    findings: Iterable[Finding], positions: dict[str, int]
) -> tuple[WireFinding, ...]:
    """Return findings with places in the document.

    ``positions`` are those of services, by name.
    """
    return tuple(
        WireFinding(
            finding.severity,
            _path(finding.place, positions),
            _shorten(finding.place.name),
            _shorten(finding.reason),
            _shorten(finding.hint),
            finding.code,
            finding.code.name if finding.code else '',
        )
        for finding in findings
    )


def list_changes(
    changes: Iterable[ConfigChange], positions: dict[str, int]
) -> tuple[WireChange, ...]:
    """Return changes with places in the document, see ``list_findings``."""
    return tuple(
        WireChange(
            change.kind,
            _path(change.place, positions),
            _shorten(change.place.name),
            _in_unit(change.place.attribute, change.before),
            _in_unit(change.place.attribute, change.after),
            change.added,
            change.removed,
        )
        for change in changes
    )


def summarize(
    cfg: CellConfig | None,
    in_force: CellConfig | None,
    findings: tuple[WireFinding, ...],
    changes: tuple[WireChange, ...] = (),
) -> WireCheck:
    """Return the result; ``cfg`` is None where the server would refuse it."""
    severities = [finding.severity for finding in findings]
    return WireCheck(
        cfg.version if cfg else None,
        in_force.version if in_force else None,
        severities.count(Severity.ERROR),
        severities.count(Severity.WARNING),
        findings,
        changes,
    )


def _path(place: ConfigPlace, positions: dict[str, int]) -> str:
    """Return the path of a place; without a position, that of its list."""
    path = _PARTS[place.part]
    position = place.position
    if place.part is ConfigPart.SERVICES:
        position = positions.get(place.name)
    if position is not None:
        path = f'{path}[{position}]'
    if not place.attribute:
        return path
    return f'{path}.{_FIELDS.get(place.attribute, place.attribute)}'


def _in_unit(attribute: str, amount: str | float | None) -> str | float | None:
    if isinstance(amount, str):
        return _shorten(amount)
    if attribute in _TIMES and amount is not None:
        return round(amount * MS_PER_S, _MS_DIGITS)
    return amount


def _shorten(text: str) -> str:
    if len(text) <= _MAX_TEXT_CHARS:
        return text
    return f'{text[:_MAX_TEXT_CHARS]}...'


def format_check(check: WireCheck) -> str:
    """Return the result as lines of text; each is printable."""
    return ''.join(f'{printable(line)}\n' for line in _lines(check))


def printable(text: str) -> str:
    """Return a text with escapes instead of what a terminal would obey."""
    return ''.join(
        char if char.isprintable() else ascii(char)[1:-1] for char in text
    )


def _lines(check: WireCheck) -> Iterator[str]:
    for finding in check.findings:
        code = f' [{finding.code} {finding.code_name}]' if finding.code else ''
        name = f' ({finding.name})' if finding.name else ''
        yield (
            f'{finding.severity:7} {finding.place}{name}: '
            f'{finding.reason}{code}'
        )
        yield f'        hint: {finding.hint}'
    for change in check.changes:
        name = f' ({change.name})' if change.name else ''
        yield f'{change.kind:7} {change.place}{name}{_difference(change)}'
    yield _summary(check)


def _difference(change: WireChange) -> str:
    if change.before is None and change.after is None:
        return ''
    difference = f': {_shown(change.before)} -> {_shown(change.after)}'
    for what, digests in (
        ('added', change.added),
        ('removed', change.removed),
    ):
        if digests:
            listed = ' '.join(digests[:_LISTED_DIGESTS])
            more = ' ...' if len(digests) > _LISTED_DIGESTS else ''
            difference = f'{difference}, {len(digests)} {what} ({listed}{more})'
    return difference


def _shown(amount: str | float | None) -> str:
    if amount is None:
        return 'none'
    if isinstance(amount, bool):
        return str(amount).lower()
    return f'{amount:.15g}' if isinstance(amount, float) else f'{amount}'


def _summary(check: WireCheck) -> str:
    counts = f'errors: {check.errors}, warnings: {check.warnings}'
    if check.version is None:
        return f'{counts}; the server would refuse this document'
    if check.in_force is None:
        return f'{counts}; version {check.version}'
    return (
        f'{counts}, changes: {len(check.changes)}; version {check.version}, '
        f'in force {check.in_force}'
    )
