"""Log lines about steps that wait long for a start, and what they lack."""

from daisygw.cell._approval import Approval
from daisygw.cell._capacity import (
    FreeCapacity,
    fitting_tasks,
    max_tasks_on,
    suitable_targets,
)
from daisygw.cell._leader import (
    CellLeader,
    OutstandingOrder,
    WaitingStep,
    pending_indexes,
)
from daisygw.cell._usage import task_size
from daisygw.contracts import fit_count

# Cause of a step's wait: its targets have no room.
NO_CAPACITY = 'no capacity'


def report_long_waits(lead: CellLeader) -> None:
    """Log the steps, and the unanswered starts, that have waited long."""
    for outstanding in lead.orders.values():
        if lead.now >= outstanding.report_due:
            outstanding.report_due = float('inf')
            _report_start(lead, outstanding)
    overdue = [
        waiting
        for waiting in lead.waiting.values()
        if lead.now - waiting.since >= waiting.next_report
    ]
    if not overdue:
        return
    free_capacity = FreeCapacity(lead)
    for waiting in overdue:
        waiting.next_report = 2 * (lead.now - waiting.since)
        _report_wait(lead, free_capacity, waiting)


def _report_start(lead: CellLeader, outstanding: OutstandingOrder) -> None:
    """Log a start that its target has not confirmed, unless it has."""
    if outstanding.answered < float('inf'):
        return
    run = outstanding.run
    lead.log_event(
        'start unconfirmed',
        id=run.step.job,
        step=run.step.step,
        index=run.index,
        run=run.number,
        target=run.instance,
        unanswered=outstanding.unanswered,
        stopping=outstanding.stop_due < float('inf'),
    )


def wait_cause(
    lead: CellLeader, free_capacity: FreeCapacity, waiting: WaitingStep
) -> str:
    """Return what keeps a step from starting.

    Capacity that is kept for other steps counts as free: with enough of it, a
    step waits for a ticket, or for its turn (``order``).
    """
    if waiting.held:
        return 'held'
    step = waiting.state.step
    least = step.count if step.gang else 1
    usable = list(free_capacity.targets.values())
    approval = lead.approvals.get(waiting.state.key) or Approval()
    if waiting.queue.advisor:
        usable = [one for one in usable if one.key in approval.tickets]
    most = sum(max_tasks_on(one, step, waiting.queue) for one in usable)
    if waiting.queue.advisor and most < least:
        return 'no ticket' if approval.calls else 'no approved target'
    free = sum(
        fit_count(task_size(step), one.free, step.count) for one in usable
    )
    if free < least:
        return NO_CAPACITY
    expired = all(lead.now >= until for _, until in approval.tickets.values())
    return 'no ticket' if waiting.queue.advisor and expired else 'order'


def _report_wait(
    lead: CellLeader, free_capacity: FreeCapacity, waiting: WaitingStep
) -> None:
    key = waiting.state.key
    approval = lead.approvals.get(key) or Approval()
    targets = suitable_targets(lead, free_capacity, waiting)
    fitting = fitting_tasks(free_capacity, waiting, targets)
    lead.log_event(
        'step waits',
        id=key.job,
        step=key.step,
        cause=wait_cause(lead, free_capacity, waiting),
        customer=waiting.job.enqueued.customer,
        surplus=waiting.job.enqueued.surplus,
        tasks=len(pending_indexes(waiting.state)),
        runs=len(waiting.state.runs),
        waited_s=round(lead.now - waiting.since, 3),
        slack_s=round(waiting.due - lead.now, 3),
        targets=len(free_capacity.targets),
        room=sum(fitting.values()),
        approved_room=sum(fitting.get(name, 0) for name in approval.tickets),
        tickets=sum(until > lead.now for _, until in approval.tickets.values()),
        denied=len(approval.denied),
        calls=approval.calls,
    )
