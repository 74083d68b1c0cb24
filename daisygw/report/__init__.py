"""Figures for the monthly meeting."""

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
    'wait_figures',
    'record_wait',
)
