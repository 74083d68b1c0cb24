"""Counters, histograms and gauges of a process.

They are fed by the lines that its decisions leave for the log, so that the
log and the metrics can not disagree.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

# Bounds of the histograms, s: from a commit to the longest objectives.
_BUCKETS = (0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100)
# Which field of an event is observed, and what it tells (s).
_OBSERVED = MappingProxyType({
    'placed': ('age_s', 'start_wait', 'From acceptance to a start'),
    'job over': ('age_s', 'job_time', 'From acceptance to the end'),
    'advice': ('took_s', 'advice_time', 'Calls to the placement advisor'),
})


class Meters:
    """The metrics of one process."""

    def __init__(self) -> None:
        """Begin with all at zero."""
        self.registry = CollectorRegistry()
        self.events = Counter(
            'daisygw_events',
            'Decisions and changes of belief, by event and outcome',
            ('event', 'outcome'),
            registry=self.registry,
        )
        self.answers = Histogram(
            'daisygw_answer_seconds',
            'Time to answer a caller, by verb and result code',
            ('verb', 'code'),
            buckets=_BUCKETS,
            registry=self.registry,
        )
        self.times = {
            event: Histogram(
                f'daisygw_{name}_seconds',
                text,
                buckets=_BUCKETS,
                registry=self.registry,
            )
            for event, (_, name, text) in _OBSERVED.items()
        }


def count(meters: Meters, event: str, fields: Mapping[str, Any]) -> None:
    """Count an event, and observe the time that it tells of."""
    outcome = fields.get('how') or fields.get('code') or fields.get('state')
    meters.events.labels(event, str(outcome or '')).inc()
    observed = _OBSERVED.get(event)
    if observed:
        meters.times[event].observe(max(fields[observed[0]], 0))


def watch(
    meters: Meters,
    name: str,
    text: str,
    read: Callable[[], float],
) -> None:
    """Show a reading as a gauge, taken when the metrics are fetched."""
    gauge = Gauge(f'daisygw_{name}', text, registry=meters.registry)
    gauge.set_function(read)


def show(meters: Meters) -> bytes:
    """Return all metrics in the text format."""
    return generate_latest(meters.registry)
