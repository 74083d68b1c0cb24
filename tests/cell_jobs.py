"""Jobs of one step, and the runs that a cell has placed, for steps."""

from daisygw.contracts import JobSpec, Size, Step


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
