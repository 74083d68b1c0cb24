"""The encoding of messages and records between our own processes.

Every message is a frozen data class with a number of its own.  On the wire
it is that number and the row of its fields, in MessagePack by ``msgspec``.
Numbers are never used again for something else.
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
class _Form:
    tag: int
    kind: type
    row: Callable[[Any], Any]
    decoder: msgspec.msgpack.Decoder


_NUMBERS: dict[int, type] = MappingProxyType({
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
    29: contracts.StopOrder,
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
})


def _form(tag: int, kind: type) -> _Form:
    hints = typing.get_type_hints(kind)
    names = [part.name for part in dataclasses.fields(kind)]
    row_type = tuple[tuple(hints[name] for name in names)]
    getter = attrgetter(*names)
    if len(names) == 1:
        return _Form(
            tag,
            kind,
            lambda message: (getter(message),),
            msgspec.msgpack.Decoder(row_type),
        )
    return _Form(tag, kind, getter, msgspec.msgpack.Decoder(row_type))


_BY_TAG = MappingProxyType({
    tag: _form(tag, kind) for tag, kind in _NUMBERS.items()
})
_BY_KIND = MappingProxyType({form.kind: form for form in _BY_TAG.values()})
_encode = msgspec.msgpack.Encoder().encode
_rows = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])


def encode_batch(messages: Iterable[Any]) -> bytes:
    """Encode messages (or records) of any registered kinds, in order."""
    rows = []
    for message in messages:
        form = _BY_KIND[type(message)]
        rows.append((form.tag, form.row(message)))
    return _encode(rows)


def decode_batch(encoded: bytes) -> list[Any]:
    """Decode what ``encode_batch`` made."""
    messages = []
    for tag, raw in _rows.decode(encoded):
        form = _BY_TAG[tag]
        messages.append(form.kind(*form.decoder.decode(raw)))
    return messages


class BatchCodec(CodecBase):
    """Lets grpclib carry batches, encoded by whoever sends them."""

    __content_subtype__ = 'daisygw'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Pass on a batch that its sender has encoded."""
        return message

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode one batch."""
        return decode_batch(data)
