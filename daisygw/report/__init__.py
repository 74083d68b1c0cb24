"""Figures of the monthly report."""

from daisygw.report._tally import (
    Packing,
    Tally,
    WaitFigures,
    new_waits,
    pack,
    wait_figures,
    waited,
)

__all__ = (
    'Packing',
    'Tally',
    'WaitFigures',
    'new_waits',
    'pack',
    'wait_figures',
    'waited',
)
