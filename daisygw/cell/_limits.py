"""Customers' limits on what they have running at a time.

What a customer has running is counted in the replicated state, from the record
of a placement to that of the run's end.  A step that the limit holds does not
delay other customers' steps.  It keeps what the limit leaves free from the
less urgent steps of its own customer: small tasks would otherwise use it up
before there is enough for a gang.
"""

from collections.abc import Mapping
from operator import attrgetter
from types import MappingProxyType

from daisygw.cell._admission import Refusal
from daisygw.cell._capacity import FreeCapacity
from daisygw.cell._leader import (
    LONG_WAIT_S,
    CellLeader,
    WaitingStep,
    pending_indexes,
)
from daisygw.contracts import (
    ZERO_SIZE,
    JobSpec,
    ResultCode,
    Size,
    Step,
    count_within,
    is_within,
    limit_without_zeros,
    plus,
    times,
)

# How long (s) a step that its customer's limit holds is passed by steps of that
# customer whose delay costs more.
HELD_PATIENCE_S = 2.0
_NO_CLAIMS: Mapping[str, Size] = MappingProxyType({})


def _limit_of(lead: CellLeader, name: str) -> Size | None:
    """Return a customer's limit, or none for a job of no current customer."""
    customer = lead.cell.customers.get(name)
    return limit_without_zeros(customer.limit) if customer else None


def _least_start(step: Step) -> Size:
    """Return the size of the least part of a step that starts at a time."""
    return times(step.size, step.count) if step.gang else step.size


def limit_refusal(
    lead: CellLeader, job: JobSpec, customer: str
) -> Refusal | None:
    """Refuse a job of which a gang or a task exceeds the limit by itself."""
    limit = _limit_of(lead, customer)
    if limit is None:
        return None
    for number, step in enumerate(job.steps):
        if not is_within(ZERO_SIZE, _least_start(step), limit):
            what = 'gang' if step.gang else 'task'
            reason = f"step {number}: a {what} exceeds the customer's limit"
            return (ResultCode.QUOTA_EXCEEDED, 0, reason)
    return None


def headroom(
    lead: CellLeader,
    waiting: WaitingStep,
    claims: Mapping[str, Size] = _NO_CLAIMS,
) -> int:
    """Return how many tasks of a step its customer's limit allows to start.

    ``claims`` holds by customer what other steps keep of its limit.
    """
    step = waiting.state.step
    name = waiting.job.enqueued.customer
    limit = _limit_of(lead, name)
    if limit is None:
        return step.count
    running = lead.cell.customer_usage.get(name, ZERO_SIZE)
    held = plus(running, claims.get(name, ZERO_SIZE))
    return count_within(held, step.size, limit, step.count)


def may_start(
    lead: CellLeader, free_capacity: FreeCapacity, waiting: WaitingStep
) -> bool:
    """Tell whether the limit allows a step to start a task, a gang whole.

    A step keeps a part of the limit from then on if what runs leaves too little
    of it, not if other steps keep it.
    """
    step = waiting.state.step
    least = step.count if step.gang else 1
    waiting.held = headroom(lead, waiting, free_capacity.claims) < least
    if waiting.held:
        if headroom(lead, waiting) < least and not waiting.claims_limit:
            waiting.claims_limit = True
            waiting.held_since = lead.now
        if lead.now >= waiting.held_report_due:
            waiting.held_report_due = lead.now + LONG_WAIT_S
            _report_held(lead, free_capacity, waiting)
    return not waiting.held


def allowed_indexes(
    lead: CellLeader, free_capacity: FreeCapacity, waiting: WaitingStep
) -> list[int]:
    """Return the pending tasks of a step that its limit allows to start."""
    pending = pending_indexes(waiting.state)
    if waiting.state.step.gang:
        return pending
    return pending[: headroom(lead, waiting, free_capacity.claims)]


def overdue_at_limits(lead: CellLeader) -> dict[str, list[WaitingStep]]:
    """Return by customer the gangs that its limit has held for long.

    They come first among the steps of their customer, in the order in which
    they are due.  By the cost of their delay alone, a gang that waits for a
    part of the limit would be passed by all smaller steps that its customer
    sends; a step that is no gang starts some tasks in between.
    """
    overdue: dict[str, list[WaitingStep]] = {}
    for waiting in lead.waiting.values():
        held_for = lead.now - waiting.held_since
        if held_for > HELD_PATIENCE_S and waiting.state.step.gang:
            name = waiting.job.enqueued.customer
            overdue.setdefault(name, []).append(waiting)
    for steps in overdue.values():
        steps.sort(key=attrgetter('due'))
    return overdue


def claim_limit(
    lead: CellLeader, free_capacity: FreeCapacity, waiting: WaitingStep
) -> None:
    """Keep a part of the limit for a step that it has held before.

    The part stays free until the step has started, also while it waits for
    advice or capacity.  A gang whose call to the advisor is open keeps it too:
    calls of gangs that cannot start beside it would be in vain.  Nothing is
    kept for a step that does not fit beside the customer's long-running tasks:
    it may wait forever.
    """
    name = waiting.job.enqueued.customer
    limit = _limit_of(lead, name)
    if limit is None or waiting.state.key not in lead.waiting:
        return
    if not waiting.claims_limit and not _is_advised_now(lead, waiting):
        return
    need = _least_start(waiting.state.step)
    lasting = lead.cell.lasting_usage.get(name, ZERO_SIZE)
    if is_within(lasting, need, limit):
        claims = free_capacity.claims
        claims[name] = plus(claims.get(name, ZERO_SIZE), need)


def _is_advised_now(lead: CellLeader, waiting: WaitingStep) -> bool:
    """Tell whether a step is a gang whose call to the advisor is open."""
    if not waiting.state.step.gang:
        return False
    approval = lead.approvals.get(waiting.state.key)
    return approval is not None and approval.calls > 0


def _report_held(
    lead: CellLeader, free_capacity: FreeCapacity, waiting: WaitingStep
) -> None:
    key = waiting.state.key
    name = waiting.job.enqueued.customer
    lead.log_event(
        'held',
        id=key.job,
        step=key.step,
        customer=name,
        tasks=len(pending_indexes(waiting.state)),
        waited_s=round(lead.now - waiting.since, 3),
        need=_amounts(_least_start(waiting.state.step)),
        running=_amounts(lead.cell.customer_usage.get(name, ZERO_SIZE)),
        kept=_amounts(free_capacity.claims.get(name, ZERO_SIZE)),
        limit=_amounts(lead.cell.customers[name].limit),
    )


def _amounts(size: Size) -> tuple[int, int, int]:
    """Return cores (thousandths), memory (MiB) and accelerators."""
    return (size.cpus, size.memory, size.accelerators)
