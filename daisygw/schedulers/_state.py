"""The state of a scheduler process, and what its groups tell it."""

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
    use_configuration,
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

# After this time without the configuration a scheduler serves by its file, s:
# several elections of the slower configuration group.
_ALONE = 8.0


class Scheduler:
    """The state of one scheduler process."""

    def __init__(self, settings: Settings, host: str) -> None:
        """Begin without groups or links, as the host called ``host``."""
        self.boot = settings
        self.settings = settings
        self.host = host
        self.domain = settings.hosts[host].domain
        self.groups: dict[str, Group] = {}
        self.domains: dict[str, DomainState] = {}
        self.config = ConfigState(settings)
        self.links: dict[str, Link] = {}
        self.sessions: dict[str, Link] = {}
        self.leading: dict[str, int] = {}
        self.knows_config = False
        self.began = time.monotonic()
        self.wake = asyncio.Event()
        self.stopped = asyncio.Event()
        self.transport = Transport(partial(_send, self), partial(_tell, self))


def _send(scheduler: Scheduler, message: Any) -> None:
    link = scheduler.links.get(host_of(message.to))
    if link:
        post(link, message)


def _tell(scheduler: Scheduler, outgoing: OutgoingMessage) -> None:
    session = scheduler.sessions.get(outgoing.entry)
    if session:
        post(session, outgoing.message)


def on_leading(
    scheduler: Scheduler,
    group: str,
    term: int,
    leading: bool,
) -> None:
    if leading:
        scheduler.leading[group] = term
    else:
        scheduler.leading.pop(group, None)
    log('leader', group=group, term=term, leads=leading)
    news = LeaderStatus(group, scheduler.host, term, leading)
    for session in scheduler.sessions.values():
        post(session, news)


def on_config(scheduler: Scheduler, change: ConfigChanged) -> None:
    settings = settings_in_force(scheduler.boot, change, scheduler.domain)
    scheduler.settings = settings
    cfg = configuration_of(settings, change.version)
    for state in scheduler.domains.values():
        use_configuration(state, cfg)
    log('configuration', version=change.version, change=change.change)
    announce_configuration(scheduler)


def announce_configuration(scheduler: Scheduler) -> None:
    """Tell the entries what is in force, once this replica surely knows.

    A replica that has just started may lag behind what entries have seen; it
    is believed without a leader only after a while, as in a partition.
    """
    if not scheduler.knows_config:
        return
    news = scheduler.config.history.current or ConfigAtBoot(scheduler.host)
    for session in scheduler.sessions.values():
        post(session, news)


def learn_config(scheduler: Scheduler, now: float) -> None:
    current = scheduler.groups[CONFIGURATION_GROUP].replica.current
    alone = now > scheduler.began + _ALONE
    if not scheduler.knows_config and (current or alone):
        scheduler.knows_config = True
        announce_configuration(scheduler)
