"""Finds all errors for which the server would refuse a configuration.

The server's own ``decode_config`` stops at the first error.  Here it also
decodes each part of a refused document by itself, among valid other parts.
"""

import re
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from itertools import chain, islice
from types import MappingProxyType
from typing import Any, TypeAlias

import msgspec

from daisygw.contracts import (
    MAX_CUSTOMERS,
    MAX_KEYS,
    MAX_QUEUES,
    ContractError,
    ResultCode,
)
from daisygw.platform._codec import DECODE_ERRORS, decode_config, encode
from daisygw.platform._wire import (
    WireLimits,
    WireRouteKey,
    WireRouteService,
    WireService,
    WireTenantKey,
)

# Where the decoder of the messages states a place.
_STATED_PLACE = re.compile(r' - at `\$\.?(.*)`$', re.DOTALL)
# The smallest valid document.
_REQUIRED = MappingProxyType({
    'version': b'0',
    'routes': b'[]',
    'services': b'[]',
})
_HINT = 'correct it: the server refuses the whole document'
# Errors that are found in one run, and rows of a list that are decoded by
# themselves: bound time and memory for documents of 8 MiB.
_MAX_ERRORS = 10_000
_MAX_ROWS = 10_000
_Rows: TypeAlias = Sequence[bytes]
# Returns the other parts of a document that a row needs to be valid.
_OtherParts: TypeAlias = Callable[[bytes], Mapping[str, bytes]]


@dataclass(frozen=True, slots=True)
class ConfigError:
    """An error at a place of the document, which is '' for all of it."""

    code: ResultCode
    reason: str
    place: str = ''
    name: str = ''
    hint: str = _HINT


def find_errors(raw: bytes) -> tuple[ConfigError, ...]:
    """Return the errors of a document; none if the server accepts it.

    At most ``_MAX_ERRORS`` are returned, and those of the first ``_MAX_ROWS``
    rows of each list.
    """
    whole = _refusal(raw)
    if whole is None:
        return ()
    try:
        document = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    except DECODE_ERRORS:
        return (whole,)
    errors = islice(_part_errors(document), _MAX_ERRORS)
    found = {(error.place, error.reason): error for error in errors}
    return tuple(found.values()) or (whole,)


def _refusal(raw: bytes) -> ConfigError | None:
    """Return the first error of a document, if the server refuses it."""
    try:
        decode_config(raw)
    except ContractError as exc:
        stated = _STATED_PLACE.search(exc.reason)
        if stated is None:
            return ConfigError(exc.code, exc.reason)
        reason = exc.reason[: stated.start()]
        return ConfigError(exc.code, reason, stated.group(1))
    return None


def _errors_of(
    place: str, name: str = '', hint: str = _HINT, **parts: bytes
) -> Iterator[ConfigError]:
    """Yield the error of a valid document in which ``parts`` are replaced.

    ``place`` is that of the part or of its only row in the whole document.
    """
    pairs = {**_REQUIRED, **parts}.items()
    members = (b'"%b":%b' % (key.encode(), raw) for key, raw in pairs)
    error = _refusal(b'{%b}' % b','.join(members))
    if error:
        _, _, inner = error.place.partition('[0]')
        yield ConfigError(
            error.code, error.reason, f'{place}{inner}', name, hint
        )


def _part_errors(document: Mapping[str, bytes]) -> Iterable[ConfigError]:
    services = _rows(document, 'services')
    routes = _rows(document, 'routes')
    tenants = _rows(document, 'tenants')
    return chain(
        _missing_parts(document),
        _errors_of('version', version=document.get('version', b'0')),
        _limit_errors(document.get('limits', b'{}')),
        *(
            _errors_of(key, **{key: document.get(key, b'[]')})
            for key, rows in (
                ('services', services),
                ('routes', routes),
                ('tenants', tenants),
            )
            if rows is None
        ),
        _count_errors(services or (), routes or (), tenants or ()),
        _row_errors('services', services or ()),
        _row_errors('routes', routes or (), _naming_service(services)),
        _duplicate_routes(routes or ()),
        _row_errors('tenants', tenants or ()),
        _duplicate_names(tenants or ()),
        _duplicate_keys(tenants or ()),
    )


def _missing_parts(document: Mapping[str, bytes]) -> Iterator[ConfigError]:
    for key in _REQUIRED:
        if key not in document:
            yield ConfigError(ResultCode.CONFIG_INVALID, 'missing', key)


def _limit_errors(raw: bytes) -> Iterator[ConfigError]:
    try:
        limits = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    except DECODE_ERRORS:
        yield from _errors_of('limits', limits=raw)
        return
    for key in WireLimits.__struct_encode_fields__:
        limit = limits.get(key)
        if limit is not None:
            member = b'{%b:%b}' % (encode(key), limit)
            yield from _errors_of(f'limits.{key}', limits=member)


def _rows(document: Mapping[str, bytes], key: str) -> _Rows | None:
    """Return the rows of a list, None if it is none."""
    try:
        return msgspec.json.decode(
            document.get(key, b'[]'), type=list[msgspec.Raw]
        )
    except DECODE_ERRORS:
        return None


