"""Compares a configuration with the one in force.

Keys appear as counts and as the first digits of their digests.
"""

import enum
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, fields, is_dataclass
from typing import Any, TypeAlias

from daisygw.cell._config_check import (
    ConfigPart,
    ConfigPlace,
    Finding,
    Severity,
)
from daisygw.contracts import CellConfig, Customer, Queue

# Digits of a key's SHA-256 digest that are shown.
_DIGEST_DIGITS = 8
# Compared as lists of names and as sets of keys instead of as values.
_NOT_VALUES = frozenset({'name', 'keys'})
_LIMITS = ('max_body', 'max_header', 'header_timeout', 'idle_timeout')
_Value: TypeAlias = str | float | None
# An entry's name, and its number among entries with that name.
_Entries: TypeAlias = Mapping[tuple[str, int], tuple[int, Queue | Customer]]


@enum.unique
class ChangeKind(enum.StrEnum):
    """How an entry or a value differs from the version in force."""

    NEW = 'new'
    GONE = 'gone'
    CHANGED = 'changed'


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """A difference from the configuration in force.

    ``before`` and ``after`` are the values at ``place``, None where there is
    none.  For a customer's keys they are counts, and ``added`` and
    ``removed`` the first hexadecimal digits of the keys' digests.
    """

    kind: ChangeKind
    place: ConfigPlace
    before: _Value = None
    after: _Value = None
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


def compare_configs(
    old: CellConfig, new: CellConfig
) -> tuple[ConfigChange, ...]:
    """Return the differences of ``new`` from ``old``, by name.

    The order of queues, services, customers and keys does not count.
    """
    return (
        *_compare_entries(ConfigPart.QUEUES, old.queues, new.queues),
        *_compare_services(old.services, new.services),
        *_compare_presence(old, new),
        *_compare_entries(
            ConfigPart.CUSTOMERS, old.customers or (), new.customers or ()
        ),
        *_compare_values(
            ConfigPlace(ConfigPart.LIMITS),
            {name: getattr(old, name) for name in _LIMITS},
            {name: getattr(new, name) for name in _LIMITS},
        ),
    )


def check_change(old: CellConfig, new: CellConfig) -> tuple[Finding, ...]:
    """Return what prevents the change from ``old``, or makes it risky."""
    return (
        *_check_version(old, new),
        *_check_first_customers(old, new),
        *_check_removed_keys(old, new),
    )


def _check_version(old: CellConfig, new: CellConfig) -> Iterator[Finding]:
    if new.version <= old.version:
        yield Finding(
            Severity.ERROR,
            ConfigPlace(ConfigPart.VERSION),
            f'{new.version} is not higher than the version in force, '
            f'{old.version}: the configuration has no effect',
            f'use {old.version + 1} or a higher version',
        )


def _check_first_customers(
    old: CellConfig, new: CellConfig
) -> Iterator[Finding]:
    closed = any(not queue.public for queue in new.queues)
    if closed and old.customers is None and new.customers is not None:
        yield Finding(
            Severity.WARNING,
            ConfigPlace(ConfigPart.CUSTOMERS),
            'callers without a key are accepted now, and will be refused on '
            'queues that are not public',
            'let all callers send their keys before',
        )


def _check_removed_keys(old: CellConfig, new: CellConfig) -> Iterator[Finding]:
    if new.customers is None:
        return
    valid = {key for customer in new.customers for key in customer.keys}
    for customer in old.customers or ():
        removed = _digits(set(customer.keys) - valid)
        if removed:
            yield Finding(
                Severity.WARNING,
                ConfigPlace(
                    ConfigPart.CUSTOMERS, customer.name, attribute='keys'
                ),
                f'{len(removed)} of {len(set(customer.keys))} keys are '
                'removed: callers that use one are refused within 2.5 s',
                'make sure that all callers use another key',
            )


def _digits(keys: Iterable[bytes]) -> tuple[str, ...]:
    return tuple(sorted(key.hex()[:_DIGEST_DIGITS] for key in keys))


def _compare_services(
    old: tuple[str, ...], new: tuple[str, ...]
) -> Iterator[ConfigChange]:
    for name in sorted(set(old) ^ set(new)):
        kind = ChangeKind.NEW if name in new else ChangeKind.GONE
        yield ConfigChange(kind, ConfigPlace(ConfigPart.SERVICES, name))


def _compare_presence(
    old: CellConfig, new: CellConfig
) -> Iterator[ConfigChange]:
    """Compare whether there are customers at all: without, no key is asked."""
    if (old.customers is None) != (new.customers is None):
        kind = ChangeKind.NEW if old.customers is None else ChangeKind.GONE
        yield ConfigChange(kind, ConfigPlace(ConfigPart.CUSTOMERS))


def _by_name(entries: Iterable[Queue | Customer]) -> _Entries:
    found: dict[tuple[str, int], tuple[int, Queue | Customer]] = {}
    names: Counter[str] = Counter()
    for position, entry in enumerate(entries):
        found[entry.name, names[entry.name]] = position, entry
        names[entry.name] += 1
    return found


def _compare_entries(
    part: ConfigPart,
    old_entries: Iterable[Queue | Customer],
    new_entries: Iterable[Queue | Customer],
) -> Iterator[ConfigChange]:
    old, new = _by_name(old_entries), _by_name(new_entries)
    for key, (position, entry) in new.items():
        place = ConfigPlace(part, entry.name, position)
        known = old.get(key)
        if known is None:
            yield ConfigChange(ChangeKind.NEW, place)
        else:
            yield from _compare_entry(place, known[1], entry)
    for key, (_, entry) in old.items():
        if key not in new:
            yield ConfigChange(ChangeKind.GONE, ConfigPlace(part, entry.name))


def _compare_entry(
    place: ConfigPlace, old: Queue | Customer, new: Queue | Customer
) -> Iterator[ConfigChange]:
    yield from _compare_values(place, _values(old), _values(new))
    before = frozenset(getattr(old, 'keys', ()))
    after = frozenset(getattr(new, 'keys', ()))
    if before != after:
        yield ConfigChange(
            ChangeKind.CHANGED,
            _at(place, 'keys'),
            len(before),
            len(after),
            _digits(after - before),
            _digits(before - after),
        )


def _values(entry: Any) -> dict[str, _Value]:
    """Return the values of a data class; those of nested ones have dots."""
    found: dict[str, _Value] = {}
    for part in fields(entry):
        own = getattr(entry, part.name)
        if is_dataclass(own):
            nested = _values(own).items()
            found |= {f'{part.name}.{name}': one for name, one in nested}
        elif part.name not in _NOT_VALUES:
            found[part.name] = own
    return found


def _compare_values(
    place: ConfigPlace, old: Mapping[str, _Value], new: Mapping[str, _Value]
) -> Iterator[ConfigChange]:
    names = dict.fromkeys((*old, *new))
    for name in names:
        before, after = old.get(name), new.get(name)
        if before != after:
            yield ConfigChange(
                ChangeKind.CHANGED, _at(place, name), before, after
            )


def _at(place: ConfigPlace, attribute: str) -> ConfigPlace:
    return ConfigPlace(place.part, place.name, place.position, attribute)
