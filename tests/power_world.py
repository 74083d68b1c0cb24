"""Simulate five hosts of a group with journals on disk and losses of power.

The replicas are real groups with real journal files.  Power is lost between
any two syncs of a host, and the write that was not synced is torn.
"""

import os
import shutil
from collections.abc import Generator
from contextlib import contextmanager, suppress
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

import msgspec

from daisygw.contracts import EndsAcknowledged
from daisygw.links import codec
from daisygw.links.processes import (
    Group,
    Journal,
    StateMachine,
    Transport,
    carry_out,
    close,
    compact_log,
    create,
    leads,
    load,
)
from daisygw.zones import (
    OutgoingMessage,
    Replica,
    Timing,
    host_of,
    receive,
    restore_replica,
    tick,
)

HOSTS = ('a', 'b', 'c', 'd', 'e')
SEEDS = HOSTS[:3]
# Hosts that may be lost at a time.
MAX_LOST = 2
TICK_S = 0.02
# A host counts as lost for this long after its return.
CATCH_UP_S = 6.0
_TIMING = Timing(heartbeat=0.1, election=0.5, drift=0.1, batch=1024)
_MAX_LOG_ENTRIES = 30
_LOSS_PROBABILITY = 0.1
_DELAY_PROBABILITY = 0.3
_SECTOR_LOSS_PROBABILITY = 0.4
_SECTOR_BYTES = 512


class PowerLossError(Exception):
    """The host has lost power; its process is gone."""


class AppliedRecords:
    """The state of one host's state machine, which decides while it leads."""

    def __init__(self) -> None:
        """Begin empty."""
        self.leading = False
        self.positions: list[int] = []
        self.records: list[Any] = []
        self.outbox: list[OutgoingMessage] = []


class Host:
    """One host: its disk, and its group while it has power.

    It counts as lost until ``lost_until`` (s).
    """

    def __init__(self, name: str, folder: Path) -> None:
        """Begin without power, with an empty disk."""
        self.name = name
        self.folder = folder
        self.instances = 0
        self.group: Group | None = None
        self.state = AppliedRecords()
        self.lost_until = 0.0
        self.back_at = float('inf')


class World:
    """The hosts, the messages between them, and what was acknowledged.

    ``syncs_left`` is the number of syncs until the host that acts now loses
    power (none: it does not).  A process loads for ``load_time`` (s) before it
    restores its replica.
    """

    def __init__(self, seed: int, root: Path) -> None:
        """Begin with all hosts new."""
        self.random = Random(seed)
        self.now = 0.0
        self.hosts = {name: Host(name, root / name) for name in HOSTS}
        self.in_flight: list[Any] = []
        self.cut: set[str] = set()
        self.unreliable = False
        self.decided = 0
        self.acknowledged: list[int] = []
        self.fault_after = float('inf')
        self.syncs_left: int | None = None
        self.load_time = 0.0
        for name in HOSTS:
            start(self, self.hosts[name], founding=name in SEEDS)


@contextmanager
def simulated_syncs(world: World) -> Generator[None, None, None]:
    """Replace the syncs of files by points at which power may be lost."""

    def sync(descriptor: int) -> None:
        if world.syncs_left is None:
            return
        if not world.syncs_left:
            _tear(world, descriptor)
            raise PowerLossError
        world.syncs_left -= 1

    with (
        mock.patch.object(os, 'fsync', sync),
        mock.patch.object(os, 'fdatasync', sync),
    ):
        yield


def _tear(world: World, descriptor: int) -> None:
    """Keep any beginning of a log's newest write, or all but a sector."""
    groups = [host.group for host in world.hosts.values() if host.group]
    for journal in (group.journal for group in groups):
        if not journal.log.closed and journal.log.fileno() == descriptor:
            size = os.fstat(descriptor).st_size
            end = world.random.randint(journal.end, size)
            if world.random.random() < _SECTOR_LOSS_PROBABILITY:
                _lose_sector(journal, end)
            else:
                os.ftruncate(descriptor, end)


def _lose_sector(journal: Journal, position: int) -> None:
    """Replace the newest write in the sector of a position by zeros."""
    path = journal.folder / 'log'
    content = path.read_bytes()
    first = position - position % _SECTOR_BYTES
    last = min(first + _SECTOR_BYTES, len(content))
    first = max(first, journal.end)
    zeros = bytes(max(last - first, 0))
    path.write_bytes(content[:first] + zeros + content[last:])


def _decode(encoded: bytes) -> list[int]:
    return msgspec.msgpack.decode(encoded) if encoded else []


def _state_machine(state: AppliedRecords) -> StateMachine:
    def restore(encoded: bytes) -> None:
        state.positions = _decode(encoded)

    def collect_output() -> tuple[list[Any], list[OutgoingMessage]]:
        output = (state.records, state.outbox)
        state.records, state.outbox = [], []
        return output

    return StateMachine(
        apply=lambda record: state.positions.append(record.position),
        dump=lambda: msgspec.msgpack.encode(state.positions),
        restore=restore,
        elected=lambda term: setattr(state, 'leading', True),
        deposed=lambda: setattr(state, 'leading', False),
        collect_output=collect_output,
    )


def start(world: World, host: Host, *, founding: bool = False) -> None:
    """Start a host from its disk, or as a new replica if that is empty."""
    host.instances += 1
    host.back_at = float('inf')
    name = f'{host.name}#{host.instances}'
    journal, saved = load(host.folder) or (create(host.folder, name), None)
    seed = world.random.randrange(1 << 30)
    voter_hosts = SEEDS if founding else ()
    replica = Replica('g', journal.name, voter_hosts, _TIMING, seed)
    replica.accepts_new_hosts = True
    replica.contacts.update(SEEDS)
    if saved:
        restore_replica(replica, saved, world.now - world.load_time)
    host.state = AppliedRecords()
    host.group = Group(replica, journal, _state_machine(host.state))


