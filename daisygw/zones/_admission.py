"""Admission control: accept or refuse a request, or attach it to its job."""

import heapq
from collections.abc import Callable, Mapping
from dataclasses import replace
from types import MappingProxyType

from daisygw.contracts import (
    ZERO_SIZE,
    Contract,
    Job,
    JobAccepted,
    Kind,
    RefusedAtEntry,
    ResultCode,
    SchedulerResponse,
    Size,
    Submit,
    TaskKey,
    TaskSettled,
    TaskState,
    backlog_ahead,
    count_fitting,
    expected_run_time,
    fits,
    is_within,
    times,
)
from daisygw.zones._leader import DomainLeader, record, send_to_entry
from daisygw.zones._orders import repeat_order
from daisygw.zones._queue import address_of, unpark, wait

# Retry delay while no target is known, as targets announce themselves every
# second; also added to the delay where the expected wait is too long.
_RETRY_AFTER_S = 1.0

# A refusal: its code, the reason and the retry delay (s).
Refusal = tuple[ResultCode, str, float]


def on_submit(lead: DomainLeader, submit: Submit, entry: str) -> None:
    """Accept, refuse or attach a submission; the answer goes to ``entry``."""
    contract = submit.contract
    job = lead.replicated.job_registry.jobs.get(contract.id)
    if job is not None:
        _attach(lead, job, submit, entry)
        return
    refusal = _refusal(lead, contract)
    if refusal is None:
        _accept(lead, submit, entry)
        return
    code, reason, retry_after = refusal
    lead.refusals[contract.team, code] += 1
    send_to_entry(
        lead, entry, SchedulerResponse(submit.seq, code, reason, retry_after)
    )


def on_refused_at_entry(
    lead: DomainLeader,
    refused: RefusedAtEntry,
    entry: str,
) -> None:
    """Count a refusal by an entry; an unknown team counts as the empty one."""
    team = refused.team if refused.team in lead.cfg.teams else ''
    lead.refusals[team, refused.code] += 1


def _accept(lead: DomainLeader, submit: Submit, entry: str) -> None:
    contract = submit.contract
    record(lead, JobAccepted(contract, lead.wall))
    lead.serving_entries[contract.id] = {entry}
    wait(
        lead,
        lead.replicated.job_registry.jobs[contract.id],
        range(contract.count),
    )
    if contract.deadline:
        due = (lead.now + contract.deadline, contract.id)
        heapq.heappush(lead.deadlines, due)
    send_to_entry(
        lead, entry, SchedulerResponse(submit.seq, ResultCode.ACCEPTED)
    )


def _attach(
    lead: DomainLeader,
    job: Job,
    submit: Submit,
    entry: str,
) -> None:
    contract = job.contract
    if replace(submit.contract, spec=contract.spec) != contract:
        reason = 'this id was used for another request'
        answer = SchedulerResponse(submit.seq, ResultCode.ID_REUSED, reason)
        send_to_entry(lead, entry, answer)
        return
    lead.serving_entries.setdefault(contract.id, set()).add(entry)
    send_to_entry(
        lead, entry, SchedulerResponse(submit.seq, ResultCode.ACCEPTED)
    )
    unpark(lead, job)
    for task in job.tasks:
        key = TaskKey(contract.id, task.index)
        if task.state is TaskState.LEASED:
            repeat_order(lead, job, key, entry)
        elif task.state is TaskState.ENDED:
            address = address_of(lead, task.target)
            settled = TaskSettled(key, task.attempt, task.code, address)
            send_to_entry(lead, entry, settled)


def _refusal(lead: DomainLeader, contract: Contract) -> Refusal | None:
    if contract.team not in lead.cfg.teams:
        reason = f'team {contract.team!r} is not configured'
        return ResultCode.UNKNOWN_TEAM, reason, 0
    return (
        _never_fits(lead, contract)
        or _over_quota(lead, contract)
        or ADMISSIONS[lead.policy.admission](lead, contract)
    )


def _never_fits(lead: DomainLeader, contract: Contract) -> Refusal | None:
    shapes = lead.replicated.workers.shapes
    if not shapes:
        reason = 'no worker has announced itself yet'
        return ResultCode.NO_WORKERS, reason, _RETRY_AFTER_S
    if not any(fits(contract.size, shape) for shape in shapes):
        return ResultCode.NEVER_FITS, 'no worker is large enough for a task', 0
    if contract.kind is not Kind.GANG:
        return None
    capacity = sum(
        count_fitting(contract.size, shape) * count
        for shape, count in shapes.items()
    )
    if capacity < contract.count:
        reason = f'the workers can hold at most {capacity} of its tasks'
        return ResultCode.NEVER_FITS, reason, 0
    return None


def quota_of(lead: DomainLeader, team: str) -> Size:
    """Return this failure domain's share of a team's quota.

    It has at least one slot.
    """
    quota = lead.cfg.teams[team].quota
    share = lead.share
    return Size(
        int(quota.cpus * share),
        int(quota.memory * share),
        int(quota.accelerators * share),
        max(int(quota.slots * share), 1),
    )


def _over_quota(lead: DomainLeader, contract: Contract) -> Refusal | None:
    all_at_once = contract.kind is not Kind.BATCH
    need = times(contract.size, contract.count if all_at_once else 1)
    if is_within(ZERO_SIZE, need, quota_of(lead, contract.team)):
        return None
    reason = 'the request exceeds the quota of its team'
    return ResultCode.QUOTA_EXCEEDED, reason, 0


def expected_wait(lead: DomainLeader, contract: Contract) -> float:
    """Return the expected wait (s) of a request submitted now."""
    run = expected_run_time(lead.replicated.job_registry, contract)
    lane = lead.lane_of(contract, run)
    slots = max(lead.replicated.capacity.slots, 1)
    return backlog_ahead(lead.lanes, lane) / slots


def _admit_by_wait(lead: DomainLeader, contract: Contract) -> Refusal | None:
    expected = expected_wait(lead, contract)
    bound = getattr(lead.policy.max_wait, contract.priority)
    if contract.deadline:
        bound = min(bound, contract.deadline)
    if expected <= bound:
        return None
    reason = f'the expected wait is {expected:.1f} s, the bound {bound:.1f} s'
    return ResultCode.OVERLOADED, reason, expected - bound + _RETRY_AFTER_S


def _admit_all(lead: DomainLeader, contract: Contract) -> Refusal | None:
    return None


ADMISSIONS: Mapping[
    str,
    Callable[[DomainLeader, Contract], Refusal | None],
] = MappingProxyType({
    'wait': _admit_by_wait,
    'open': _admit_all,
})
