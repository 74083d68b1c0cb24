"""Encoding of the messages and log records of our own processes.

Every message is a frozen data class with a numeric tag.  On the wire it is
that tag and the tuple of its field values in order, encoded as MessagePack by
``msgspec``.  A tag is never reused for another type.  A new field is the last
one and has a default, which it gets where a row from before lacks it.
"""

import dataclasses
import typing
from collections.abc import Callable, Iterable, Iterator
from operator import attrgetter
from types import MappingProxyType
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from daisygw import contracts, machines, zones
from daisygw.links._logs import log_error

# What the encoder raises for a value without an encoding: an integer of more
# than 64 bits, half of a surrogate pair, a foreign type, a deep nesting.
_ENCODE_ERRORS = (
    OverflowError,
    UnicodeError,
    TypeError,
    ValueError,
    RecursionError,
    KeyError,
)
# What reading one row raises: a value of another type, or an unknown tag.
DECODE_ERRORS = (msgspec.MsgspecError, KeyError, TypeError, RecursionError)
_STORE_ERRORS = (*_ENCODE_ERRORS, msgspec.MsgspecError)


@dataclasses.dataclass(frozen=True, slots=True)
class _MessageFormat:
    tag: int
    kind: type
    row: Callable[[Any], Any]
    decoder: msgspec.msgpack.Decoder


_TYPES_BY_TAG: dict[int, type] = MappingProxyType({
    1: contracts.JobAccepted,
    2: contracts.TaskPlaced,
    3: contracts.TaskEnded,
    4: contracts.TaskRequeued,
    5: contracts.JobPurged,
    6: contracts.RefusalsCounted,
    7: contracts.ConfigChanged,
    8: machines.TargetListed,
    9: machines.TargetDropped,
    10: machines.TargetDrained,
    11: machines.TargetQuarantined,
    20: contracts.Submit,
    21: contracts.TaskReport,
    22: contracts.Cancel,
    23: contracts.Drain,
    24: contracts.Query,
    25: contracts.Change,
    26: contracts.SchedulerResponse,
    27: contracts.TaskSettled,
    28: contracts.TaskStartOrder,
    29: contracts.TaskStopOrder,
    32: contracts.SelectGroup,
    33: contracts.LeaderStatus,
    34: contracts.RefusedAtEntry,
    35: contracts.ConfigAtBoot,
    36: contracts.OrderRejected,
    30: machines.ForwardedAnnouncement,
    31: machines.AnnouncementAccepted,
    40: zones.Hello,
    41: zones.HelloReply,
    42: zones.FormGroup,
    43: zones.VoteRequest,
    44: zones.VoteReply,
    45: zones.Append,
    46: zones.AppendReply,
    47: zones.SnapshotPart,
    48: zones.SnapshotReply,
    49: zones.TimeoutNow,
    60: zones.LogEntry,
    70: contracts.JobRequest,
    71: contracts.ConfigRequest,
    72: contracts.CellResponse,
    73: contracts.AdviceRequest,
    74: contracts.AdviceResponse,
    75: contracts.SchedulerList,
    76: machines.TargetReport,
    80: contracts.ConfigStored,
    81: contracts.JobEnqueued,
    82: contracts.JobCancelled,
    83: contracts.JobsPurged,
    84: contracts.RunsPlaced,
    85: contracts.RunFinished,
    86: contracts.InstanceClosed,
    87: contracts.InstanceEnded,
    88: contracts.EndsAcknowledged,
    89: contracts.StepSnapshot,
    90: machines.InstanceListed,
    91: contracts.QueueRetained,
    92: contracts.JobStarted,
    93: contracts.CancelNoted,
    94: contracts.CancelsPurged,
})


def _make_format(tag: int, kind: type) -> _MessageFormat:
    names = [part.name for part in dataclasses.fields(kind)]
    decoder = msgspec.msgpack.Decoder(_row_type(kind))
    getter = attrgetter(*names)
    if len(names) == 1:
        return _MessageFormat(
            tag, kind, lambda message: (getter(message),), decoder
        )
    return _MessageFormat(tag, kind, getter, decoder)


def _row_type(kind: type) -> type:
    """Return a type for rows, whose last fields may be absent if optional."""
    hints = typing.get_type_hints(kind)
    row_fields = [
        (part.name, hints[part.name])
        if part.default is dataclasses.MISSING
        else (part.name, hints[part.name], part.default)
        for part in dataclasses.fields(kind)
    ]
    return msgspec.defstruct(kind.__name__, row_fields, array_like=True)


_FORMATS_BY_TAG = MappingProxyType({
    tag: _make_format(tag, kind) for tag, kind in _TYPES_BY_TAG.items()
})
_FORMATS_BY_TYPE = MappingProxyType({
    message_format.kind: message_format
    for message_format in _FORMATS_BY_TAG.values()
})
_encode = msgspec.msgpack.Encoder().encode
_row_of = msgspec.structs.astuple
_rows_decoder = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])


def encode_batch(messages: Iterable[Any]) -> bytes:
    """Encode messages or records of any registered types, in order."""
    rows = []
    for message in messages:
        message_format = _FORMATS_BY_TYPE[type(message)]
        rows.append((message_format.tag, message_format.row(message)))
    return _encode(rows)


def check_storable(message: Any) -> None:
    """Check that a message or record can be encoded, and read again.

    Raises ``ContractError`` (NOT_STORABLE).
    """
    try:
        decode_batch(encode_batch((message,)))
    except _STORE_ERRORS as exc:
        reason = f'{type(message).__name__}: {exc}'
        raise contracts.ContractError(
            contracts.ResultCode.NOT_STORABLE, reason
        ) from exc


def encode_storable(
    messages: Iterable[Any],
    on_refused: Callable[[Any, contracts.ContractError], None],
) -> bytes:
    """Encode messages, without those that have no encoding.

    ``on_refused`` is called with each of these and its error.
    """
    batch = list(messages)
    try:
        return encode_batch(batch)
    except _ENCODE_ERRORS:
        return encode_batch(list(_storable(batch, on_refused)))


def _storable(
    batch: list[Any],
    on_refused: Callable[[Any, contracts.ContractError], None],
) -> Iterator[Any]:
    for message in batch:
        try:
            check_storable(message)
        except contracts.ContractError as exc:
            on_refused(message, exc)
        else:
            yield message


def _raise_error(tag: int, exc: Exception) -> None:
    raise exc


def decode_batch(
    encoded: bytes,
    on_unreadable: Callable[[int, Exception], None] = _raise_error,
) -> list[Any]:
    """Decode the result of ``encode_batch``.

    ``on_unreadable`` is called with the tag and the error of each message
    that cannot be read; the others are returned.
    """
    messages = []
    for tag, raw in _rows_decoder.decode(encoded):
        try:
            message = _decode_row(tag, raw)
        except DECODE_ERRORS as exc:
            on_unreadable(tag, exc)
        else:
            messages.append(message)
    return messages


def _decode_row(tag: int, raw: msgspec.Raw) -> Any:
    message_format = _FORMATS_BY_TAG[tag]
    return message_format.kind(*_row_of(message_format.decoder.decode(raw)))


def _log_unreadable(tag: int, exc: Exception) -> None:
    log_error('message unreadable', exc, tag=tag)


class BatchCodec(CodecBase):
    """Lets grpclib carry batches that the sender has already encoded."""

    __content_subtype__ = 'daisygw'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return an already encoded batch unchanged."""
        return message

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode one batch, without the messages that cannot be read."""
        return decode_batch(data, _log_unreadable)
