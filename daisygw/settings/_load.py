"""Loading of settings from a base TOML text and an overlay.

Every error names the file, the key and the reason.  A file with any invalid
value is rejected as a whole.
"""

import dataclasses
import tomllib
import typing
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from daisygw.contracts import ResultCode, SettingsError
from daisygw.settings._bounds import check_bounds
from daisygw.settings._schema import Settings

# Sections whose tables are also given their own name as a field.
_TABLES_WITH_NAMES = frozenset({'teams'})


def _settings_error(source: str, key: str, reason: str) -> SettingsError:
    where = f'{source}: {key}' if key else source
    return SettingsError(ResultCode.SETTINGS_INVALID, f'{where}: {reason}')


def parse(text: str, source: str) -> dict[str, Any]:
    """Parse a TOML text; ``source`` names it in a SettingsError."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise _settings_error(source, '', str(exc)) from exc


def read_text(path: Path) -> str:
    """Read a settings file; raises SettingsError if it is unreadable."""
    try:
        return path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise _settings_error(str(path), '', str(exc)) from exc


def _unknown_keys(
    raw: Mapping[str, Any],
    kind: type,
    prefix: str,
) -> Iterator[str]:
    hints = typing.get_type_hints(kind)
    for key, value in raw.items():
        if key not in hints:
            yield f'{prefix}{key}'
        elif isinstance(value, dict):
            yield from _unknown_below(value, hints[key], f'{prefix}{key}.')


def _unknown_below(
    raw: Mapping[str, Any],
    kind: Any,
    prefix: str,
) -> Iterator[str]:
    if dataclasses.is_dataclass(kind):
        yield from _unknown_keys(raw, kind, prefix)
    elif typing.get_origin(kind) is dict:
        inner = typing.get_args(kind)[1]
        for name, table in raw.items():
            if isinstance(table, dict):
                yield from _unknown_keys(table, inner, f'{prefix}{name}.')


def check_keys(raw: Mapping[str, Any], source: str) -> None:
    """Raise SettingsError for the first unknown key."""
    unknown = next(_unknown_keys(raw, Settings, ''), None)
    if unknown is not None:
        raise _settings_error(source, unknown, 'unknown setting')


def apply_overlay(
    base: Mapping[str, Any],
    overlay: Mapping[str, Any],
    source: str,
    prefix: str = '',
) -> dict[str, Any]:
    """Return ``base`` merged with ``overlay``.

    Raises SettingsError for a key that ``base`` does not set; ``prefix`` is
    the key path of both tables.
    """
    merged = dict(base)
    for key, value in overlay.items():
        if key not in base:
            reason = 'an overlay can only override keys set in the base file'
            raise _settings_error(source, f'{prefix}{key}', reason)
        if isinstance(base[key], dict) and isinstance(value, dict):
            value = apply_overlay(base[key], value, source, f'{prefix}{key}.')
        merged[key] = value
    return merged


def _add_table_names(raw: Mapping[str, Any]) -> dict[str, Any]:
    """Add each table's own name to it, in the sections that need it."""
    with_names = dict(raw)
    for key in _TABLES_WITH_NAMES & set(raw):
        if isinstance(raw[key], dict):
            with_names[key] = {
                name: {'name': name, **table} if _is_table(table) else table
                for name, table in raw[key].items()
            }
    return with_names


def _is_table(value: Any) -> bool:
    return isinstance(value, dict)


def _convert(raw: Mapping[str, Any], source: str) -> Settings:
    try:
        return msgspec.convert(_add_table_names(raw), Settings)
    except msgspec.ValidationError as exc:
        reason, _, path = str(exc).partition(' - at ')
        key = path.strip('`').removeprefix('$').lstrip('.')
        raise _settings_error(source, key, reason) from exc


def build(base: str, overlay: str, sources: tuple[str, str]) -> Settings:
    """Build settings from two TOML texts; raises ``SettingsError``.

    The base must be valid without the overlay too.  An empty overlay is
    skipped; ``sources`` names the two texts in the error.
    """
    base_name, overlay_name = sources
    raw = parse(base, base_name)
    check_keys(raw, base_name)
    settings = _convert(raw, base_name)
    _check_bounds(settings, base_name)
    if not overlay:
        return settings
    overlay_tables = parse(overlay, overlay_name)
    check_keys(overlay_tables, overlay_name)
    merged = apply_overlay(raw, overlay_tables, overlay_name)
    settings = _convert(merged, overlay_name)
    _check_bounds(settings, overlay_name)
    return settings


def _check_bounds(settings: Settings, source: str) -> None:
    violation = next(check_bounds(settings), None)
    if violation is not None:
        raise _settings_error(source, *violation)


def load(base: Path, overlay: Path | None) -> Settings:
    """Load settings from files; raises ``SettingsError``."""
    return build(
        read_text(base),
        read_text(overlay) if overlay else '',
        (str(base), str(overlay)),
    )
