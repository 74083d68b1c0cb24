"""What logging costs: processor time of a line, written and left out.

``python -m bench.logging_cost`` prints JSON lines.  A line is written as a
scheduler writes one, through the bounded stream into a pipe that is read;
one that is left out passes the same call, beyond the bound of its event.
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
_MICRO = 1_000_000
_CHUNK = 65_536
# Lines of 170 bytes that fit into a pipe of 64 KiB.
_BATCH = 200
# Fields of ``placed``, the longest of the usual lines.
_FIELDS = (
    ('id', '9257a57030680bf5'),
    ('step', '9257a57030680bf5/0'),
    ('rows', ((0, 1, 'i-e20d09e882@1782871512010'),)),
    ('age_s', 0.05),
    ('slack_s', 2.4),
)


def _drain(descriptor: int) -> None:
    size = 1
    with suppress(BlockingIOError):
        while size:
            size = len(os.read(descriptor, _CHUNK))


def _spent(events: list[str], there: int) -> float:
    """Return the processor time (us) of a line of each event.

    The pipe is read between batches that fit into it, outside the measure.
    """
    fields = dict(_FIELDS)
    spent = 0.0
    for first in range(0, len(events), _BATCH):
        began = time.process_time()
        for event in events[first : first + _BATCH]:
            log(event, **fields)
        spent += time.process_time() - began
        _drain(there)
    return spent / len(events) * _MICRO


def main() -> None:
    """Measure both, and print them."""
    there, here = os.pipe()
    os.set_blocking(there, False)
    configure_logging('info', 'bench', NonBlockingStream(here))
    few = [
        f'event {number // MAX_EVENT_LINES_PER_SECOND}'
        for number in range(_LINES)
    ]
    written = _spent(few, there)
    left_out = _spent(['event' for _ in range(_LINES)], there)
    figures = {
        'written_us': round(written, 1),
        'left_out_us': round(left_out, 1),
    }
    sys.stdout.write(f'{json.dumps(figures)}\n')


if __name__ == '__main__':
    main()
