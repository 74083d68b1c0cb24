"""Free capacity of the usable targets during one placement pass."""

from collections import Counter
from collections.abc import Iterable

from daisygw.cell._leader import CellLeader, WaitingStep
from daisygw.cell._speeds import slowness_of
from daisygw.cell._state import TargetState
from daisygw.cell._trust import is_repeatable, task_limit
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
# Targets that have just returned are limited if they are at most this share of
# the available ones of their service.
MAX_PROBATION_SHARE = 0.3
# A full target comes before an empty one that is faster by up to this share:
# packing leaves room for wide tasks, and estimated speeds err by 5 percent.
_FULLNESS_WEIGHT = 0.2


class FreeCapacity:
    """The usable targets, their free capacity and those reserved for gangs.

    ``claims`` holds by customer what its steps that were considered and still
    wait keep of its limit from its later ones.
    ``task_limits`` holds how many tasks those may run that have returned.
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
        self.task_limits = _task_limits(lead, available)
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


def _task_limits(
    lead: CellLeader, available: list[TargetState]
) -> dict[str, int]:
    """Return how many tasks targets may run that have returned.

    There is no limit where many of a service returned at the same time: then
    the network or the leader was at fault, and the work needs them.
    """
    services = Counter(target.instance.service for target in available)
    returned = {
        target.key: (target.instance.service, limit)
        for target in available
        if (limit := task_limit(lead, target)) is not None
    }
    limited = Counter(service for service, _ in returned.values())
    return {
        key: limit
        for key, (service, limit) in returned.items()
        if limited[service] <= int(services[service] * MAX_PROBATION_SHARE)
    }


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
            limit = _limit_on(free_capacity, waiting, target.key)
            fitting[target.key] = fit_count(need, free, limit)
    return fitting


def _limit_on(
    free_capacity: FreeCapacity, waiting: WaitingStep, key: str
) -> int:
    """Return how many more tasks of a step a target may run, if they fit.

    The step's ``spread`` limits them, and the trust in a returned target.
    """
    step = waiting.state.step
    limit = step.count
    if step.spread:
        held = sum(run.instance == key for run in waiting.state.runs.values())
        limit = min(limit, step.spread - held)
    most_runs = free_capacity.task_limits.get(key)
    if most_runs is None:
        return limit
    if not is_repeatable(waiting):
        return 0
    return min(limit, most_runs - len(free_capacity.targets[key].runs))


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

    Targets reserved for a gang, those that could not hold even one task, and
    those not trusted with the step are left out.
    """
    approval = lead.approvals.get(waiting.state.key)
    excluded = free_capacity.reserved
    if approval and approval.denied:
        excluded = excluded | approval.denied
    if free_capacity.task_limits and not is_repeatable(waiting):
        excluded = excluded | free_capacity.task_limits.keys()
    max_tasks = _cached_max_tasks(free_capacity, waiting)
    return [
        target
        for key, target in free_capacity.targets.items()
        if max_tasks[key] > 0 and key not in excluded
    ]


def still_suitable(
    lead: CellLeader,
    free_capacity: FreeCapacity,
    waiting: WaitingStep,
    targets: list[TargetState],
) -> list[TargetState]:
    """Return those of the approved targets that a gang should still use.

    It may have asked about others before they were reserved or on probation.
    """
    suitable = set(suitable_targets(lead, free_capacity, waiting))
    return [target for target in targets if target in suitable]


def _cached_max_tasks(
    free_capacity: FreeCapacity, waiting: WaitingStep
) -> dict[str, int]:
    """Return ``max_tasks_on`` of all targets, cached as it never changes."""
    cached = waiting.max_tasks_by_target
    for key in free_capacity.targets.keys() - cached.keys():
        target = free_capacity.targets[key]
        cached[key] = max_tasks_on(target, waiting.state.step, waiting.queue)
    return cached


def target_preference(lead: CellLeader, target: TargetState) -> float:
    """Return a sort key for the targets of tasks that start independently.

    Fast targets come first, and the fullest among those of like speed.
    """
    fullness = dominant_share(target.used, target.instance.capacity)
    return slowness_of(lead, target) * (1 - _FULLNESS_WEIGHT * fullness)


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
