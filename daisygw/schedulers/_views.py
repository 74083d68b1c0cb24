"""JSON views of the replicated state, for queries."""

from collections import Counter
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from daisygw.contracts import Job, Query, ResultCode, SchedulerResponse, Size
from daisygw.links.processes import to_json
from daisygw.report import wait_figures
from daisygw.zones import DomainLeader, OutgoingMessage

_PERCENT = 100


def on_query(lead: DomainLeader, query: Query, entry: str) -> None:
    """Answer a query with a view of the replicated state.

    The code is UNKNOWN_JOB if there is no such view or no such job.
    """
    view = _VIEWS.get(query.view, _no_view)(lead, query.name)
    code = ResultCode.ACCEPTED if view is not None else ResultCode.UNKNOWN_JOB
    text = to_json(view) if view is not None else ''
    reason = '' if text else f'{query.view} {query.name!r} not found'
    answer = SchedulerResponse(query.seq, code, reason, view=text)
    lead.outbox.append(OutgoingMessage(entry, answer))


def _no_view(lead: DomainLeader, name: str) -> Any:
    return None


def _job_view(lead: DomainLeader, name: str) -> Any:
    job = lead.replicated.job_registry.jobs.get(name)
    return None if job is None else describe_job(job)


def describe_job(job: Job) -> dict[str, Any]:
    """Return the status of a job as JSON-compatible values; times in ms."""
    states = Counter(task.state.name.lower() for task in job.tasks)
    codes = Counter(
        ResultCode(task.code).name for task in job.tasks if task.code
    )
    return {
        'id': job.contract.id,
        'team': job.contract.team,
        'kind': job.contract.kind,
        'accepted_ms': job.accepted,
        'ended_ms': job.ended,
        'tasks': dict(states),
        'codes': dict(codes),
    }


def _targets_view(lead: DomainLeader, name: str) -> Any:
    return [
        {
            'name': worker.spec.name,
            'rack': worker.spec.rack,
            'address': worker.spec.address,
            'capacity': worker.spec.capacity,
            'free': worker.free,
            'tasks': len(worker.held),
            'leaving': worker.spec.leaving,
            'drained': worker.drained,
            'aside': worker.aside,
        }
        for worker in lead.replicated.workers.by_name.values()
    ]


def _percent_held(held: Size, capacity: Size, resource: str) -> float | None:
    whole = getattr(capacity, resource)
    if not whole:
        return None
    return round(getattr(held, resource) / whole * _PERCENT, 1)


def _report_view(lead: DomainLeader, name: str) -> Any:
    tally = lead.replicated.tally
    packing_totals = tally.packing_totals
    return {
        'domain': lead.domain,
        'waits_ms': wait_figures(tally),
        'held_percent': {
            resource: _percent_held(
                packing_totals.held_sum, packing_totals.capacity_sum, resource
            )
            for resource in ('cpus', 'memory', 'accelerators', 'slots')
        },
        'refusals': _by_code(tally.refusals),
        'outcomes': _by_code(tally.outcomes),
    }


def _by_code(counts: Mapping[tuple[str, int], int]) -> list[dict[str, Any]]:
    return [
        {
            'team': team,
            'code': code,
            'name': ResultCode(code).name,
            'count': count,
        }
        for (team, code), count in sorted(counts.items())
    ]


def _summary_view(lead: DomainLeader, name: str) -> Any:
    replicated = lead.replicated
    return {
        'domain': lead.domain,
        'term': lead.term,
        'jobs': len(replicated.job_registry.jobs),
        'started': replicated.job_registry.started,
        'retried': replicated.job_registry.retried,
        'capacity': replicated.capacity,
        'held': replicated.held,
        'workers': len(replicated.workers.by_name),
        'entries': list(lead.entries),
        'decisions': lead.decisions,
        'looked_at': lead.index.looked_at,
        'waiting': {
            lane_name: lane.tasks
            for lane_name, lane in lead.lanes.by_name.items()
        },
        'parked': len(lead.parked),
    }


_VIEWS: Mapping[str, Callable[[DomainLeader, str], Any]] = MappingProxyType({
    'job': _job_view,
    'report': _report_view,
    'summary': _summary_view,
    'targets': _targets_view,
})
