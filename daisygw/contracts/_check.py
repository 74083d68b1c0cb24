"""Checks of what a caller sends, before anything is accepted.

Every fault is a numbered error that names the field and the reason.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import fields
from typing import Any

from daisygw.contracts._codes import ResultCode
from daisygw.contracts._configuration import Configuration, Limits
from daisygw.contracts._errors import ContractError
from daisygw.contracts._request import Contract, Kind, Priority
from daisygw.contracts._size import Size

_OUR_FIELDS = frozenset({'digest', 'spec'})
_FIELDS = frozenset(part.name for part in fields(Contract)) - _OUR_FIELDS
_SIZE_FIELDS = frozenset({'cpus', 'memory', 'accelerators'})
# Longest name, characters: fits a label of the metrics and a file name.
_MAX_NAME = 64
_FIRST_PRINTABLE = '!'
_LAST_PRINTABLE = '~'


def _text(raw: Mapping[str, Any], name: str, default: str) -> str:
    given = raw.get(name, default)
    if not isinstance(given, str):
        raise ContractError(ResultCode.BAD_VALUE, f'{name}: must be text')
    return given


def _flag(raw: Mapping[str, Any], name: str, *, default: bool) -> bool:
    given = raw.get(name, default)
    if not isinstance(given, bool):
        raise ContractError(
            ResultCode.BAD_VALUE,
            f'{name}: must be true or false',
        )
    return given


def _whole(given: Any, name: str, low: int, high: int) -> int:
    if isinstance(given, bool) or not isinstance(given, int):
        raise ContractError(
            ResultCode.BAD_SIZE,
            f'{name}: must be a whole number',
        )
    if not low <= given <= high:
        raise ContractError(
            ResultCode.BAD_SIZE,
            f'{name}: {given} is not from {low} to {high}',
        )
    return given


def _seconds(raw: Mapping[str, Any], name: str, high: float) -> float:
    given = raw.get(name, 0)
    number = isinstance(given, int | float) and not isinstance(given, bool)
    if not number or not math.isfinite(given) or not 0 <= given <= high:
        raise ContractError(
            ResultCode.BAD_VALUE,
            f'{name}: must be seconds from 0 to {high}',
        )
    return float(given)


def _choice(raw: Mapping[str, Any], name: str, kinds: Callable) -> Any:
    given = raw[name]
    try:
        return kinds(given)
    except ValueError:
        known = ', '.join(kinds)
        raise ContractError(
            ResultCode.UNKNOWN_KIND,
            f'{name}: {given!r} is not one of {known}',
        ) from None


def check_id(request_id: str, limits: Limits) -> str:
    """Return ``request_id`` if it is printable and not over-long."""
    if not 0 < len(request_id) <= limits.id_length:
        raise ContractError(
            ResultCode.BAD_ID,
            f'id: must have 1 to {limits.id_length} characters',
        )
    printable = all(
        _FIRST_PRINTABLE <= sign <= _LAST_PRINTABLE for sign in request_id
    )
    if not printable or '/' in request_id:
        raise ContractError(
            ResultCode.BAD_ID,
            'id: must be printable ASCII without spaces or "/"',
        )
    return request_id


def _check_size(raw: Any, limits: Limits) -> Size:
    if not isinstance(raw, dict):
        raise ContractError(ResultCode.BAD_SIZE, 'size: must be a table')
    _refuse_unknown(raw, _SIZE_FIELDS, 'size.')
    return Size(
        cpus=_whole(raw.get('cpus', 0), 'size.cpus', 0, limits.cpus),
        memory=_whole(raw.get('memory', 0), 'size.memory', 0, limits.memory),
        accelerators=_whole(
            raw.get('accelerators', 0),
            'size.accelerators',
            0,
            limits.accelerators,
        ),
    )


def _refuse_unknown(
    raw: Mapping[str, Any],
    known: frozenset[str],
    prefix: str = '',
) -> None:
    unknown = sorted(set(raw) - known)
    if unknown:
        raise ContractError(
            ResultCode.UNKNOWN_FIELD,
            f'{prefix}{unknown[0]}: no such field',
        )


def _check_team(raw: Mapping[str, Any], cfg: Configuration) -> str:
    team = _text(raw, 'team', '')
    if team not in cfg.teams:
        raise ContractError(ResultCode.UNKNOWN_TEAM, f'team: {team!r}')
    return team


def check_contract(
    raw: Any,
    cfg: Configuration,
    request_id: str,
) -> Contract:
    """Build a contract from a caller's document, or raise with a code.

    ``request_id`` is taken where the document names no id.
    """
    if not isinstance(raw, dict):
        raise ContractError(ResultCode.MALFORMED, 'must be a JSON object')
    _refuse_unknown(raw, _FIELDS)
    limits = cfg.limits
    work = _text(raw, 'work', '')
    if len(work) > _MAX_NAME:
        raise ContractError(ResultCode.BAD_VALUE, 'work: name is too long')
    return Contract(
        id=check_id(_text(raw, 'id', request_id), limits),
        team=_check_team(raw, cfg),
        kind=_choice({'kind': 'batch', **raw}, 'kind', Kind),
        priority=_choice({'priority': 'normal', **raw}, 'priority', Priority),
        repeatable=_flag(raw, 'repeatable', default=True),
        checkpoint=_flag(raw, 'checkpoint', default=False),
        count=_whole(raw.get('count', 1), 'count', 1, limits.count),
        size=_check_size(raw.get('size', {}), limits),
        deadline=_seconds(raw, 'deadline', limits.deadline),
        run=_seconds(raw, 'run', limits.deadline),
        work=work,
    )
