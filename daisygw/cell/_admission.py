"""Admission control: which jobs are refused, and when to retry them."""

from daisygw.cell._advice import expected_answer, is_long_call
from daisygw.cell._capacity import is_mostly_free, max_tasks_on
from daisygw.cell._cost import rank
from daisygw.cell._leader import CellLeader
from daisygw.cell._stakes import add_to_backlog, backlog_ahead, stake_of_job
from daisygw.contracts import JobSpec, Queue, ResultCode

# Retry delay for a job that no known target could hold: targets that were
# lost or moved are back by then, or never.
NEVER_FITS_RETRY_S = 10.0
# Longest expected time until the advisor's first answer about a new job: less
# than the 3 s that a step may stand still, as later steps need calls too.
MAX_ANSWER_TIME_S = 2.2
# A call may wait for this share of its own duration, however long that is.
_WAIT_SHARE = 0.3
# Longest time until a refused caller is to return: a burst is over by then.
MAX_RETRY_S = 10.0
# Shortest time until a caller is to return that was refused for want of room.
MIN_RETRY_S = 0.5
# Longest such time: a burst that leaves more work than this is rare.
MAX_ROOM_RETRY_S = 30.0
# A refusal: its code, the retry delay (s) and the reason.
Refusal = tuple[ResultCode, float, str]


def refusal_for(lead: CellLeader, job: JobSpec, queue: Queue) -> Refusal | None:
    """Return the refusal of a job, or none if it is accepted."""
    targets = [target for target in lead.cell.targets.values() if target.open]
    if not targets:
        return (ResultCode.NO_WORKERS, 1, 'no target is known')
    for number, step in enumerate(job.steps):
        fitting = sum(max_tasks_on(target, step, queue) for target in targets)
        least = step.count if step.gang else 1
        if fitting < least and not step.lasting:
            reason = f'step {number}: capacity for {fitting} of {least} tasks'
            return (ResultCode.NEVER_FITS, NEVER_FITS_RETRY_S, reason)
    return _advice_refusal(lead, queue) or _late_refusal(lead, job, queue)


def _late_refusal(
    lead: CellLeader, job: JobSpec, queue: Queue
) -> Refusal | None:
    """Refuse a job that would end when it is of no value to its caller.

    The work that comes before it takes too long, even if it used the whole
    cell.  Refused callers return one after the other, as fast as the cell does
    their work, so that most are accepted then.
    """
    if is_mostly_free(lead) or not lead.waiting:
        return None
    try:
        return _find_late_refusal(lead, job, queue)
    except Exception as exc:
        lead.log_event('cost unknown', id=job.id, error=repr(exc))
        return None


def _find_late_refusal(
    lead: CellLeader, job: JobSpec, queue: Queue
) -> Refusal | None:
    if any(step.lasting for step in job.steps) or job.repeats:
        return None
    stake = stake_of_job(lead, job, queue)
    wait = backlog_ahead(lead, rank(stake, lead.now))
    excess = lead.now + wait - stake.worthless_at
    if excess <= 0:
        add_to_backlog(lead, stake)
        return None
    return_at = max(lead.now + excess, lead.load.next_room_at)
    retry = min(max(return_at - lead.now, MIN_RETRY_S), MAX_ROOM_RETRY_S)
    lead.load.next_room_at = lead.now + retry + stake.work
    reason = f'work of {wait:.1f} s comes before it'
    return (ResultCode.NEVER_IN_TIME, retry, reason)


def _advice_refusal(lead: CellLeader, queue: Queue) -> Refusal | None:
    """Refuse a job whose first call to the advisor would take too long.

    Answers the load of a burst of gangs whose calls take longer than all
    processes have time for: the steps would stand still beside free capacity,
    and so would those of the jobs accepted before.  In a cell that is mostly
    used they wait for room in any case.  The refused callers return one after
    the other, as fast as the advisor answers.
    """
    if not is_long_call(queue.advisor) or not is_mostly_free(lead):
        return None
    expected = expected_answer(lead, queue.advisor)
    longest = max(
        MAX_ANSWER_TIME_S - expected.call, _WAIT_SHARE * expected.call
    )
    if expected.wait <= longest:
        return None
    return_at = max(
        lead.now + expected.wait - longest, lead.load.next_return_at
    )
    retry = min(return_at - lead.now, MAX_RETRY_S)
    lead.load.next_return_at = lead.now + retry + expected.interval
    reason = f'calls to the advisor wait {expected.wait:.1f} s'
    return (ResultCode.OVERLOADED, retry, reason)
