"""The journal: one replica's term, vote and log in files of a data folder.

A record is a header (length, check of the length, check of the payload) and
a payload.  A record cut short at the end is a write that was never
acknowledged, and is dropped.  Anything else that does not check is damage:
the replica gives up its files and joins its group as a new one.
"""

import os
import struct
import time
import zlib
from collections.abc import Generator, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from daisygw.contracts import JournalError, ResultCode
from daisygw.zones import LogEntry, Members, Persist, SnapshotTaken

_HEADER = struct.Struct('<III')
_LOG = 'log'
_SNAPSHOT = 'snapshot'
_NAME = 'name'
_HARD = 1
_ENTRY = 2
_CUT = 3
# How much the newest sync counts for the mean of their times.
_SYNC_RATE = 0.3
_encode = msgspec.msgpack.Encoder().encode
_decode_record = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw]).decode
_decode_hard = msgspec.msgpack.Decoder(
    tuple[int, str, Members, int],
).decode
_decode_entry = msgspec.msgpack.Decoder(LogEntry).decode
_decode_cut = msgspec.msgpack.Decoder(int).decode
_decode_snapshot = msgspec.msgpack.Decoder(SnapshotTaken).decode


class Journal:
    """An open journal in ``folder``, which belongs to it alone."""

    def __init__(self, folder: Path, name: str) -> None:
        """Keep the folder and the replica's name; the log opens later."""
        self.folder = folder
        self.name = name
        self.log: BinaryIO | None = None
        self.synced_bytes = 0
        self.syncs = 0
        self.end = 0
        self.sync_time = 0.0


def _frame(payload: bytes) -> bytes:
    length = len(payload).to_bytes(4, 'little')
    header = _HEADER.pack(
        len(payload),
        zlib.crc32(length),
        zlib.crc32(payload),
    )
    return header + payload


def _damaged(path: Path, offset: int) -> JournalError:
    return JournalError(
        ResultCode.JOURNAL_CORRUPT,
        f'{path.parent.name}/{path.name}: damaged record at byte {offset}',
    )


def _read_frames(path: Path) -> Iterator[tuple[int, bytes]]:
    stored = path.read_bytes()
    offset = 0
    while offset + _HEADER.size <= len(stored):
        length, length_check, check = _HEADER.unpack_from(stored, offset)
        if zlib.crc32(length.to_bytes(4, 'little')) != length_check:
            raise _damaged(path, offset)
        start = offset + _HEADER.size
        end = start + length
        if end > len(stored):
            return
        payload = stored[start:end]
        if zlib.crc32(payload) != check:
            raise _damaged(path, offset)
        yield end, payload
        offset = end


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _replace(path: Path, content: bytes) -> None:
    fresh = path.with_suffix('.new')
    with fresh.open('wb') as stream:
        stream.write(content)
        stream.flush()
        os.fsync(stream.fileno())
    fresh.rename(path)
    _sync_folder(path.parent)


def _records(persist: Persist) -> Iterator[bytes]:
    hard = (persist.term, persist.vote, persist.members, persist.commit)
    yield _frame(_encode((_HARD, hard)))
    if persist.cut:
        yield _frame(_encode((_CUT, persist.cut)))
    for entry in persist.entries:
        yield _frame(_encode((_ENTRY, entry)))


@contextmanager
def _disk_errors() -> Generator[None, None, None]:
    try:
        yield
    except OSError as exc:
        raise JournalError(ResultCode.DISK_FAILED, str(exc)) from exc


def save(journal: Journal, persist: Persist) -> None:
    """Make a step of the replica durable; return only once it is."""
    with _disk_errors():
        if persist.snapshot is not None:
            _save_snapshot(journal, persist)
            return
        _append(journal, b''.join(_records(persist)))


def _append(journal: Journal, content: bytes) -> None:
    """Write and sync; what an earlier try left behind is cut off first."""
    log = journal.log
    if log.tell() != journal.end:
        log.truncate(journal.end)
        log.seek(journal.end)
    begun = time.monotonic()
    try:
        _write(log, content)
        os.fdatasync(log.fileno())
    except OSError:
        log.seek(0, os.SEEK_END)
        raise
    journal.end += len(content)
    journal.syncs += 1
    journal.synced_bytes += len(content)
    took = time.monotonic() - begun
    journal.sync_time += _SYNC_RATE * (took - journal.sync_time)


