"""Learned speed of targets: how long they take against the mean."""

from daisygw.contracts import Contract, work_key
from daisygw.machines import set_speed
from daisygw.zones._leader import Leadership

# Weight of the newest run in a target's speed: 10 runs follow a change.
_LEARNING_RATE = 0.1
# Mean run time below which speeds are not learned, s: the overhead of a start
# hides them.
_MIN_MEAN_RUN_S = 0.01
# Milliseconds in a second.
_MS_PER_S = 1000


def record_run_time(
    lead: Leadership,
    target: str,
    contract: Contract,
    run: int,
) -> None:
    """Learn from one run (ms) how fast a target is.

    The speed that counts is that against the fastest target known; targets
    that slow down sink in the index, and rise again when they recover.
    """
    mean = lead.replicated.register.learned.get(work_key(contract), 0)
    if mean < _MIN_MEAN_RUN_S:
        return
    known = lead.speeds.get(target, 1)
    ratio = run / _MS_PER_S / mean
    lead.speeds[target] = known + (ratio - known) * _LEARNING_RATE
    fastest = min(lead.speeds.values())
    relative = lead.speeds[target] / max(fastest, _MIN_MEAN_RUN_S)
    if set_speed(lead.index, target, relative):
        lead.replicated.workers.touched.add(target)
