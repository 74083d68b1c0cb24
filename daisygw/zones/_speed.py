"""Learned speed of targets: how long they take against the mean."""

from daisygw.contracts import Contract, work_key
from daisygw.machines import set_speed
from daisygw.zones._leader import DomainLeader

# Weight of the newest run in a target's speed: 10 runs follow a change.
_LEARNING_RATE = 0.1
# Mean run time below which speeds are not learned, s: the overhead of a start
# hides them.
_SHORTEST = 0.01
# Milliseconds in a second.
_MS = 1000


def note_run(
    lead: DomainLeader,
    target: str,
    contract: Contract,
    run: int,
) -> None:
    """Learn from one run (ms) how fast a target is.

    The speed that counts is that against the fastest target known; targets
    that slow down sink in the index, and rise again when they recover.
    """
    mean = lead.replicated.job_registry.learned.get(work_key(contract), 0)
    if mean < _SHORTEST:
        return
    known = lead.speeds.get(target, 1)
    ratio = run / _MS / mean
    lead.speeds[target] = known + (ratio - known) * _LEARNING_RATE
    fastest = min(lead.speeds.values())
    relative = lead.speeds[target] / max(fastest, _SHORTEST)
    if set_speed(lead.index, target, relative):
        lead.replicated.workers.touched.add(target)
