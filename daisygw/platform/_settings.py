"""Parses the platform's settings file: lines of ``name=value``."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from daisygw.contracts import ContractError, ResultCode, SettingsError
from daisygw.links import log
from daisygw.links.processes import (
    DEFAULT_MEMORY_MIB,
    BudgetLimits,
    budget_limits,
    descriptor_limit,
)
from daisygw.machines import check_address
from daisygw.nodes import NodeSettings

BOOT_VARIABLE = 'DAISYGW_BOOT'
_MS_PER_S = 1000
# Longest duration of a setting (ms).
_DAY_MS = 86_400_000
_MAX_PORT = 65_535
# One digit more than a port has.
_PORT_DIGITS = 6
_BOOLEANS = frozenset({'true', 'false'})


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one process on the platform.

    ``callers``, ``readiness``, ``control`` and ``metrics`` are addresses to
    listen on; the first three are empty if the process does not serve them.
    ``advisor`` is the address of the placement advisor, ``clients`` what
    HTTP clients may make the process hold.  Workers stop a task within
    ``stop_time`` (s).
    """

    node: NodeSettings
    callers: str
    readiness: str
    control: str
    advisor: str
    metrics: str
    clients: BudgetLimits
    stop_time: float


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


def _positive(raw: Mapping[str, str], key: str, default: str) -> float:
    """Return a number above 0 that is no more than a day in ms."""
    value = raw.get(key) or default
    try:
        number = float(value)
    except ValueError as exc:
        raise _settings_error(key, f'{value!r} is not a number') from exc
    if not 0 < number <= _DAY_MS:
        raise _settings_error(key, f'{value} is not between 0 and {_DAY_MS}')
    return number


def read_port(key: str, value: str) -> int:
    """Return a port number; raises ``SettingsError`` (SETTINGS_INVALID)."""
    is_number = value.isascii() and value.isdecimal()
    if not is_number or not 0 < int(value[:_PORT_DIGITS]) <= _MAX_PORT:
        reason = f'{value!r} is not a port from 1 to {_MAX_PORT}'
        raise _settings_error(key, reason)
    return int(value)


def _address(raw: Mapping[str, str], key: str) -> str:
    """Return an address to listen on or to call, or '' where there is none."""
    address = raw.get(key, '')
    if address:
        _check_address(key, address)
    return address


def _check_address(key: str, address: str) -> None:
    try:
        check_address(key, address)
    except ContractError as exc:
        raise SettingsError(ResultCode.SETTINGS_INVALID, exc.reason) from exc


def _clients(raw: Mapping[str, str]) -> BudgetLimits:
    """Derive what clients may use from the limits of the host, if it has any.

    A limit of 0 is none.
    """
    names = ('limits.memoryMb', 'limits.maxFds')
    memory, descriptors = (
        _positive(raw, name, '') if raw.get(name, '0') != '0' else 0
        for name in names
    )
    return budget_limits(
        memory or DEFAULT_MEMORY_MIB, int(descriptors) or descriptor_limit()
    )


def _seeds(raw: Mapping[str, str]) -> tuple[str, ...]:
    """Return the seed hosts, without the ports, which links do not use.

    One that is no address is left out: the others are a way in.
    """
    seeds = []
    for address in raw.get('seedNodes', '').split(','):
        try:
            check_address('seedNodes', address)
        except ContractError as exc:
            if address:
                log('seed ignored', address=address, reason=exc.reason)
        else:
            seeds.append(address.rpartition(':')[0])
    return tuple(seeds)


def load_settings(path: Path, metrics_port: int) -> PlatformSettings:
    """Read and validate the settings file, which lacks ``metrics_port``.

    Unknown fields are ignored.  Raises ``SettingsError`` (SETTINGS_INVALID).
    """
    raw = _read_file(path)
    ports = _required(raw, 'internalPorts')
    data = raw.get('dataDir', '')
    node = NodeSettings(
        name=_required(raw, 'nodeName'),
        host=_required(raw, 'ip'),
        domain=_required(raw, 'zone'),
        port=read_port('internalPorts', ports.partition(',')[0].strip()),
        seeds=_seeds(raw),
        first_start=_boolean(raw, 'bootstrap'),
        data=Path(data) if data else None,
        grace=_positive(raw, 'bounds.graceS', '6'),
        longest_lease=_positive(raw, 'bounds.holdMaxMs', '4000') / _MS_PER_S,
    )
    return PlatformSettings(
        node=node,
        callers=_address(raw, 'listenAddrs.frontend'),
        readiness=_address(raw, 'listenAddrs.ready'),
        control=_address(raw, 'listenAddrs.controlPlane'),
        advisor=_address(raw, 'placementAdvisor'),
        metrics=f'{node.host}:{metrics_port}',
        clients=_clients(raw),
        stop_time=_positive(raw, 'bounds.stopTimeoutMs', '400') / _MS_PER_S,
    )