def _write(log: BinaryIO, content: bytes) -> None:
    written = log.write(content)
    if written != len(content):
        raise OSError('the disk took only a part of the record')


def _save_snapshot(journal: Journal, persist: Persist) -> None:
    """Replace snapshot and log; the log names the snapshot it follows."""
    snapshot = _frame(_encode(persist.snapshot))
    _replace(journal.folder / _SNAPSHOT, snapshot)
    if journal.log:
        journal.log.close()
    _replace(journal.folder / _LOG, b''.join(_records(persist)))
    _open(journal)


def _open(journal: Journal) -> None:
    journal.log = _open_log(journal.folder)
    journal.end = journal.log.seek(0, os.SEEK_END)


def _open_log(folder: Path) -> BinaryIO:
    return (folder / _LOG).open('ab', buffering=0)


def _load_snapshot(folder: Path) -> SnapshotTaken | None:
    path = folder / _SNAPSHOT
    if not path.exists():
        return None
    frame = next(_read_frames(path), None)
    if frame is None:
        raise _damaged(path, 0)
    return _decode_snapshot(frame[1])


class _Loading:
    """What has been read of a log so far."""

    def __init__(self, snapshot: SnapshotTaken | None) -> None:
        self.term = 0
        self.vote = ''
        self.members = Members()
        self.commit = 0
        self.entries: list[LogEntry] = []
        self.base = snapshot.index if snapshot else 0


def _take_record(loading: _Loading, payload: bytes) -> None:
    tag, raw = _decode_record(payload)
    if tag == _HARD:
        hard = _decode_hard(raw)
        loading.term, loading.vote, loading.members, loading.commit = hard
    elif tag == _CUT:
        first = _decode_cut(raw)
        loading.entries = [
            entry for entry in loading.entries if entry.index < first
        ]
    else:
        _take_entry(loading, _decode_entry(raw))


def _take_entry(loading: _Loading, entry: LogEntry) -> None:
    if entry.index > loading.base:
        loading.entries.append(entry)


def _load_log(folder: Path, snapshot: SnapshotTaken | None) -> Persist:
    loading = _Loading(snapshot)
    path = folder / _LOG
    whole = 0
    for end, payload in _read_frames(path):
        _take_record(loading, payload)
        whole = end
    if whole != path.stat().st_size:
        os.truncate(path, whole)
    return Persist(
        loading.term,
        loading.vote,
        loading.members,
        tuple(loading.entries),
        0,
        snapshot,
        loading.commit,
    )


def _set_aside(folder: Path) -> None:
    number = 0
    while True:
        aside = folder.with_name(f'{folder.name}.damaged-{number}')
        if not aside.exists():
            folder.rename(aside)
            return
        number += 1


def load(folder: Path) -> tuple[Journal, Persist] | None:
    """Open an earlier journal, or return None where there is none.

    Raises ``JournalError`` (JOURNAL_CORRUPT) after it set the damaged
    folder aside, so that the next start begins as a new replica.
    """
    name = folder / _NAME
    if not name.exists() or not (folder / _LOG).exists():
        return None
    try:
        saved = _load_log(folder, _load_snapshot(folder))
    except (JournalError, msgspec.DecodeError) as exc:
        _set_aside(folder)
        raise JournalError(ResultCode.JOURNAL_CORRUPT, str(exc)) from exc
    journal = Journal(folder, name.read_text('ascii'))
    _open(journal)
    return journal, saved


def create(folder: Path, name: str) -> Journal:
    """Begin a journal for a new replica called ``name``."""
    with _disk_errors():
        folder.mkdir(parents=True, exist_ok=True)
        _replace(folder / _LOG, b'')
        _replace(folder / _NAME, name.encode('ascii'))
    journal = Journal(folder, name)
    _open(journal)
    return journal


def close(journal: Journal) -> None:
    """Close the log's file."""
    if journal.log:
        journal.log.close()


def describe(journal: Journal) -> dict[str, Any]:
    """Return what a dump shows of a journal."""
    return {'syncs': journal.syncs, 'synced_bytes': journal.synced_bytes}
