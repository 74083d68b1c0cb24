"""Admission: what is refused before it is accepted, and until when."""

from daisygw.cell._lead import CellLeader
from daisygw.cell._rooms import could_hold
from daisygw.contracts import JobSpec, Queue, ResultCode

# When to hand in again what no target known now could hold, s: targets that
# were lost or moved are back by then, or never.
COME_BACK = 10.0
# A refusal: its code, when to come back (s) and the reason.
Refusal = tuple[ResultCode, float, str]


def verdict(lead: CellLeader, job: JobSpec, queue: Queue) -> Refusal | None:
    """Return why a job is refused, none where it is accepted."""
    targets = [one for one in lead.cell.targets.values() if one.open]
    if not targets:
        return (ResultCode.NO_WORKERS, 1, 'no target is known')
    for number, step in enumerate(job.steps):
        room = sum(could_hold(one, step, queue) for one in targets)
        least = step.count if step.gang else 1
        if room < least and not step.lasting:
            reason = f'step {number}: room for {room} of {least} tasks'
            return (ResultCode.NEVER_FITS, COME_BACK, reason)
    return None
