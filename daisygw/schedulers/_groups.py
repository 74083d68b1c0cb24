"""Opens a scheduler's replicas, from disk or as new ones."""

import time
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import xxhash

from daisygw.contracts import (
    CONFIGURATION_GROUP,
    JournalError,
)
from daisygw.links import log
from daisygw.links.processes import (
    Group,
    Journal,
    StateMachine,
    create,
    load,
)
from daisygw.schedulers._config_machine import config_state_machine
from daisygw.schedulers._domain_machine import (
    DomainState,
    domain_state_machine,
)
from daisygw.schedulers._state import (
    Scheduler,
    on_config_change,
    on_leadership_change,
)
from daisygw.settings import (
    configuration_of,
    share_of_domain,
    voters_of,
)
from daisygw.zones import (
    Replica,
    Timing,
    restore_replica,
)

# Factor by which heartbeats and elections of the configuration's group are
# slower: no request depends on them.
_CONFIG_TIMING_FACTOR = 3


def _new_replica_name(host: str) -> str:
    return f'{host}#{time.time_ns():x}'


def _timing(scheduler: Scheduler, group: str) -> Timing:
    """Return a group's timing, which is slower for the configuration."""
    timing = scheduler.boot_settings.timing
    if group != CONFIGURATION_GROUP:
        return timing
    return replace(
        timing,
        heartbeat=timing.heartbeat * _CONFIG_TIMING_FACTOR,
        election=timing.election * _CONFIG_TIMING_FACTOR,
    )


def _open_replica(
    scheduler: Scheduler,
    group: str,
    voter_hosts: tuple[str, ...],
    *,
    is_tie_breaker: bool,
) -> tuple[Replica, Journal | None]:
    folder = Path(scheduler.boot_settings.process.data) / scheduler.host / group
    journal = None
    stored = None
    name = _new_replica_name(scheduler.host)
    if scheduler.boot_settings.hosts[scheduler.host].disk:
        journal, stored = _open_journal(folder, name)
        name = journal.name
    replica = Replica(
        group,
        name,
        voter_hosts,
        _timing(scheduler, group),
        xxhash.xxh32_intdigest(name.encode('ascii')),
        is_tie_breaker=is_tie_breaker,
        eager_commit=group == CONFIGURATION_GROUP,
    )
    if stored:
        restore_replica(replica, stored, time.monotonic())
    return replica, journal


def _open_journal(folder: Path, name: str) -> tuple[Journal, Any]:
    try:
        loaded = load(folder)
    except JournalError as exc:
        log('journal', code=exc.code, reason=exc.reason)
        loaded = None
    return loaded or (create(folder, name), None)


def _add_group(
    scheduler: Scheduler,
    name: str,
    voter_hosts: tuple[str, ...],
    machine: StateMachine,
) -> None:
    is_tie_breaker = (
        name in scheduler.boot_settings.domains and name != scheduler.domain
    )
    replica, journal = _open_replica(
        scheduler, name, voter_hosts, is_tie_breaker=is_tie_breaker
    )
    scheduler.groups[name] = Group(replica, journal, machine)


def open_groups(scheduler: Scheduler) -> None:
    """Open the replicas of every group in which this host votes."""
    settings = scheduler.boot_settings
    for domain in settings.domains:
        voter_hosts = voters_of(settings, domain)
        if scheduler.host in voter_hosts:
            share = share_of_domain(settings, domain)
            cfg = configuration_of(settings, 0)
            state = DomainState(domain, share, cfg)
            scheduler.domains[domain] = state
            on_change = partial(on_leadership_change, scheduler, domain)
            machine = domain_state_machine(state, on_change)
            _add_group(scheduler, domain, voter_hosts, machine)
    machine = config_state_machine(
        scheduler.config,
        partial(on_config_change, scheduler),
        partial(on_leadership_change, scheduler, CONFIGURATION_GROUP),
    )
    voter_hosts = settings.configuration.voters
    _add_group(scheduler, CONFIGURATION_GROUP, voter_hosts, machine)
