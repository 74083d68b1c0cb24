"""Encoding of the messages and log records of our own processes.

Every message is a frozen data class with a numeric tag.  On the wire it is
that tag and the tuple of its field values in order, encoded as MessagePack by
``msgspec``.  A tag is never reused for another type.
"""

import dataclasses
import typing
from collections.abc import Callable, Iterable
from operator import attrgetter
from types import MappingProxyType
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from daisygw import contracts, machines, zones


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
    5: contracts.JobForgotten,
    6: contracts.RefusalsTallied,
    7: contracts.ConfigChanged,
    8: machines.TargetListed,
    9: machines.TargetDropped,
    10: machines.TargetDrained,
    11: machines.TargetSetAside,
    20: contracts.Submit,
    21: contracts.TaskReport,
    22: contracts.Cancel,
    23: contracts.Drain,
    24: contracts.Query,
    25: contracts.Change,
    26: contracts.Answer,
    27: contracts.TaskSettled,
    28: contracts.Order,
    29: contracts.StopOrder,
    32: contracts.About,
    33: contracts.LeaderIs,
    34: contracts.RefusedAtEntry,
    35: contracts.ConfigAtBoot,
    36: contracts.Abandoned,
    30: machines.Announced,
    31: machines.AnnouncementTaken,
    40: zones.Hello,
    41: zones.HelloReply,
    42: zones.Form,
    43: zones.VoteRequest,
    44: zones.VoteReply,
    45: zones.Append,
    46: zones.AppendReply,
    47: zones.SnapshotPart,
    48: zones.SnapshotReply,
    49: zones.TakeOver,
    60: zones.LogEntry,
    70: contracts.JobAsk,
    71: contracts.ConfigAsk,
    72: contracts.CellAnswer,
    73: contracts.AdviceAsk,
    74: contracts.AdviceAnswer,
    75: contracts.Roster,
    76: machines.TargetReport,
    80: contracts.ConfigStored,
    81: contracts.JobEntered,
    82: contracts.JobWithdrawn,
    83: contracts.JobsForgotten,
    84: contracts.RunsPlaced,
    85: contracts.RunOver,
    86: contracts.LifeClosed,
    87: contracts.LifeOver,
    88: contracts.EndsNoted,
    89: contracts.StepKept,
    90: machines.LifeListed,
})


def _make_format(tag: int, kind: type) -> _MessageFormat:
    hints = typing.get_type_hints(kind)
    names = [part.name for part in dataclasses.fields(kind)]
    row_type = tuple[tuple(hints[name] for name in names)]
    getter = attrgetter(*names)
    if len(names) == 1:
        return _MessageFormat(
            tag,
            kind,
            lambda message: (getter(message),),
            msgspec.msgpack.Decoder(row_type),
        )
    return _MessageFormat(tag, kind, getter, msgspec.msgpack.Decoder(row_type))


_FORMATS_BY_TAG = MappingProxyType({
    tag: _make_format(tag, kind) for tag, kind in _TYPES_BY_TAG.items()
})
_FORMATS_BY_TYPE = MappingProxyType({
    message_format.kind: message_format
    for message_format in _FORMATS_BY_TAG.values()
})
_encode = msgspec.msgpack.Encoder().encode
_rows = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])


def encode_batch(messages: Iterable[Any]) -> bytes:
    """Encode messages or records of any registered types, in order."""
    rows = []
    for message in messages:
        message_format = _FORMATS_BY_TYPE[type(message)]
        rows.append((message_format.tag, message_format.row(message)))
    return _encode(rows)


def decode_batch(encoded: bytes) -> list[Any]:
    """Decode the result of ``encode_batch``."""
    messages = []
    for tag, raw in _rows.decode(encoded):
        message_format = _FORMATS_BY_TAG[tag]
        messages.append(
            message_format.kind(*message_format.decoder.decode(raw))
        )
    return messages


class BatchCodec(CodecBase):
    """Lets grpclib carry batches that the sender has already encoded."""

    __content_subtype__ = 'daisygw'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return an already encoded batch unchanged."""
        return message

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode one batch."""
        return decode_batch(data)
