"""Counters behind the monthly report, and its figures of waiting times."""

from daisygw.report._tally import (
    Packing,
    Tally,
    WaitFigures,
    new_waits,
    record_packing,
    record_wait,
    wait_figures,
)

__all__ = (
    'Packing',
    'Tally',
    'WaitFigures',
    'new_waits',
    'record_packing',
    'record_wait',
    'wait_figures',
)
