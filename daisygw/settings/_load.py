"""Reading settings: a base TOML text and an overlay, checked whole.

Every error names the file, the key and the reason.  Nothing is taken from a
file that has a fault anywhere.
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

_NAMED = frozenset({'teams'})


def _fault(source: str, key: str, reason: str) -> SettingsError:
    where = f'{source}: {key}' if key else source
    return SettingsError(ResultCode.SETTINGS_INVALID, f'{where}: {reason}')


def parse(text: str, source: str) -> dict[str, Any]:
    """Parse one TOML text; ``source`` names it in errors."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise _fault(source, '', str(exc)) from exc


def read_text(path: Path) -> str:
    """Read one settings file."""
    try:
        return path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise _fault(str(path), '', str(exc)) from exc


def _unknown_keys(
    raw: Mapping[str, Any],
    kind: type,
    prefix: str,
) -> Iterator[str]:
    hints = typing.get_type_hints(kind)
    for key, given in raw.items():
        if key not in hints:
            yield f'{prefix}{key}'
        elif isinstance(given, dict):
            yield from _unknown_below(given, hints[key], f'{prefix}{key}.')


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
    """Refuse a key that no setting has."""
    unknown = next(_unknown_keys(raw, Settings, ''), None)
    if unknown is not None:
        raise _fault(source, unknown, 'no such setting')


def apply_overlay(
    base: Mapping[str, Any],
    overlay: Mapping[str, Any],
    source: str,
    prefix: str = '',
) -> dict[str, Any]:
    """Return ``base`` with an overlay that changes only what exists."""
    merged = dict(base)
    for key, given in overlay.items():
        if key not in base:
            reason = 'an overlay may change only what the base file sets'
            raise _fault(source, f'{prefix}{key}', reason)
        if isinstance(base[key], dict) and isinstance(given, dict):
            given = apply_overlay(base[key], given, source, f'{prefix}{key}.')
        merged[key] = given
    return merged


def _with_names(raw: Mapping[str, Any]) -> dict[str, Any]:
    """Let each named table know its own name."""
    named = dict(raw)
    for key in _NAMED & set(raw):
        if isinstance(raw[key], dict):
            named[key] = {
                name: {'name': name, **table} if _is_table(table) else table
                for name, table in raw[key].items()
            }
    return named


def _is_table(given: Any) -> bool:
    return isinstance(given, dict)


def _convert(raw: Mapping[str, Any], source: str) -> Settings:
    try:
        return msgspec.convert(_with_names(raw), Settings)
    except msgspec.ValidationError as exc:
        reason, _, path = str(exc).partition(' - at ')
        key = path.strip('`').removeprefix('$').lstrip('.')
        raise _fault(source, key, reason) from exc


def build(base: str, overlay: str, sources: tuple[str, str]) -> Settings:
    """Build settings from two texts; ``sources`` names them in errors."""
    base_name, overlay_name = sources
    raw = parse(base, base_name)
    check_keys(raw, base_name)
    settings = _convert(raw, base_name)
    _check(settings, base_name)
    if not overlay:
        return settings
    over = parse(overlay, overlay_name)
    check_keys(over, overlay_name)
    merged = apply_overlay(raw, over, overlay_name)
    settings = _convert(merged, overlay_name)
    _check(settings, overlay_name)
    return settings


def _check(settings: Settings, source: str) -> None:
    fault = next(check_bounds(settings), None)
    if fault is not None:
        raise _fault(source, *fault)


def load(base: Path, overlay: Path | None) -> Settings:
    """Read settings from files."""
    return build(
        read_text(base),
        read_text(overlay) if overlay else '',
        (str(base), str(overlay)),
    )
