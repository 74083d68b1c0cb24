"""A decision core: replicated state and a leader, its clock given to it."""

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
    initialize_leader,
    on_announcement,
    on_report,
    on_submit,
)

ENTRY = 'entry/bench'
_MS = 1000
_ACCELERATORS = (0, 0, 0, 0, 4, 0, 0, 0, 0, 8)


@dataclass(frozen=True, slots=True)
class Scale:
    """How large a cell is: workers, held tasks and teams."""

    workers: int
    held: int
    teams: int
    slots: int = 8


class Core:
    """A leader over replicated, the orders it gave, and its clock."""

    def __init__(self, scale: Scale, policy: Policy, seed: int = 1) -> None:
        """Begin with all workers announced and nothing held."""
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
        self.specs = [_spec(number, scale) for number in range(scale.workers)]
        initialize_leader(self.lead)
        entry_connected(self.lead, ENTRY)
        self.beat = 0
        announce_all(self)


def _spec(number: int, scale: Scale) -> TargetSpec:
    accelerators = _ACCELERATORS[number % len(_ACCELERATORS)]
    capacity = Size(64_000, 262_144, accelerators, scale.slots)
    name = f'w{number}'
    return TargetSpec(name, 'i', f'10.0.0.1:{number}', capacity)


def announce_all(core: Core) -> None:
    """Let every worker announce itself, with nothing new to say."""
    core.beat += 1
    advance_clock(core.lead, core.now, int(core.now * _MS))
    running = {}
    for order in core.orders:
        running.setdefault(order.target, []).append(order)
    for spec in core.specs:
        mine = tuple(_running(one) for one in running.get(spec.name, ()))
        said = Announcement(spec, core.beat, core.beat - 1, mine)
        on_announcement(core.lead, said, ENTRY)
    collect_output(core.lead)


def _running(order: TaskStartOrder) -> RunningAttempt:
    return RunningAttempt(order.key, order.attempt)


def random_contract(core: Core, **more) -> Contract:
    """Return a new request of a random team and a mixed size."""
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
    """Submit one request."""
    on_submit(core.lead, Submit(core.number, contract), ENTRY)


def run_turn(core: Core, step: float) -> None:
    """Let time pass by ``step`` (s), place, and keep the orders given."""
    core.now += step
    advance_clock(core.lead, core.now, int(core.now * _MS))
    finish_turn(core.lead)
    _, outbox = collect_output(core.lead)
    for outgoing in outbox:
        if isinstance(outgoing.message, TaskStartOrder):
            core.orders.append(outgoing.message)


def end_one(core: Core) -> None:
    """End a random running task well."""
    orders = core.orders
    chosen = core.random.randrange(len(orders))
    orders[chosen], orders[-1] = orders[-1], orders[chosen]
    order = orders.pop()
    answered = ResultCode.ANSWERED
    report = TaskReport(order.key, order.attempt, answered, 100)
    on_report(core.lead, report, ENTRY)


def place_tasks(core: Core, held: int) -> None:
    """Hold ``held`` tasks, as jobs of many tasks."""
    for _ in range(held + 1):
        count = min(200, held - len(core.orders))
        if count <= 0:
            return
        submit(core, random_contract(core, count=count, kind=Kind.BATCH))
        run_turn(core, 0.001)
    raise RuntimeError(f'only {len(core.orders)} of {held} tasks were placed')
