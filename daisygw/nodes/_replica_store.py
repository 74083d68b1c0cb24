"""Loading of a scheduler's replica and journal from disk."""

from typing import Any

import xxhash

from daisygw import PROCESS_STARTED_AT
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
_US_PER_S = 1_000_000
# Several times the network latency between two hosts plus a disk sync.  The
# election timeout tolerates several lost heartbeats.
_HEARTBEAT_S = 0.1
# Shortest election timeout: see docs/PLATFORM.md, "Ways weighed".
_ELECTION_S = 0.5
# ``drift`` is a fraction of the election time that has the same value.
TIMING = Timing(
    heartbeat=_HEARTBEAT_S, election=_ELECTION_S, drift=_HEARTBEAT_S
)


def open_replica(cfg: NodeSettings) -> tuple[Replica, Journal | None]:
    """Return this host's replica, and its journal if it has a disk.

    Without a usable journal, the replica gets a new name.  One that has been
    in no group founds it if the cell is bootstrapped and this host is a seed;
    otherwise it joins as a new member.
    """
    replica_name = f'{cfg.host}#{int(_clock.wall() * _US_PER_S):x}'
    journal, stored = (None, None)
    if cfg.data:
        journal, stored = _open_journal(cfg, replica_name)
        replica_name = journal.name
    replica = Replica(
        GROUP,
        replica_name,
        (),
        TIMING,
        xxhash.xxh32_intdigest(replica_name.encode('ascii')),
    )
    replica.accepts_new_hosts = True
    replica.contacts.update(cfg.seeds)
    if stored:
        restore_replica(replica, stored, PROCESS_STARTED_AT)
    is_founder = cfg.first_start and cfg.host in cfg.seeds
    if is_founder and not replica.members.voters:
        replica.voter_hosts = tuple(sorted(cfg.seeds))
    log(
        'replica',
        name=replica_name,
        founding=bool(replica.voter_hosts),
        term=replica.term,
        entries=len(replica.log),
        commit=replica.commit,
    )
    return replica, journal


def _open_journal(cfg: NodeSettings, replica_name: str) -> tuple[Journal, Any]:
    folder = cfg.data / GROUP
    try:
        loaded = load(folder)
    except JournalError as exc:
        log('journal damaged', code=exc.code, reason=exc.reason)
        loaded = None
    return loaded or (create(folder, replica_name), None)