def _no_other_parts(row: bytes) -> Mapping[str, bytes]:
    return {}


def _row_errors(
    key: str,
    rows: _Rows,
    others: _OtherParts = _no_other_parts,
) -> Iterator[ConfigError]:
    """Yield the errors of rows; ``others`` returns the parts that one needs."""
    for index, row in enumerate(rows[:_MAX_ROWS]):
        parts = {key: b'[%b]' % row, **others(row)}
        yield from _errors_of(f'{key}[{index}]', _name_of(row), **parts)


def _read(row: bytes, kind: Any) -> Any:
    """Return a row as ``kind``, None if it is invalid."""
    try:
        return msgspec.json.decode(row, type=kind)
    except DECODE_ERRORS:
        return None


def _name_of(row: bytes) -> str:
    named = _read(row, WireService)
    return named.name if named else ''


def _readable(rows: _Rows, kind: Any) -> Iterator[tuple[int, Any]]:
    for index, row in enumerate(rows):
        found = _read(row, kind)
        if found is not None:
            yield index, found


def _naming_service(
    services: _Rows | None,
) -> _OtherParts:
    """Return a function that returns the service of a route, if it is known.

    All are known where the list of services itself is invalid.
    """
    known = {one.name for _, one in _readable(services or (), WireService)}

    def service_of(row: bytes) -> Mapping[str, bytes]:
        route = _read(row, WireRouteService)
        if route and (services is None or route.service in known):
            return {'services': encode((WireService(route.service),))}
        return {}

    return service_of


def _duplicate_routes(rows: _Rows) -> Iterator[ConfigError]:
    first: dict[tuple[str, str], int] = {}
    for index, route in _readable(rows, WireRouteKey):
        key = route.host, route.path_prefix
        other = first.setdefault(key, index)
        if other != index:
            sent = _plain_route(route.host, route.path_prefix)
            yield from _errors_of(
                f'routes[{index}]',
                _name_of(rows[index]),
                f'routes[{other}] has them too',
                routes=encode((sent, sent)),
                services=b'[{"name":""}]',
            )


def _duplicate_names(rows: _Rows) -> Iterator[ConfigError]:
    first: dict[str, int] = {}
    for index, tenant in _readable(rows, WireTenantKey):
        other = first.setdefault(tenant.name, index)
        if other != index:
            sent = WireTenantKey(tenant.name)
            yield from _errors_of(
                f'tenants[{index}]',
                tenant.name,
                f'tenants[{other}] has it too',
                tenants=encode((sent, sent)),
            )


def _duplicate_keys(rows: _Rows) -> Iterator[ConfigError]:
    """Yield the errors of keys that two tenants have, one for each pair."""
    owners: dict[str, tuple[int, str]] = {}
    for index, tenant in _readable(rows, WireTenantKey):
        own = index, tenant.name
        shared = {owners.setdefault(key, own): key for key in tenant.api_keys}
        for (other, name), key in shared.items():
            if name != tenant.name:
                yield from _errors_of(
                    f'tenants[{index}]',
                    tenant.name,
                    f'a key of tenants[{other}]; remove it from one of them',
                    tenants=encode((
                        WireTenantKey(name, (key,)),
                        WireTenantKey(tenant.name, (key,)),
                    )),
                )


def _count_errors(
    services: _Rows, routes: _Rows, tenants: _Rows
) -> Iterator[ConfigError]:
    """Yield the errors of lists that are too long.

    They are those of valid lists that are one longer than what is allowed.
    """
    names = {one.name for _, one in _readable(services, WireService)}
    if len(names) > MAX_QUEUES:
        many = _distinct(WireService, MAX_QUEUES + 1)
        yield from _errors_of('services', services=many)
    if len(routes) > MAX_QUEUES:
        many = _distinct(partial(_plain_route, ''), MAX_QUEUES + 1)
        yield from _errors_of('routes', routes=many, services=b'[{"name":""}]')
    if len(tenants) > MAX_CUSTOMERS:
        many = _distinct(WireTenantKey, MAX_CUSTOMERS + 1)
        yield from _errors_of('tenants', tenants=many)
    if _key_count(tenants) > MAX_KEYS:
        keys = ('key',) * (MAX_KEYS + 1)
        many = encode((WireTenantKey('name', keys),))
        yield from _errors_of('tenants', tenants=many)


def _distinct(make: Callable[[str], Any], count: int) -> bytes:
    return encode([make(str(number)) for number in range(count)])


def _key_count(tenants: _Rows) -> int:
    return sum(
        len(one.api_keys) for _, one in _readable(tenants, WireTenantKey)
    )


def _plain_route(host: str, prefix: str) -> Mapping[str, Any]:
    """Return a valid route of the service with an empty name."""
    return {
        'name': '',
        'host': host,
        'pathPrefix': prefix,
        'service': '',
        'timeoutMs': 1,
    }
