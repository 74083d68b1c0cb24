"""Cancels of jobs that are not known.

Such a job may be on its way, for example in an entry that does not run.  A
cancel that was acknowledged holds if the job arrives later: it is refused.
"""

from daisygw.cell._leader import CellLeader
from daisygw.contracts import CancelNoted, CancelsPurged

# How long a job is refused after its cancel: longer than a request may be on
# its way.
EARLY_CANCEL_RETENTION_S = 120.0
# How many cancels are kept, some 160 bytes each: of all customers together, in
# equal shares, and the least share of a customer.
_MAX_EARLY_CANCELS = 100_000
_MIN_CUSTOMER_SHARE = 1_000
# Longer names are no ids of jobs.
_MAX_ID_LENGTH = 64


def note_early_cancel(lead: CellLeader, job: str, owner: str) -> bool:
    """Note the cancel of an unknown job; tell whether that was possible.

    ``owner`` is the customer to whom the job would belong.
    """
    noted = lead.cell.early_cancels.get(owner, {})
    if job in noted or len(job) > _MAX_ID_LENGTH:
        return True
    if len(noted) >= _customer_share(lead):
        return False
    lead.record(CancelNoted(job, owner), allows_starts=False)
    lead.notes.early_cancels.append((lead.now, owner, job))
    lead.log_event('cancelled early', id=job, customer=owner)
    return True


def _customer_share(lead: CellLeader) -> int:
    customers = max(len(lead.cell.customers), 1)
    return max(_MAX_EARLY_CANCELS // customers, _MIN_CUSTOMER_SHARE)


def is_cancelled_early(lead: CellLeader, job: str, owner: str) -> bool:
    """Tell whether a job was cancelled before it arrived."""
    return job in lead.cell.early_cancels.get(owner, {})


def purge_early_cancels(lead: CellLeader) -> None:
    """Forget the cancels that were noted long ago."""
    expired = []
    until = lead.now - EARLY_CANCEL_RETENTION_S
    while lead.notes.early_cancels and lead.notes.early_cancels[0][0] < until:
        _, owner, job = lead.notes.early_cancels.popleft()
        expired.append((owner, job))
    if expired:
        lead.record(CancelsPurged(tuple(expired)), allows_starts=False)
