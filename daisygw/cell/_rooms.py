"""What is free on the usable targets, for one pass over the waiting steps."""

from daisygw.cell._lead import DEFAULT_SPEED, Lead, WaitingStep
from daisygw.cell._state import TargetState, task_size
from daisygw.contracts import Queue, Size, Step, share_of
from daisygw.machines import is_sure

# A target that has not answered for this long gets no new work, s: one
# renewal's longest wait, and the time-out of a call.
ANSWER_TIMEOUT_S = 3.2
# Learned paces are compared in steps of this size.
_SLOWNESS_STEP = 0.5


class FreeCapacity:
    """The usable targets, what is free there, and who reserved it."""

    def __init__(self, lead: Lead) -> None:
        """Look at every target once."""
        self.targets = {
            one.key: one
            for one in lead.cell.targets.values()
            if is_usable(lead, one)
        }
        self.free = {key: one.free for key, one in self.targets.items()}
        self.reserved: set[str] = set()


def is_usable(lead: Lead, target: TargetState) -> bool:
    """Tell whether a target may be given new work now."""
    lease_state = lead.contacts.get(target.key)
    if lease_state is None or not target.open or not is_sure(lease_state):
        return False
    silent = lead.now - lease_state.last_answer_at > ANSWER_TIMEOUT_S
    return not silent and lead.now >= lease_state.barred_until


def fit_count(need: Size, free: Size, most: int) -> int:
    """Return how many times ``need`` fits into ``free``, ``most`` at most."""
    for asked, left in (
        (need.cpus, free.cpus),
        (need.memory, free.memory),
        (need.accelerators, free.accelerators),
    ):
        if asked:
            most = min(most, left // asked)
    return max(most, 0)


def max_tasks_on(target: TargetState, step: Step, queue: Queue) -> int:
    """Return how many tasks of a step an empty target could hold."""
    life = target.life
    if life.service != queue.service:
        return 0
    if step.label and step.label not in {life.kind, life.rack}:
        return 0
    most = min(step.count, step.spread) if step.spread else step.count
    return fit_count(task_size(step), life.capacity, most)


def fitting_tasks(
    capacity_left: FreeCapacity, waiting: WaitingStep, life: str
) -> int:
    """Return how many more tasks of a step a target takes now."""
    step = waiting.state.step
    most = step.count
    if step.spread:
        held = sum(run.life == life for run in waiting.state.runs.values())
        most = min(most, step.spread - held)
    return fit_count(task_size(step), capacity_left.free[life], most)


def suitable_targets(
    lead: Lead,
    capacity_left: FreeCapacity,
    waiting: WaitingStep,
) -> list[TargetState]:
    """Return the targets that a step may use, as far as is known."""
    approval = lead.approvals.get(waiting.state.key)
    denied = approval.denied if approval else frozenset()
    return [
        one
        for key, one in capacity_left.targets.items()
        if key not in denied
        and key not in capacity_left.reserved
        and _cached_max_tasks(waiting, one) > 0
    ]


def _cached_max_tasks(waiting: WaitingStep, target: TargetState) -> int:
    """Remember what a target could hold: neither side of it changes."""
    known = waiting.max_tasks_by_target.get(target.key)
    if known is None:
        known = max_tasks_on(target, waiting.state.step, waiting.queue)
        waiting.max_tasks_by_target[target.key] = known
    return known


def target_preference(lead: Lead, target: TargetState) -> tuple[float, float]:
    """Prefer fast targets, then the fullest."""
    pace = lead.pace.get(target.key, DEFAULT_SPEED).factor
    fullness = share_of(target.used, target.life.capacity)
    return (round(pace / _SLOWNESS_STEP), -fullness)
