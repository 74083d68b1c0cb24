"""Gauges of the work that waits, is being started or is being stopped."""

from collections.abc import Callable
from functools import partial

from daisygw.cell import (
    CellLeader,
    longest_wait,
    state_of_job,
    steps_without_start,
    unconfirmed_runs,
)
from daisygw.contracts import JobState
from daisygw.nodes._meters import Meters, add_gauge
from daisygw.nodes._state_machine import CellState


def add_work_gauges(meters: Meters, state: CellState) -> None:
    """Register the gauges; only the leader knows what most of them count."""
    gauges = (
        ('steps_waiting', 'Steps with tasks without a start', _waiting_steps),
        (
            'longest_step_wait_seconds',
            'Longest wait of a step for a start',
            longest_wait,
        ),
        (
            'starts_unconfirmed',
            'Runs that no target has confirmed',
            _unconfirmed_starts,
        ),
        ('stops_unconfirmed', 'Runs that are to stop', _stopping_runs),
    )
    for name, text, read in gauges:
        add_gauge(meters, name, text, partial(_read, state, read))
    add_gauge(
        meters,
        'jobs_queued',
        'Jobs without a started task',
        lambda: _queued_jobs(state),
    )


def _read(state: CellState, read: Callable[[CellLeader], float]) -> float:
    """Return what a leader knows, 0 on other processes."""
    return read(state.lead) if state.lead else 0


def _waiting_steps(lead: CellLeader) -> int:
    return len(steps_without_start(lead))


def _unconfirmed_starts(lead: CellLeader) -> int:
    return sum(1 for _ in unconfirmed_runs(lead))


def _stopping_runs(lead: CellLeader) -> int:
    return sum(order.stopping for order in lead.orders.values())


def _queued_jobs(state: CellState) -> int:
    jobs = state.cell.jobs.values()
    if state.lead:
        states = [state_of_job(state.lead, job) for job in jobs]
    else:
        states = [job.state for job in jobs]
    return states.count(JobState.QUEUED)
