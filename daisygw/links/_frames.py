"""Records in the files of a journal, and what is left of torn writes.

A record is a header (length, checksum of the length, checksum of the payload)
and a payload.
"""

import struct
import zlib
from collections.abc import Iterator
from pathlib import Path

from daisygw.contracts import JournalError, ResultCode

_HEADER = struct.Struct('<III')
# A disk writes whole sectors (bytes); one that was not written reads as zeros.
_SECTOR_BYTES = 512


def frame(payload: bytes) -> bytes:
    """Return the bytes of a record."""
    length = len(payload).to_bytes(4, 'little')
    header = _HEADER.pack(
        len(payload),
        zlib.crc32(length),
        zlib.crc32(payload),
    )
    return header + payload


def damaged_record_error(path: Path, offset: int) -> JournalError:
    """Return the error about a damaged record."""
    return JournalError(
        ResultCode.JOURNAL_CORRUPT,
        f'{path.parent.name}/{path.name}: damaged record at byte {offset}',
    )


def read_frames(path: Path, save_prefix: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the records of a file: where each ends, and its payload.

    One record of each save begins with ``save_prefix``.  Stops at a torn last
    save, and raises ``JournalError`` (JOURNAL_CORRUPT) at any other damage.
    """
    stored = path.read_bytes()
    offset = 0
    while offset < len(stored):
        payload = _payload_at(stored, offset)
        if payload is None and _is_torn(stored, offset, save_prefix):
            return
        if payload is None:
            raise damaged_record_error(path, offset)
        offset += _HEADER.size + len(payload)
        yield offset, payload


def _payload_at(stored: bytes, offset: int) -> bytes | None:
    """Return the payload of the record at ``offset``, None if damaged."""
    start = offset + _HEADER.size
    if start > len(stored):
        return None
    length, length_check, check = _HEADER.unpack_from(stored, offset)
    if zlib.crc32(length.to_bytes(4, 'little')) != length_check:
        return None
    payload = stored[start : start + length]
    is_valid = len(payload) == length and zlib.crc32(payload) == check
    return payload if is_valid else None


def _is_torn(stored: bytes, offset: int, save_prefix: bytes) -> bool:
    """Tell whether the damage at ``offset`` is that of a torn last save.

    Such a save ends early, or has a sector that was not written, and no other
    save follows it.
    """
    if _ends_early(stored, offset):
        return True
    has_hole = _has_empty_sector(stored, offset)
    return has_hole and not _save_follows(stored, offset, save_prefix)


def _ends_early(stored: bytes, offset: int) -> bool:
    start = offset + _HEADER.size
    if start > len(stored):
        return True
    length, length_check, _ = _HEADER.unpack_from(stored, offset)
    is_length = zlib.crc32(length.to_bytes(4, 'little')) == length_check
    return is_length and start + length > len(stored)


def _has_empty_sector(stored: bytes, offset: int) -> bool:
    """Tell whether a sector of the save was not written.

    A few zeros in a sector that the file or the save shares with others may
    be data.
    """
    first = offset - offset % _SECTOR_BYTES
    sectors = (
        stored[max(start, offset) : start + _SECTOR_BYTES]
        for start in range(first, len(stored), _SECTOR_BYTES)
    )
    return any(
        len(sector) >= _HEADER.size and not any(sector) for sector in sectors
    )


def _save_follows(stored: bytes, offset: int, save_prefix: bytes) -> bool:
    """Tell whether the damaged record is followed by one of another save."""
    found = stored.find(save_prefix, offset + _HEADER.size + 1)
    while found >= 0:
        if _payload_at(stored, found - _HEADER.size) is not None:
            return True
        found = stored.find(save_prefix, found + 1)
    return False
