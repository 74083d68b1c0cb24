"""Parses the platform's settings file: lines of ``name=value``."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from daisygw.contracts import ResultCode, SettingsError
from daisygw.nodes import NodeSettings

BOOT_VARIABLE = 'DAISYGW_BOOT'
_MS_PER_S = 1000
_BOOLEANS = frozenset({'true', 'false'})


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one process on the platform.

    ``callers``, ``readiness``, ``control`` and ``metrics`` are addresses to
    listen on; the first three are empty if the process does not serve them.
    ``advisor`` is the address of the placement advisor.
    """

    node: NodeSettings
    callers: str
    readiness: str
    control: str
    advisor: str
    metrics: str


def _settings_error(key: str, reason: str) -> SettingsError:
    return SettingsError(ResultCode.SETTINGS_INVALID, f'{key}: {reason}')


def _read_file(path: Path) -> Mapping[str, str]:
    try:
        lines = path.read_text('utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as exc:
        raise _settings_error(str(path), str(exc)) from exc
    pairs = (line.partition('=') for line in lines if '=' in line)
    return {name.strip(): text.strip() for name, _, text in pairs}


def _required(raw: Mapping[str, str], key: str) -> str:
    if not raw.get(key):
        raise _settings_error(key, 'missing')
    return raw[key]


def _boolean(raw: Mapping[str, str], key: str) -> bool:
    value = raw.get(key, 'false')
    if value not in _BOOLEANS:
        raise _settings_error(key, f'{value!r} is neither true nor false')
    return value == 'true'


def _number(raw: Mapping[str, str], key: str, default: str) -> float:
    value = raw.get(key) or default
    try:
        return float(value)
    except ValueError as exc:
        raise _settings_error(key, f'{value!r} is not a number') from exc


def _port(raw: Mapping[str, str], position: int) -> int:
    ports = _required(raw, 'internalPorts').split(',')
    try:
        return int(ports[position])
    except (ValueError, IndexError) as exc:
        raise _settings_error(
            'internalPorts', 'must be two port numbers'
        ) from exc


def _seeds(raw: Mapping[str, str]) -> tuple[str, ...]:
    """Return the seed hosts, without the ports, which links do not use."""
    addresses = raw.get('seedNodes', '').split(',')
    return tuple(
        address.rpartition(':')[0] for address in addresses if ':' in address
    )


def load_settings(path: Path, metrics_port: int) -> PlatformSettings:
    """Read and validate the settings file, which lacks ``metrics_port``.

    Unknown fields are ignored.  Raises ``SettingsError`` (SETTINGS_INVALID).
    """
    raw = _read_file(path)
    data = raw.get('dataDir', '')
    node = NodeSettings(
        name=_required(raw, 'nodeName'),
        host=_required(raw, 'ip'),
        domain=_required(raw, 'zone'),
        port=_port(raw, 0),
        seeds=_seeds(raw),
        first_start=_boolean(raw, 'bootstrap'),
        data=Path(data) if data else None,
        grace=_number(raw, 'bounds.graceS', '6'),
        longest_lease=_number(raw, 'bounds.holdMaxMs', '4000') / _MS_PER_S,
    )
    return PlatformSettings(
        node=node,
        callers=raw.get('listenAddrs.frontend', ''),
        readiness=raw.get('listenAddrs.ready', ''),
        control=raw.get('listenAddrs.controlPlane', ''),
        advisor=raw.get('placementAdvisor', ''),
        metrics=f'{node.host}:{metrics_port}',
    )
