"""The journal: term, vote and log of a replica, in files of a data folder.

A torn last save was never acknowledged, and is dropped from the first damaged
record on.  Any other checksum mismatch means corruption: the replica abandons
its files and joins its group as a new replica.
"""

import itertools
import os
import time
from collections.abc import Generator, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from daisygw.contracts import JournalError, ResultCode
from daisygw.links._frames import damaged_record_error, frame, read_frames
from daisygw.zones import LogEntry, Members, Persist, SnapshotTaken

_LOG_FILE = 'log'
_SNAPSHOT_FILE = 'snapshot'
_NAME_FILE = 'name'
# Types of records in the log: the tuple of term, vote, members and commit
# index; an entry; the first index of the entries that are removed.
_HARD_STATE = 1
_LOG_ENTRY = 2
_TRUNCATION = 3
# Weight of the newest sync in the moving average of sync times.
_NEWEST_SYNC_WEIGHT = 0.3
_encode = msgspec.msgpack.Encoder().encode
# How the record of a hard state begins, which each save has: a pair of the type
# and the values.
_HARD_STATE_PREFIX = _encode((_HARD_STATE, None))[:2]
_decode_record = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw]).decode
_decode_hard_state = msgspec.msgpack.Decoder(
    tuple[int, str, Members, int],
).decode
_decode_entry = msgspec.msgpack.Decoder(LogEntry).decode
_decode_truncation = msgspec.msgpack.Decoder(int).decode
_decode_snapshot = msgspec.msgpack.Decoder(SnapshotTaken).decode


class Journal:
    """An open journal with exclusive use of ``folder``.

    ``end`` is the size of the log in bytes up to its last successful write,
    and ``sync_time`` the moving average of sync times (s).
    """

    def __init__(self, folder: Path, name: str) -> None:
        """Store the folder and the replica's name; the log opens later."""
        self.folder = folder
        self.name = name
        self.log: BinaryIO | None = None
        self.synced_bytes = 0
        self.syncs = 0
        self.end = 0
        self.sync_time = 0.0


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _replace(path: Path, content: bytes) -> None:
    temporary = path.with_suffix('.new')
    with temporary.open('wb') as stream:
        stream.write(content)
        stream.flush()
        os.fsync(stream.fileno())
    temporary.rename(path)
    _sync_folder(path.parent)


def _records(persist: Persist) -> Iterator[bytes]:
    """Yield the records of a save, so that each beginning of it is valid.

    The truncation is first, because the commit index must not cover entries
    that are replaced.
    """
    if persist.cut:
        yield frame(_encode((_TRUNCATION, persist.cut)))
    hard_state = (persist.term, persist.vote, persist.members, persist.commit)
    yield frame(_encode((_HARD_STATE, hard_state)))
    for entry in persist.entries:
        yield frame(_encode((_LOG_ENTRY, entry)))


@contextmanager
def _disk_errors() -> Generator[None, None, None]:
    try:
        yield
    except OSError as exc:
        raise JournalError(ResultCode.DISK_FAILED, str(exc)) from exc


def save(journal: Journal, persist: Persist) -> None:
    """Write a change of the replica's durable state and sync it to disk.

    Raises ``JournalError`` (DISK_FAILED) where the disk fails.
    """
    with _disk_errors():
        if persist.snapshot is not None:
            _save_snapshot(journal, persist)
            return
        _append(journal, b''.join(_records(persist)))


def _append(journal: Journal, content: bytes) -> None:
    """Write and sync; truncate first what a failed write left behind."""
    log = journal.log
    if log.tell() != journal.end:
        log.truncate(journal.end)
        log.seek(journal.end)
    started_at = time.monotonic()
    try:
        _write(log, content)
        os.fdatasync(log.fileno())
    except OSError:
        log.seek(0, os.SEEK_END)
        raise
    journal.end += len(content)
    journal.syncs += 1
    journal.synced_bytes += len(content)
    elapsed_s = time.monotonic() - started_at
    journal.sync_time += _NEWEST_SYNC_WEIGHT * (elapsed_s - journal.sync_time)


def _write(log: BinaryIO, content: bytes) -> None:
    written = log.write(content)
    if written != len(content):
        raise OSError(f'disk wrote only {written} of {len(content)} bytes')


