"""Free capacity of the usable targets during one placement pass."""

from collections import Counter
from collections.abc import Iterable

from daisygw.cell._leader import DEFAULT_SPEED, CellLeader, WaitingStep
from daisygw.cell._state import TargetState
from daisygw.cell._usage import task_size
from daisygw.contracts import (
    ZERO_SIZE,
    Queue,
    Size,
    Step,
    dominant_share,
    fit_count,
    minus,
    plus,
)
from daisygw.machines import is_responsive

# A target that has not answered for this long gets no new work: the longest
# wait of a lease renewal plus the timeout of a call.
ANSWER_TIMEOUT_S = 3.2
# At most this share of a service's available targets is left out because jobs
# fail there.
MAX_QUARANTINED_SHARE = 0.3
# The relative slowness of targets is rounded to multiples of this.
_SLOWNESS_STEP = 0.5


class FreeCapacity:
    """The usable targets, their free capacity and those reserved for gangs.

    ``claims`` holds by customer what its steps that were considered and still
    wait keep of its limit from its later ones.
    """

    def __init__(self, lead: CellLeader) -> None:
        """Read the free capacity of every usable target."""
        available = [
            target
            for target in lead.cell.targets.values()
            if is_available(lead, target)
        ]
        quarantined = _quarantined_targets(lead, available)
        self.targets = {
            target.key: target
            for target in available
            if target.key not in quarantined
        }
        self.free = {key: target.free for key, target in self.targets.items()}
        self.reserved: set[str] = set()
        self.claims: dict[str, Size] = {}
        lead.load.capacity = _total(
            target.instance.capacity for target in available
        )


def _total(sizes: Iterable[Size]) -> Size:
    total = ZERO_SIZE
    for size in sizes:
        total = plus(total, size)
    return total


def is_available(lead: CellLeader, target: TargetState) -> bool:
    """Tell whether a target answers and takes new work now."""
    lease_state = lead.lease_states.get(target.key)
    if lease_state is None or not target.open or not is_responsive(lease_state):
        return False
    timed_out = lead.now - lease_state.last_answer_at > ANSWER_TIMEOUT_S
    return not timed_out and lead.now >= lease_state.unavailable_until


def _quarantined_targets(
    lead: CellLeader, available: list[TargetState]
) -> set[str]:
    """Return the targets to leave out: those where most jobs failed.

    Where they are many, the jobs themselves are likely to be at fault.
    """
    candidates = [
        target
        for target in available
        if lead.now < lead.lease_states[target.key].quarantined_until
    ]
    if not candidates:
        return set()
    candidates.sort(
        key=lambda target: len(lead.failed_jobs.get(target.key, ())),
        reverse=True,
    )
    services = Counter(target.instance.service for target in available)
    quarantined: Counter[str] = Counter()
    keys = set()
    for target in candidates:
        service = target.instance.service
        if quarantined[service] < int(
            services[service] * MAX_QUARANTINED_SHARE
        ):
            quarantined[service] += 1
            keys.add(target.key)
    return keys


def max_tasks_on(target: TargetState, step: Step, queue: Queue) -> int:
    """Return how many tasks of a step fit on the target while it is empty."""
    instance = target.instance
    if instance.service != queue.service:
        return 0
    if step.label and step.label not in {instance.kind, instance.rack}:
        return 0
    limit = min(step.count, step.spread) if step.spread else step.count
    return fit_count(task_size(step), instance.capacity, limit)


def fitting_tasks(
    free_capacity: FreeCapacity,
    waiting: WaitingStep,
    targets: Iterable[TargetState],
) -> dict[str, int]:
    """Return how many more tasks of a step fit on each target now, by key."""
    need = task_size(waiting.state.step)
    fitting = {}
    for target in targets:
        free = free_capacity.free[target.key]
        # Most targets of a full cell have no room: they need no division.
        if free.cpus < need.cpus or free.memory < need.memory:
            fitting[target.key] = 0
        else:
            limit = _limit_on(waiting, target.key)
            fitting[target.key] = fit_count(need, free, limit)
    return fitting


def _limit_on(waiting: WaitingStep, key: str) -> int:
    """Return how many more tasks a step's ``spread`` allows on a target."""
    step = waiting.state.step
    if not step.spread:
        return step.count
    held = sum(run.instance == key for run in waiting.state.runs.values())
    return min(step.count, step.spread - held)


def hold_capacity(
    free_capacity: FreeCapacity,
    waiting: WaitingStep,
    rows: list[tuple[int, str]],
) -> None:
    """Keep capacity for (task index, target key) in the rest of the pass."""
    need = task_size(waiting.state.step)
    for _, key in rows:
        free_capacity.free[key] = minus(free_capacity.free[key], need)


def suitable_targets(
    lead: CellLeader,
    free_capacity: FreeCapacity,
    waiting: WaitingStep,
) -> list[TargetState]:
    """Return the targets that a step may use, unless the advisor denied them.

    Targets reserved for a gang, and those that could not hold even one task,
    are left out.
    """
    approval = lead.approvals.get(waiting.state.key)
    excluded = free_capacity.reserved
    if approval and approval.denied:
        excluded = excluded | approval.denied
    max_tasks = _cached_max_tasks(free_capacity, waiting)
    return [
        target
        for key, target in free_capacity.targets.items()
        if max_tasks[key] > 0 and key not in excluded
    ]


def _cached_max_tasks(
    free_capacity: FreeCapacity, waiting: WaitingStep
) -> dict[str, int]:
    """Return ``max_tasks_on`` of all targets, cached as it never changes."""
    cached = waiting.max_tasks_by_target
    for key in free_capacity.targets.keys() - cached.keys():
        target = free_capacity.targets[key]
        cached[key] = max_tasks_on(target, waiting.state.step, waiting.queue)
    return cached


def target_preference(
    lead: CellLeader, target: TargetState
) -> tuple[float, float]:
    """Return a sort key: fast targets first, then the fullest."""
    slowness = lead.relative_speed.get(target.key, DEFAULT_SPEED).slowness
    fullness = dominant_share(target.used, target.instance.capacity)
    return (round(slowness / _SLOWNESS_STEP), -fullness)


def is_mostly_free(lead: CellLeader) -> bool:
    """Tell whether less than half of the cell's processors and memory is used.

    Where it is, a step waits for something else than room.
    """
    targets = lead.cell.targets.values()
    used = [target.used for target in targets]
    capacity = [target.instance.capacity for target in targets]
    cpus = sum(size.cpus for size in capacity)
    memory = sum(size.memory for size in capacity)
    return (
        2 * sum(size.cpus for size in used) < cpus
        and 2 * sum(size.memory for size in used) < memory
    )
