"""Jobs of one step, and the runs that a cell has placed, for steps."""

from daisygw.contracts import JobSpec, Size, Step
from tests.cell_world import TICK_S, run_for


def small_job(number, count=1, **more):
    """Return a job of one step; ``more`` are fields of the step."""
    size = more.pop('size', Size(1000, 500, 0, 0))
    payload = more.pop('payload', 'work')
    estimate = more.pop('estimate', 1)
    step = Step(count, size, estimate, **more)
    return JobSpec(f'{number:016x}', payload, (step,))


def placed_runs(world):
    """Return the keys of all runs that hold capacity."""
    return [run for one in world.cell.targets.values() for run in one.runs]


def wait_for_call(world):
    """Run until a call to the advisor is open, 50 turns at most."""
    for _ in range(50):
        run_for(world, TICK_S)
        if world.lead.pending_advice:
            return
    raise AssertionError('no call to the advisor')
