"""Diagnostic views of a process: its resource usage and its links."""

import resource
import time
from typing import Any

import msgspec

from daisygw.links._stream import Link

_encode = msgspec.json.Encoder().encode


def to_json(view: Any) -> str:
    """Return a view as JSON text."""
    return _encode(view).decode('utf-8')


def usage() -> dict[str, float]:
    """Return this process's processor time (s) and peak memory (KiB)."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return {
        'cpu_s': round(used.ru_utime + used.ru_stime, 3),
        'max_rss_kib': used.ru_maxrss,
        'at': round(time.time(), 3),
    }


def describe_link(link: Link) -> dict[str, Any]:
    """Return the view of a link for a dump."""
    return {
        'peer': link.peer,
        'up': link.up,
        'sent': link.sent,
        'sent_bytes': link.sent_bytes,
        'received': link.received,
        'dropped': link.dropped,
    }
