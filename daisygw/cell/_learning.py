"""What a leader learns from ends: run times, fast and failing targets."""

from daisygw.cell._lead import Lead, Ordered, queue_of
from daisygw.cell._state import Run, step_of
from daisygw.contracts import RunEnd

# A target on which this many jobs failed one after the other is set aside.
FAILED_JOBS = 3
# It is tried again after this long, s.
SET_ASIDE = 3.0
# How much the newest run time counts for a learned one.
RATE = 0.2
# A run time counts at most this often the usual one: a straggler says little.
_MOST_STRETCH = 2
_MOST_PACE = 4


def learn(lead: Lead, run: Run, how: RunEnd, ordered: Ordered | None) -> None:
    """Learn from a run that ended by itself."""
    suspects = lead.suspects.setdefault(run.life, set())
    if how is RunEnd.FAILED:
        suspects.add(run.step.job)
        _judge(lead, run.life, len(suspects))
        return
    suspects.clear()
    if ordered and run.number == 1:
        _learn_time(lead, run, lead.now - ordered.at)


def _judge(lead: Lead, life: str, jobs: int) -> None:
    """Set a target aside that fails one job after the other."""
    contact = lead.contacts.get(life)
    if contact and jobs >= FAILED_JOBS:
        contact.barred_until = lead.now + SET_ASIDE
        lead.say('target set aside', target=life, jobs=jobs)


def _learn_time(lead: Lead, run: Run, took: float) -> None:
    queue = queue_of(lead, lead.cell.jobs[run.step.job])
    estimate = step_of(lead.cell, run.step).step.estimate
    if queue is None or estimate <= 0:
        return
    usual = lead.stretch.get(queue.name, 1.0)
    ratio = took / estimate
    counted = min(ratio, _MOST_STRETCH * usual)
    lead.stretch[queue.name] = usual + RATE * (counted - usual)
    pace = lead.pace.get(run.life, 1.0)
    fresh = min(max(ratio / usual, 1 / _MOST_PACE), _MOST_PACE)
    lead.pace[run.life] = pace + RATE * (fresh - pace)
