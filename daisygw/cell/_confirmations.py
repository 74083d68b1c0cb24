"""Starts that targets have confirmed, and runs that none has confirmed."""

from collections.abc import Iterator

from daisygw.cell._leader import CellLeader, accepted_at
from daisygw.cell._state import CellJob, Run
from daisygw.contracts import JobState, StepKey

# A confirmed start is in the log after this time, also without other records: a
# record of its own costs a sync.
_RECORD_DELAY_S = 0.5


def confirm_start(lead: CellLeader, run: Run) -> None:
    """Note the start of a task, which its target has confirmed.

    Until the first one callers are told that the job is queued.  It is
    recorded with the next other record, or alone after a delay.
    """
    job = lead.cell.jobs.get(run.step.job)
    notes = lead.notes
    if job is None or job.started or job.spec.id in notes.started:
        return
    notes.started.add(job.spec.id)
    notes.starts_due = min(notes.starts_due, lead.now + _RECORD_DELAY_S)
    age = round(lead.wall - job.enqueued.at, 3)
    lead.log_event('job started', id=job.spec.id, age_s=age)


def state_of_job(lead: CellLeader, job: CellJob) -> JobState:
    """Return a job's state with the starts that are not in the log yet."""
    if job.state is JobState.QUEUED and job.spec.id in lead.notes.started:
        return JobState.RUNNING
    return job.state


def unconfirmed_runs(lead: CellLeader) -> Iterator[tuple[StepKey, float]]:
    """Yield step, and since when (s) they wait, of runs that may not run.

    No target has answered their starts or listed them to this leader.
    """
    for target in lead.cell.targets.values():
        for (step, index), run in target.runs.items():
            order = lead.orders.get((step, index))
            if order is None:
                yield step, lead.elected
            elif order.run == run and order.unconfirmed:
                yield step, order.at


def steps_without_start(lead: CellLeader) -> set[StepKey]:
    """Return the steps with tasks that wait for a place, or a confirmation."""
    return {*lead.waiting, *(step for step, _ in unconfirmed_runs(lead))}


def longest_wait(lead: CellLeader) -> float:
    """Return how long the step that waits longest for a start waits (s)."""
    waits = [(key, waiting.since) for key, waiting in lead.waiting.items()]
    began = (
        _wait_start(lead, *row) for row in (*waits, *unconfirmed_runs(lead))
    )
    return max((lead.now - since for since in began), default=0)


def _wait_start(lead: CellLeader, key: StepKey, since: float) -> float:
    """Return when a wait began; placing a job again does not begin another."""
    job = lead.cell.jobs.get(key.job)
    if job is None or job.spec.repeats:
        return since
    queued = state_of_job(lead, job) is JobState.QUEUED
    return min(since, accepted_at(lead, job)) if queued else since
