"""Admission control: which jobs are refused, and when to retry them."""

from daisygw.cell._capacity import max_tasks_on
from daisygw.cell._leader import CellLeader
from daisygw.contracts import JobSpec, Queue, ResultCode

# Retry delay for a job that no known target could hold: targets that were
# lost or moved are back by then, or never.
NEVER_FITS_RETRY_S = 10.0
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
    return None
