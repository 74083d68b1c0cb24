"""The state of a scheduler process, and callbacks from its groups."""

import asyncio
import time
from functools import partial
from typing import Any

from daisygw.contracts import (
    CONFIGURATION_GROUP,
    ConfigAtBoot,
    ConfigChanged,
    LeaderStatus,
)
from daisygw.links import log
from daisygw.links.processes import (
    Group,
    Link,
    Transport,
    post,
)
from daisygw.schedulers._config_machine import ConfigState
from daisygw.schedulers._domain_machine import (
    DomainState,
    apply_configuration,
)
from daisygw.settings import (
    Settings,
    configuration_of,
    settings_in_force,
)
from daisygw.zones import (
    OutgoingMessage,
    host_of,
)

# How long a new scheduler waits for the current configuration before it uses
# the one it stores, or its settings file: several elections of the slower
# configuration group.
_CONFIG_WAIT_S = 8.0


class Scheduler:
    """The state of one scheduler process.

    ``boot_settings`` are those of the settings file and ``settings`` those in
    force; ``leading`` has the term of each group that this process leads;
    ``links`` go to other hosts, and ``sessions`` come from entries.
    """

    def __init__(self, settings: Settings, host: str) -> None:
        """Create the state of ``host`` without groups or links."""
        self.boot_settings = settings
        self.settings = settings
        self.host = host
        self.domain = settings.hosts[host].domain
        self.groups: dict[str, Group] = {}
        self.domains: dict[str, DomainState] = {}
        self.config = ConfigState(settings)
        self.links: dict[str, Link] = {}
        self.sessions: dict[str, Link] = {}
        self.leading: dict[str, int] = {}
        self.config_known = False
        self.started_at = time.monotonic()
        self.wake = asyncio.Event()
        self.stopped = asyncio.Event()
        self.transport = Transport(partial(_send, self), partial(_emit, self))


def _send(scheduler: Scheduler, message: Any) -> None:
    link = scheduler.links.get(host_of(message.to))
    if link:
        post(link, message)


def _emit(scheduler: Scheduler, outgoing: OutgoingMessage) -> None:
    session = scheduler.sessions.get(outgoing.entry)
    if session:
        post(session, outgoing.message)


def on_leadership_change(
    scheduler: Scheduler,
    group: str,
    term: int,
    leading: bool,
) -> None:
    """Record whether this process leads a group, and announce it to entries."""
    if leading:
        scheduler.leading[group] = term
    else:
        scheduler.leading.pop(group, None)
    log('leader', group=group, term=term, leads=leading)
    update = LeaderStatus(group, scheduler.host, term, leading)
    for session in scheduler.sessions.values():
        post(session, update)


def on_config_change(scheduler: Scheduler, change: ConfigChanged) -> None:
    """Put a committed configuration change in force, and publish it."""
    settings = settings_in_force(
        scheduler.boot_settings, change, scheduler.domain
    )
    scheduler.settings = settings
    cfg = configuration_of(settings, change.version)
    for state in scheduler.domains.values():
        apply_configuration(state, cfg)
    log('configuration', version=change.version, change=change.change)
    publish_config(scheduler)


def publish_config(scheduler: Scheduler) -> None:
    """Send the configuration to all entries once this replica is current.

    A replica that has just started may be older than what entries have seen.
    Without contact to a leader, as in a partition, its configuration is sent
    only after ``_CONFIG_WAIT_S``.
    """
    if not scheduler.config_known:
        return
    update = scheduler.config.history.current or ConfigAtBoot(scheduler.host)
    for session in scheduler.sessions.values():
        post(session, update)


def update_config_known(scheduler: Scheduler, now: float) -> None:
    """Publish the configuration once it is current, or the wait is over.

    ``now`` is monotonic (s).
    """
    current = scheduler.groups[CONFIGURATION_GROUP].replica.current
    waited = now > scheduler.started_at + _CONFIG_WAIT_S
    if not scheduler.config_known and (current or waited):
        scheduler.config_known = True
        publish_config(scheduler)
