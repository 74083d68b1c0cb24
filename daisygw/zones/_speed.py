"""Relative speed of targets, learned from the run times of their tasks."""

from daisygw.contracts import Contract, work_key
from daisygw.machines import set_speed
from daisygw.zones._leader import DomainLeader

# Weight of the newest run in the moving average of a target's relative run
# times: the average follows a change within about 10 runs.
_NEWEST_RUN_WEIGHT = 0.1
# Nothing is learned from work with a shorter mean run time, because the
# overhead of a start hides the speed.  Also the lower bound, as a ratio, of the
# relative run time that others are divided by.
_MIN_MEAN_RUN_S = 0.01
_MS_PER_S = 1000


def record_run_time(
    lead: DomainLeader,
    target: str,
    contract: Contract,
    run: int,
) -> None:
    """Update a target's speed by one run time (ms).

    The index gets the speed relative to the fastest known target: a target
    that slows down is tried later, and earlier again when it recovers.
    """
    mean = lead.replicated.job_registry.learned.get(work_key(contract), 0)
    if mean < _MIN_MEAN_RUN_S:
        return
    average = lead.speeds.get(target, 1)
    ratio = run / _MS_PER_S / mean
    lead.speeds[target] = average + (ratio - average) * _NEWEST_RUN_WEIGHT
    fastest = min(lead.speeds.values())
    relative = lead.speeds[target] / max(fastest, _MIN_MEAN_RUN_S)
    if set_speed(lead.index, target, relative):
        lead.replicated.workers.touched.add(target)
