"""Validates what a caller sends, before anything is accepted.

Every invalid field raises an error with a result code and a reason that
names the field.
"""

from collections.abc import Callable, Mapping
from dataclasses import fields
from typing import Any

from daisygw.contracts._codes import ResultCode
from daisygw.contracts._configuration import Configuration, Limits
from daisygw.contracts._errors import ContractError
from daisygw.contracts._request import Contract, Kind, Priority
from daisygw.contracts._size import Size

_INTERNAL_FIELDS = frozenset({'digest', 'spec'})
_CALLER_FIELDS = (
    frozenset(field.name for field in fields(Contract)) - _INTERNAL_FIELDS
)
_SIZE_FIELDS = frozenset({'cpus', 'memory', 'accelerators'})
# Longest name that a caller may choose: short enough for a metrics label and
# a file name.
_MAX_NAME_CHARS = 64
_FIRST_PRINTABLE = '!'
_LAST_PRINTABLE = '~'
_FIRST_SURROGATE = '\ud800'
_LAST_SURROGATE = '\udfff'


def _read_text(raw: Mapping[str, Any], name: str, default: str) -> str:
    value = raw.get(name, default)
    if not isinstance(value, str):
        raise ContractError(ResultCode.BAD_VALUE, f'{name}: must be text')
    # JSON may have half of a surrogate pair, which has no encoding.
    if any(_FIRST_SURROGATE <= char <= _LAST_SURROGATE for char in value):
        raise ContractError(ResultCode.BAD_VALUE, f'{name}: is not Unicode')
    return value


def _read_flag(raw: Mapping[str, Any], name: str, *, default: bool) -> bool:
    value = raw.get(name, default)
    if not isinstance(value, bool):
        raise ContractError(
            ResultCode.BAD_VALUE,
            f'{name}: must be true or false',
        )
    return value


def _read_integer(value: Any, name: str, minimum: int, maximum: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ContractError(
            ResultCode.BAD_SIZE,
            f'{name}: must be a whole number',
        )
    if not minimum <= value <= maximum:
        raise ContractError(
            ResultCode.BAD_SIZE,
            f'{name}: {value} is not from {minimum} to {maximum}',
        )
    return value


def _read_seconds(raw: Mapping[str, Any], name: str, maximum: float) -> float:
    value = raw.get(name, 0)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # NaN is in no range.
    if not is_number or not 0 <= value <= maximum:
        raise ContractError(
            ResultCode.BAD_VALUE,
            f'{name}: must be seconds from 0 to {maximum}',
        )
    return float(value)


def _read_choice(raw: Mapping[str, Any], name: str, kinds: Callable) -> Any:
    value = raw[name]
    try:
        return kinds(value)
    except ValueError:
        allowed = ', '.join(kinds)
        raise ContractError(
            ResultCode.UNKNOWN_KIND,
            f'{name}: {value!r} is not one of {allowed}',
        ) from None


def check_id(request_id: str, limits: Limits) -> str:
    """Return ``request_id``, or raise ``ContractError`` with BAD_ID.

    An id is printable ASCII without spaces and slashes, and not longer than
    ``limits`` allow.
    """
    if not 0 < len(request_id) <= limits.id_length:
        raise ContractError(
            ResultCode.BAD_ID,
            f'id: must have 1 to {limits.id_length} characters',
        )
    printable = all(
        _FIRST_PRINTABLE <= char <= _LAST_PRINTABLE for char in request_id
    )
    if not printable or '/' in request_id:
        raise ContractError(
            ResultCode.BAD_ID,
            'id: must be printable ASCII without spaces or "/"',
        )
    return request_id


def _read_size(raw: Any, limits: Limits) -> Size:
    if not isinstance(raw, dict):
        raise ContractError(ResultCode.BAD_SIZE, 'size: must be an object')
    _reject_unknown_fields(raw, _SIZE_FIELDS, 'size.')
    return Size(
        cpus=_read_integer(raw.get('cpus', 0), 'size.cpus', 0, limits.cpus),
        memory=_read_integer(
            raw.get('memory', 0), 'size.memory', 0, limits.memory
        ),
        accelerators=_read_integer(
            raw.get('accelerators', 0),
            'size.accelerators',
            0,
            limits.accelerators,
        ),
    )


def _reject_unknown_fields(
    raw: Mapping[str, Any],
    allowed: frozenset[str],
    prefix: str = '',
) -> None:
    unknown = sorted(set(raw) - allowed)
    if unknown:
        raise ContractError(
            ResultCode.UNKNOWN_FIELD,
            f'{prefix}{unknown[0]}: unknown field',
        )


def _read_team(raw: Mapping[str, Any], cfg: Configuration) -> str:
    team = _read_text(raw, 'team', '')
    if team not in cfg.teams:
        raise ContractError(
            ResultCode.UNKNOWN_TEAM, f'team: {team!r} is unknown'
        )
    return team


def check_contract(
    raw: Any,
    cfg: Configuration,
    request_id: str,
) -> Contract:
    """Build a contract from a caller's document, or raise ``ContractError``.

    The error's code tells what is wrong, and its reason names the field.
    ``request_id`` is the id of a document that has none of its own.
    """
    if not isinstance(raw, dict):
        raise ContractError(ResultCode.MALFORMED, 'must be a JSON object')
    _reject_unknown_fields(raw, _CALLER_FIELDS)
    limits = cfg.limits
    work = _read_text(raw, 'work', '')
    if len(work) > _MAX_NAME_CHARS:
        raise ContractError(ResultCode.BAD_VALUE, 'work: name is too long')
    return Contract(
        id=check_id(_read_text(raw, 'id', request_id), limits),
        team=_read_team(raw, cfg),
        kind=_read_choice({'kind': 'batch', **raw}, 'kind', Kind),
        priority=_read_choice(
            {'priority': 'normal', **raw}, 'priority', Priority
        ),
        repeatable=_read_flag(raw, 'repeatable', default=True),
        checkpoint=_read_flag(raw, 'checkpoint', default=False),
        count=_read_integer(raw.get('count', 1), 'count', 1, limits.count),
        size=_read_size(raw.get('size', {}), limits),
        deadline=_read_seconds(raw, 'deadline', limits.deadline),
        run=_read_seconds(raw, 'run', limits.deadline),
        work=work,
    )
