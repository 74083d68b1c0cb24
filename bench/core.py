"""A domain leader without processes or I/O, driven by a simulated clock.

The benchmarks and the decision tests call its event handlers directly.
"""

from dataclasses import dataclass, replace
from random import Random

from daisygw.contracts import (
    Configuration,
    Contract,
    Kind,
    Policy,
    ResultCode,
    Size,
    Submit,
    TaskReport,
    TaskStartOrder,
    Team,
)
from daisygw.machines import Announcement, RunningAttempt, TargetSpec
from daisygw.zones import (
    DomainLeader,
    ReplicatedState,
    advance_clock,
    collect_output,
    entry_connected,
    finish_turn,
    on_announcement,
    on_submit,
    on_task_report,
    start_leading,
)

ENTRY = 'entry/bench'
_MS_PER_S = 1000
_ACCELERATORS_BY_WORKER = (0, 0, 0, 0, 4, 0, 0, 0, 0, 8)


@dataclass(frozen=True, slots=True)
class Scale:
    """Size of a simulated cell.

    ``workers`` is the number of targets, ``held`` the number of tasks to keep
    running, ``slots`` the task slots of each target.
    """

    workers: int
    held: int
    teams: int
    slots: int = 8


class Core:
    """A domain leader, its clock (s), and its start orders still running."""

    def __init__(self, scale: Scale, policy: Policy, seed: int = 1) -> None:
        """Start the leader with all targets announced and no task running."""
        names = [f'team{number}' for number in range(scale.teams)]
        teams = {name: Team(name) for name in names}
        cfg = Configuration(1, teams, policy)
        self.random = Random(seed)
        self.teams = names
        self.lead = DomainLeader('bench', 1, ReplicatedState(), cfg, 1)
        self.now = 0.0
        self.number = 0
        self.orders: list[TaskStartOrder] = []
        self.refused = 0
        self.specs = [
            _target_spec(number, scale) for number in range(scale.workers)
        ]
        start_leading(self.lead)
        entry_connected(self.lead, ENTRY)
        self.announcement_number = 0
        announce_all(self)


def _target_spec(number: int, scale: Scale) -> TargetSpec:
    accelerators = _ACCELERATORS_BY_WORKER[
        number % len(_ACCELERATORS_BY_WORKER)
    ]
    capacity = Size(64_000, 262_144, accelerators, scale.slots)
    name = f'w{number}'
    return TargetSpec(name, 'i', f'10.0.0.1:{number}', capacity)


def announce_all(core: Core) -> None:
    """Send an announcement of each target that lists its running tasks."""
    core.announcement_number += 1
    advance_clock(core.lead, core.now, int(core.now * _MS_PER_S))
    running = {}
    for order in core.orders:
        running.setdefault(order.target, []).append(order)
    for spec in core.specs:
        attempts = tuple(
            _running_attempt(one) for one in running.get(spec.name, ())
        )
        announcement = Announcement(
            spec,
            core.announcement_number,
            core.announcement_number - 1,
            attempts,
        )
        on_announcement(core.lead, announcement, ENTRY)
    collect_output(core.lead)


def _running_attempt(order: TaskStartOrder) -> RunningAttempt:
    return RunningAttempt(order.key, order.attempt)


def random_contract(core: Core, **more) -> Contract:
    """Return a new request with a random team, size and kind of work.

    ``more`` overrides fields of the contract.
    """
    core.number += 1
    random = core.random
    size = Size(
        random.choice((250, 500, 1000, 2000)),
        random.choice((512, 1024, 4096)),
    )
    contract = Contract(
        f'bench~{core.number}',
        random.choice(core.teams),
        size=size,
        work=random.choice(('stamp', 'check', 'sweep')),
    )
    return replace(contract, **more)


def submit(core: Core, contract: Contract) -> None:
    """Submit a request to the leader from the entry."""
    on_submit(core.lead, Submit(core.number, contract), ENTRY)


def run_turn(core: Core, step: float) -> None:
    """Advance the clock by ``step`` (s) and run one placement turn.

    Start orders that the turn emits are added to ``core.orders``.
    """
    core.now += step
    advance_clock(core.lead, core.now, int(core.now * _MS_PER_S))
    finish_turn(core.lead)
    _, outbox = collect_output(core.lead)
    for outgoing in outbox:
        if isinstance(outgoing.message, TaskStartOrder):
            core.orders.append(outgoing.message)


def finish_random_task(core: Core) -> None:
    """Report a random running task as answered."""
    orders = core.orders
    chosen = core.random.randrange(len(orders))
    orders[chosen], orders[-1] = orders[-1], orders[chosen]
    order = orders.pop()
    answered = ResultCode.ANSWERED
    report = TaskReport(order.key, order.attempt, answered, 100)
    on_task_report(core.lead, report, ENTRY)


def place_tasks(core: Core, held: int) -> None:
    """Place ``held`` tasks, submitted as batch jobs of up to 200 tasks.

    Raises:
        RuntimeError: the cell cannot hold that many.

    """
    for _ in range(held + 1):
        count = min(200, held - len(core.orders))
        if count <= 0:
            return
        submit(core, random_contract(core, count=count, kind=Kind.BATCH))
        run_turn(core, 0.001)
    raise RuntimeError(f'placed only {len(core.orders)} of {held} tasks')
