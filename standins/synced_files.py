"""Runs the program and records how much of its files is on disk.

``python -m standins.synced_files RECORD ARG...`` runs ``daisygw ARG...`` in
this process.  After each sync of a file it appends the file's inode number and
size to the file RECORD, from which ``lose_power`` takes what a loss of power
leaves.  Renames are taken as durable at once.
"""

import os
import struct
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random

from daisygw.core import main

_SYNC_RECORD = struct.Struct('<QQ')


def _record_syncs(
    sync: Callable[[int], None], record: int
) -> Callable[[int], None]:
    def sync_and_record(handle: int) -> None:
        sync(handle)
        status = os.fstat(handle)
        os.write(record, _SYNC_RECORD.pack(status.st_ino, status.st_size))

    return sync_and_record


def lose_power(record: Path, folder: Path, random: Random) -> None:
    """Cut off the files in a folder somewhere after their synced part."""
    synced_bytes = dict(_SYNC_RECORD.iter_unpack(record.read_bytes()))
    for path in folder.rglob('*'):
        status = path.stat()
        if path.is_file():
            kept = min(synced_bytes.get(status.st_ino, 0), status.st_size)
            os.truncate(path, random.randint(kept, status.st_size))


def _run(record_name: str, *args: str) -> int:
    flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
    record = os.open(record_name, flags, 0o600)
    os.fsync = _record_syncs(os.fsync, record)
    os.fdatasync = _record_syncs(os.fdatasync, record)
    return main(args)


if __name__ == '__main__':
    sys.exit(_run(*sys.argv[1:]))
