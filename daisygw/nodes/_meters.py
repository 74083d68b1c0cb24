"""Counters, histograms and gauges of a process.

Counters and histograms are derived from the log events of decisions, so that
logs and metrics always agree.
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

# Histogram bucket bounds, from the time of a commit to the longest latency
# objectives.
_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100)
# Events with a duration: the log field observed (s), the metric's name and
# its help text.
_TIMED_EVENTS = MappingProxyType({
    'job started': ('age_s', 'start_wait', 'From acceptance to a start'),
    'job over': ('age_s', 'job_time', 'From acceptance to the end'),
    'advice': ('took_s', 'advice_time', 'Calls to the placement advisor'),
})


class Meters:
    """The metrics of one process.

    ``refreshers`` set gauges with labels whenever metrics are scraped.
    """

    def __init__(self) -> None:
        """Create all metrics with zero values in a registry of their own."""
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
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.refused = Counter(
            'daisygw_customer_refused',
            'Refused jobs, by customer and result code',
            ('customer', 'code'),
            registry=self.registry,
        )
        self.refreshers: list[Callable[[], None]] = []
        self.times = {
            event: Histogram(
                f'daisygw_{name}_seconds',
                text,
                buckets=_BUCKETS_S,
                registry=self.registry,
            )
            for event, (_, name, text) in _TIMED_EVENTS.items()
        }


def count(meters: Meters, event: str, fields: Mapping[str, Any]) -> None:
    """Count an event; observe its duration (s) if it has one."""
    outcome = fields.get('how') or fields.get('code') or fields.get('state')
    meters.events.labels(event, str(outcome or '')).inc()
    if event == 'refused' and fields.get('customer'):
        code = str(int(fields['code']))
        meters.refused.labels(fields['customer'], code).inc()
    observed = _TIMED_EVENTS.get(event)
    if observed:
        meters.times[event].observe(max(fields[observed[0]], 0))


def add_gauge(
    meters: Meters,
    name: str,
    text: str,
    read: Callable[[], float],
) -> None:
    """Register a gauge that calls ``read`` whenever metrics are scraped."""
    gauge = Gauge(f'daisygw_{name}', text, registry=meters.registry)
    gauge.set_function(read)


def add_labelled_gauge(
    meters: Meters,
    name: str,
    text: str,
    labels: tuple[str, ...],
    read: Callable[[], Mapping[tuple, float]],
) -> None:
    """Register a gauge; ``read`` returns its values by labels."""
    gauge = Gauge(f'daisygw_{name}', text, labels, registry=meters.registry)

    def refresh() -> None:
        gauge.clear()
        for row, number in read().items():
            gauge.labels(*row).set(number)

    meters.refreshers.append(refresh)


def show(meters: Meters) -> bytes:
    """Return all metrics in the Prometheus text format."""
    for refresh in meters.refreshers:
        refresh()
    return generate_latest(meters.registry)
