"""Trust in targets that have just returned, which grows with their runs.

A target returns when it is listed after the end of an instance of the same
name, or answers after a long silence.  At first it gets few tasks, of work
that can be repeated, and twice as many after each run that ended well.  One
that returns often needs more runs for that.
"""

from dataclasses import replace

from daisygw.cell._leader import CellLeader, WaitingStep
from daisygw.cell._state import Run, TargetState
from daisygw.cell._target_statistics import Probation
from daisygw.machines import LeaseState

# Tasks that a target runs at the same time just after it returned.
_FIRST_TASKS = 2
# After this many doublings of that number a target has no limit.
_DOUBLINGS = 3
# A target without trouble is trusted after this time for each return (s), so
# that one which gets no suitable work is not left out for long.
_TRUSTED_AFTER_S = 5.0
# Returns within this time (s) of each other add up, to this number at most.
_FLAPPING_S = 30.0
_MAX_RETURNS = 4
# A target that answers after this time (s) has returned: it exceeds the longest
# wait of a lease renewal plus the timeout of a call.
_LONG_SILENCE_S = 3.2


def is_long_silence(lead: CellLeader, lease_state: LeaseState) -> bool:
    """Tell whether a target that answers now has been silent for long."""
    silent_s = lead.now - lease_state.last_answer_at
    return lease_state.has_answered and silent_s > _LONG_SILENCE_S


def record_return(lead: CellLeader, name: str) -> None:
    """Begin the probation of a target that ended or was silent for long."""
    probations = lead.statistics.probations
    returns = 1
    former = probations.get(name)
    if former and lead.now - former.since < _FLAPPING_S:
        returns = min(former.returns + 1, _MAX_RETURNS)
    probations[name] = Probation(lead.now, returns)


def restart_probation(lead: CellLeader, name: str) -> None:
    """Let the probation of a target begin when it is listed again."""
    probation = lead.statistics.probations.get(name)
    if probation:
        lead.statistics.probations[name] = replace(
            probation, since=lead.now, ends=0
        )


def record_end(lead: CellLeader, run: Run, *, succeeded: bool) -> None:
    """Count a run that ended on a target; a failure starts the count again."""
    target = lead.cell.targets.get(run.instance)
    name = target.instance.name if target else ''
    probation = lead.statistics.probations.get(name)
    if probation:
        ends = probation.ends + 1 if succeeded else 0
        lead.statistics.probations[name] = replace(probation, ends=ends)


def task_limit(lead: CellLeader, target: TargetState) -> int | None:
    """Return how many tasks a target may run, or None if it is trusted."""
    probation = lead.statistics.probations.get(target.instance.name)
    if probation is None:
        return None
    doublings = probation.ends // probation.returns
    trusted_at = probation.since + _TRUSTED_AFTER_S * probation.returns
    if doublings >= _DOUBLINGS or lead.now >= trusted_at:
        return None
    return _FIRST_TASKS << doublings


def is_repeatable(waiting: WaitingStep) -> bool:
    """Tell whether little is lost if a task of a step has to run again.

    The loss of one member ends all of a gang.
    """
    step = waiting.state.step
    if step.gang or step.lasting:
        return False
    return step.checkpoints or waiting.queue.attempts > 1