def stop(world: World, host: Host, back_after: float) -> None:
    """Stop a host's process; it is back after a delay (s)."""
    if host.group:
        close(host.group.journal)
    host.group = None
    host.back_at = world.now + back_after
    if is_lost(world, host):
        host.lost_until = host.back_at + CATCH_UP_S


def is_lost(world: World, host: Host) -> bool:
    """Tell whether a host counts as lost."""
    return world.now < host.lost_until


def lost_hosts(world: World) -> list[str]:
    """Return the hosts that count as lost."""
    return [host.name for host in world.hosts.values() if is_lost(world, host)]


def wipe(world: World, name: str, back_after: float) -> None:
    """Stop a host; it comes back with an empty disk."""
    host = world.hosts[name]
    kill(world, name, back_after)
    shutil.rmtree(host.folder, ignore_errors=True)


def kill(world: World, name: str, back_after: float) -> None:
    """Stop a host; it comes back with its disk."""
    host = world.hosts[name]
    host.lost_until = float('inf')
    stop(world, host, back_after)


def cut_off(world: World, name: str) -> None:
    """Cut a host off from all others."""
    world.cut.add(name)
    world.hosts[name].lost_until = float('inf')


def heal(world: World) -> None:
    """Connect all hosts again."""
    for name in world.cut:
        world.hosts[name].lost_until = world.now + CATCH_UP_S
    world.cut.clear()


def _act(world: World, host: Host) -> None:
    """Run one turn of a host's process."""
    transport = Transport(
        world.in_flight.append,
        lambda outgoing: _acknowledge(world, outgoing.message),
    )
    carry_out(host.group, world.now, transport)
    compact_log(host.group, _MAX_LOG_ENTRIES)


def _acknowledge(world: World, position: int) -> None:
    world.acknowledged.append(position)
    if len(world.acknowledged) >= world.fault_after:
        raise PowerLossError


def decide(world: World, host: Host) -> None:
    """Decide a record, to be acknowledged once it is committed."""
    world.decided += 1
    record = EndsAcknowledged('t', world.decided)
    host.state.positions.append(world.decided)
    host.state.records.append(record)
    host.state.outbox.append(OutgoingMessage('entry', world.decided))


def _deliver(world: World) -> None:
    """Deliver messages, in order on each link; some links are late."""
    undelivered, world.in_flight = world.in_flight, []
    late: dict[tuple[str, str], bool] = {}
    for message in undelivered:
        link = (host_of(message.sender), host_of(message.to))
        if link not in late:
            late[link] = world.random.random() < _DELAY_PROBABILITY
        if late[link]:
            world.in_flight.append(message)
        elif not _is_lost(world, link):
            host = world.hosts[link[1]]
            receive(host.group.replica, message, world.now)


def _is_lost(world: World, link: tuple[str, str]) -> bool:
    if world.unreliable and world.random.random() < _LOSS_PROBABILITY:
        return True
    return bool(world.cut & set(link)) or world.hosts[link[1]].group is None


def pass_time(world: World, seconds: float, rate: float = 0) -> None:
    """Advance the time; leaders decide records at a rate (1 / s)."""
    until = world.now + seconds
    while world.now < until:
        world.now += TICK_S
        _deliver(world)
        for host in world.hosts.values():
            if world.now >= host.back_at:
                start(world, host)
            if host.group is None:
                continue
            tick(host.group.replica, world.now)
            if host.state.leading and world.random.random() < rate * TICK_S:
                decide(world, host)
            _act(world, host)


def lose_power(world: World, back_after: float) -> None:
    """Take the power from all hosts; they are back after a delay (s).

    Some of them are at work on the newest messages, and lose power before one
    of the next syncs.
    """
    messages, world.in_flight = world.in_flight, []
    world.fault_after = 0
    for host in world.hosts.values():
        if host.group:
            _lose_power_at_work(world, host, messages)
    world.in_flight.clear()
    world.fault_after = float('inf')
    heal(world)
    for host in world.hosts.values():
        stop(world, host, back_after)


def _lose_power_at_work(world: World, host: Host, messages: list[Any]) -> None:
    world.syncs_left = world.random.randint(0, 3)
    for message in messages:
        arrives = world.random.random() < 1 - _DELAY_PROBABILITY
        if host_of(message.to) == host.name and arrives:
            receive(host.group.replica, message, world.now)
    with suppress(PowerLossError):
        _act(world, host)
    world.syncs_left = None


def has_on_disk(host: Host, position: int) -> bool:
    """Tell whether a host without power has a record on its disk."""
    loaded = load(host.folder)
    if loaded is None:
        return False
    journal, saved = loaded
    close(journal)
    state = saved.snapshot.state if saved.snapshot else b''
    return position in _decode(state) or any(
        record.position == position
        for entry in saved.entries
        if entry.body
        for record in codec.decode_batch(entry.body)
    )


def live_leader(world: World) -> Host | None:
    """Return the leader of the newest term, if one is up."""
    leading = [
        host
        for host in world.hosts.values()
        if host.group and leads(host.group)
    ]
    return max(leading, key=lambda host: host.group.replica.term, default=None)


def check_nothing_lost(world: World) -> None:
    """Expect a leader that has all that was acknowledged."""
    leader = live_leader(world)
    assert leader, f'no leader at {world.now}'
    missing = set(world.acknowledged) - set(leader.state.positions)
    assert not missing, f'acknowledged records are gone: {sorted(missing)}'