def _save_snapshot(journal: Journal, persist: Persist) -> None:
    """Replace the snapshot first, and then the log that follows it.

    After a crash in between, loading skips the old log's entries that the
    snapshot already covers.
    """
    snapshot = frame(_encode(persist.snapshot))
    _replace(journal.folder / _SNAPSHOT_FILE, snapshot)
    if journal.log:
        journal.log.close()
    _replace(journal.folder / _LOG_FILE, b''.join(_records(persist)))
    _open(journal)


def _open(journal: Journal) -> None:
    journal.log = _open_log(journal.folder)
    journal.end = journal.log.seek(0, os.SEEK_END)


def _open_log(folder: Path) -> BinaryIO:
    return (folder / _LOG_FILE).open('ab', buffering=0)


def _load_snapshot(folder: Path) -> SnapshotTaken | None:
    path = folder / _SNAPSHOT_FILE
    if not path.exists():
        return None
    stored = next(read_frames(path, _HARD_STATE_PREFIX), None)
    if stored is None:
        raise damaged_record_error(path, 0)
    return _decode_snapshot(stored[1])


class _LogState:
    """Replica state accumulated while a log is read."""

    def __init__(self, snapshot: SnapshotTaken | None) -> None:
        self.term = 0
        self.vote = ''
        self.members = Members()
        self.commit = 0
        self.entries: list[LogEntry] = []
        self.base = snapshot.index if snapshot else 0


def _apply_record(state: _LogState, payload: bytes) -> None:
    tag, raw = _decode_record(payload)
    if tag == _HARD_STATE:
        hard_state = _decode_hard_state(raw)
        state.term, state.vote, state.members, state.commit = hard_state
    elif tag == _TRUNCATION:
        first = _decode_truncation(raw)
        state.entries = [
            entry for entry in state.entries if entry.index < first
        ]
    else:
        _append_entry(state, _decode_entry(raw))


def _append_entry(state: _LogState, entry: LogEntry) -> None:
    if entry.index > state.base:
        state.entries.append(entry)


def _load_log(folder: Path, snapshot: SnapshotTaken | None) -> Persist:
    state = _LogState(snapshot)
    path = folder / _LOG_FILE
    valid_bytes = 0
    for end, payload in read_frames(path, _HARD_STATE_PREFIX):
        _apply_record(state, payload)
        valid_bytes = end
    if valid_bytes != path.stat().st_size:
        _truncate_torn_end(path, valid_bytes)
    return Persist(
        state.term,
        state.vote,
        state.members,
        tuple(state.entries),
        0,
        snapshot,
        state.commit,
    )


def _truncate_torn_end(path: Path, valid_bytes: int) -> None:
    """Truncate a log durably, so that no later torn write meets the rest."""
    with path.open('r+b') as log:
        log.truncate(valid_bytes)
        os.fsync(log.fileno())


def _rename_damaged_folder(folder: Path) -> None:
    new_paths = (
        folder.with_name(f'{folder.name}.damaged-{number}')
        for number in itertools.count()
    )
    folder.rename(next(path for path in new_paths if not path.exists()))
    _sync_folder(folder.parent)


def load(folder: Path) -> tuple[Journal, Persist] | None:
    """Open an existing journal, or return None where there is none.

    Where the journal is corrupt, renames its folder and raises
    ``JournalError`` (JOURNAL_CORRUPT); the next start then begins as a new
    replica.
    """
    name = folder / _NAME_FILE
    if not name.exists() or not (folder / _LOG_FILE).exists():
        return None
    try:
        saved = _load_log(folder, _load_snapshot(folder))
    except (JournalError, msgspec.DecodeError) as exc:
        _rename_damaged_folder(folder)
        raise JournalError(ResultCode.JOURNAL_CORRUPT, str(exc)) from exc
    journal = Journal(folder, name.read_text('ascii'))
    _open(journal)
    return journal, saved


def create(folder: Path, name: str) -> Journal:
    """Create a journal for a new replica called ``name``.

    Raises ``JournalError`` (DISK_FAILED) where the disk fails.
    """
    with _disk_errors():
        folder.mkdir(parents=True, exist_ok=True)
        _sync_folder(folder.parent)
        _replace(folder / _LOG_FILE, b'')
        _replace(folder / _NAME_FILE, name.encode('ascii'))
    journal = Journal(folder, name)
    _open(journal)
    return journal


def close(journal: Journal) -> None:
    """Close the log file."""
    if journal.log:
        journal.log.close()


def describe_journal(journal: Journal) -> dict[str, Any]:
    """Return the view of a journal for a dump."""
    return {'syncs': journal.syncs, 'synced_bytes': journal.synced_bytes}
