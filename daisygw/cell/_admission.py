"""Admission control: which jobs are refused, and when to retry them."""

from daisygw.cell._advice import expected_answer, is_long_call
from daisygw.cell._capacity import is_mostly_free, max_tasks_on
from daisygw.cell._leader import CellLeader
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
    return _advice_refusal(lead, queue)


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
