"""Measures the CPU time of a log line, written and suppressed.

``python -m bench.logging_cost`` prints a JSON line.  Lines are written as a
scheduler writes them: through the non-blocking stream into a pipe, which is
read between batches.  A line is suppressed when its event has passed its limit
of lines per second.
"""

import json
import os
import sys
import time
from contextlib import suppress

from daisygw.links import (
    MAX_EVENT_LINES_PER_SECOND,
    NonBlockingStream,
    configure_logging,
    log,
)

_LINES = 20_000
_US_PER_S = 1_000_000
_READ_BYTES = 65_536
# A line takes 170 bytes; 200 lines fit into the 64 KiB buffer of a pipe.
_LINES_PER_BATCH = 200
# Fields of the event ``placed``, the longest of the common lines.
_FIELDS = (
    ('id', '9257a57030680bf5'),
    ('step', '9257a57030680bf5/0'),
    ('rows', ((0, 1, 'i-e20d09e882@1782871512010'),)),
    ('age_s', 0.05),
    ('slack_s', 2.4),
)


def _drain_pipe(descriptor: int) -> None:
    size = 1
    with suppress(BlockingIOError):
        while size:
            size = len(os.read(descriptor, _READ_BYTES))


def _cpu_us_per_line(events: list[str], read_end: int) -> float:
    """Return the mean CPU time (us) of logging one line per event.

    The pipe is drained between batches, outside the measured time.
    """
    fields = dict(_FIELDS)
    cpu_s = 0.0
    for first in range(0, len(events), _LINES_PER_BATCH):
        start = time.process_time()
        for event in events[first : first + _LINES_PER_BATCH]:
            log(event, **fields)
        cpu_s += time.process_time() - start
        _drain_pipe(read_end)
    return cpu_s / len(events) * _US_PER_S


def main() -> None:
    """Print the CPU time of written and of suppressed lines."""
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    configure_logging('info', 'bench', NonBlockingStream(write_end))
    events_within_limit = [
        f'event {number // MAX_EVENT_LINES_PER_SECOND}'
        for number in range(_LINES)
    ]
    written = _cpu_us_per_line(events_within_limit, read_end)
    suppressed = _cpu_us_per_line(['event' for _ in range(_LINES)], read_end)
    figures = {
        'written_us': round(written, 1),
        'left_out_us': round(suppressed, 1),
    }
    sys.stdout.write(f'{json.dumps(figures)}\n')


if __name__ == '__main__':
    main()
