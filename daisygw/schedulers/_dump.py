"""State dump and metrics of the scheduler process."""

from prometheus_client import CollectorRegistry, Gauge, generate_latest

from daisygw.contracts import Query, ResultCode, SchedulerResponse
from daisygw.links.processes import (
    describe_group,
    describe_journal,
    describe_link,
    leads,
    to_json,
    usage,
)
from daisygw.schedulers._state import Scheduler


def scheduler_dump(scheduler: Scheduler, query: Query) -> SchedulerResponse:
    """Return the state of a scheduler's groups, links and resources."""
    groups = []
    for group in scheduler.groups.values():
        journal = describe_journal(group.journal) if group.journal else None
        groups.append({**describe_group(group), 'journal': journal})
    view = {
        'process': 'scheduler',
        'host': scheduler.host,
        'domain': scheduler.domain,
        'config_version': scheduler.config.history.version,
        'usage': usage(),
        'groups': groups,
        'links': [describe_link(link) for link in scheduler.links.values()],
        'sessions': [
            describe_link(link) for link in scheduler.sessions.values()
        ],
    }
    return SchedulerResponse(query.seq, ResultCode.ACCEPTED, view=to_json(view))


def scheduler_metrics(scheduler: Scheduler, query: Query) -> SchedulerResponse:
    """Return a scheduler's metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    _group_metrics(scheduler, registry)
    _state_metrics(scheduler, registry)
    text = generate_latest(registry).decode('utf-8')
    return SchedulerResponse(query.seq, ResultCode.ACCEPTED, view=text)


def _gauge(registry: CollectorRegistry, name: str, text: str) -> Gauge:
    return Gauge(f'daisygw_{name}', text, ['group'], registry=registry)


def _group_metrics(
    scheduler: Scheduler,
    registry: CollectorRegistry,
) -> None:
    commit = _gauge(registry, 'log_commit', 'Commit index of the log')
    leading = _gauge(registry, 'leads', '1 where this replica leads')
    entries = _gauge(registry, 'log_entries', 'Entries since the snapshot')
    for name, group in scheduler.groups.items():
        commit.labels(name).set(group.replica.commit)
        leading.labels(name).set(int(leads(group)))
        entries.labels(name).set(len(group.replica.log))


def _state_metrics(
    scheduler: Scheduler,
    registry: CollectorRegistry,
) -> None:
    started = _gauge(registry, 'tasks_started', 'Leases given so far')
    waiting = _gauge(registry, 'tasks_waiting', 'Tasks that wait in lanes')
    workers = _gauge(registry, 'workers', 'Workers in the replicated state')
    for name, state in scheduler.domains.items():
        started.labels(name).set(state.replicated.job_registry.started)
        workers.labels(name).set(len(state.replicated.workers.by_name))
        if state.lead:
            lanes = state.lead.lanes.by_name.values()
            waiting.labels(name).set(sum(lane.tasks for lane in lanes))
