"""Admission: what is refused before it is accepted, and until when."""

from daisygw.cell._lead import Lead
from daisygw.cell._rooms import max_tasks_on
from daisygw.contracts import JobSpec, Queue, ResultCode

# When to hand in again what no target known now could hold, s: targets that
# were lost or moved are back by then, or never.
NEVER_FITS_RETRY_S = 10.0
# A refusal: its code, when to come back (s) and the reason.
Refusal = tuple[ResultCode, float, str]


def refusal_for(lead: Lead, job: JobSpec, queue: Queue) -> Refusal | None:
    """Return why a job is refused, none where it is accepted."""
    targets = [one for one in lead.cell.targets.values() if one.open]
    if not targets:
        return (ResultCode.NO_WORKERS, 1, 'no target is known')
    for number, step in enumerate(job.steps):
        fitting = sum(max_tasks_on(one, step, queue) for one in targets)
        least = step.count if step.gang else 1
        if fitting < least and not step.lasting:
            reason = f'step {number}: room for {fitting} of {least} tasks'
            return (ResultCode.NEVER_FITS, NEVER_FITS_RETRY_S, reason)
    return None
