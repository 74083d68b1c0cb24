"""A scheduler's replica, as it finds it on its disk."""

from typing import Any

import xxhash

from daisygw.contracts import JournalError
from daisygw.links import log
from daisygw.links.processes import (
    Journal,
    create,
    load,
)
from daisygw.nodes import _clock
from daisygw.nodes._settings import NodeSettings
from daisygw.zones import (
    Replica,
    Timing,
    restore_replica,
)

GROUP = 'cell'
# Microseconds in a second.
_US = 1_000_000
# A heartbeat is several times the way between two hosts and a sync of a
# disk; an election waits for several lost ones, s.
_HEARTBEAT = 0.1
# Shortest election timeout, s: docs/PLATFORM.md, "Ways weighed".
_ELECTION = 0.5
TIMING = Timing(heartbeat=_HEARTBEAT, election=_ELECTION, drift=_HEARTBEAT)


def open_replica(cfg: NodeSettings) -> tuple[Replica, Journal | None]:
    """Return this host's replica, and its journal where it has a disk."""
    fresh = f'{cfg.host}#{int(_clock.wall() * _US):x}'
    journal, saved = (None, None)
    if cfg.data:
        journal, saved = _open_journal(cfg, fresh)
        fresh = journal.name
    founding = cfg.first_start and saved is None and cfg.host in cfg.seeds
    replica = Replica(
        GROUP,
        fresh,
        tuple(sorted(cfg.seeds)) if founding else (),
        TIMING,
        xxhash.xxh32_intdigest(fresh.encode('ascii')),
    )
    replica.accepts_new_hosts = True
    replica.contacts.update(cfg.seeds)
    if saved:
        restore_replica(replica, saved, _clock.now())
    log(
        'replica',
        name=fresh,
        founding=founding,
        term=replica.term,
        entries=len(replica.log),
        commit=replica.commit,
    )
    return replica, journal


def _open_journal(cfg: NodeSettings, fresh: str) -> tuple[Journal, Any]:
    folder = cfg.data / GROUP
    try:
        loaded = load(folder)
    except JournalError as exc:
        log('journal damaged', code=exc.code, reason=exc.reason)
        loaded = None
    return loaded or (create(folder, fresh), None)
