"""Simulate the replicas of one group: network, disks, crashes and time.

It keeps what each replica has made durable and the messages in flight, and
checks the log's guarantees whenever a replica has acted.
"""

from collections import defaultdict
from random import Random

from daisygw.zones import (
    Commit,
    Members,
    Persist,
    Replica,
    Restore,
    Role,
    Send,
    Timing,
    compact,
    drain,
    flush,
    holds_leader_lease,
    host_of,
    may_sync_later,
    propose,
    receive,
    restore_replica,
    tick,
)

HOSTS = ('a', 'b', 't')
TICK_S = 0.02
_DELAY_PROBABILITY = 0.5
_LOSS_PROBABILITY = 0.1
_DUPLICATE_PROBABILITY = 0.05
_DEFERRED_SYNC_PROBABILITY = 0.8
_TIMING = Timing(heartbeat=0.1, election=1, hello=0.2, batch=64)


class Node:
    """One host: its replica (none while down), its disk and its state."""

    def __init__(self, host: str) -> None:
        """Begin without a replica."""
        self.host = host
        self.instances = 0
        self.replica: Replica | None = None
        self.saved: Persist | None = None
        self.name = ''
        self.applied: list[bytes] = []
        self.paused_ticks = 0


class World:
    """Three hosts of one group and the messages between them."""

    def __init__(self, seed: int, *, syncs_later: bool = False) -> None:
        """Begin with a new replica on each host."""
        self.random = Random(seed)
        # Separate, so that deferred syncs shift no other random choice.
        self.sync_random = Random(seed)
        self.syncs_later = syncs_later
        self.now = 0.0
        self.nodes = {host: Node(host) for host in HOSTS}
        self.in_flight: list[object] = []
        self.cut: set[frozenset[str]] = set()
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.on_disk: dict[tuple[int, int], set[str]] = defaultdict(set)
        self.snapshot_indexes: dict[str, int] = {}
        self.proposed = 0
        self.wiped_host = ''
        self.unreliable = False
        for host in HOSTS:
            start_new(self, host)


def start_new(world: World, host: str) -> None:
    """Start a host with an empty disk, as a new replica."""
    node = world.nodes[host]
    node.instances += 1
    node.name = f'{host}#{node.instances}'
    node.saved = None
    node.applied = []
    node.paused_ticks = 0
    seed = world.random.randrange(1 << 30)
    node.replica = Replica(
        'g', node.name, HOSTS, _TIMING, seed, is_tie_breaker=host == 't'
    )


def restart(world: World, host: str) -> None:
    """Restart a host from its disk."""
    node = world.nodes[host]
    if node.saved is None:
        start_new(world, host)
        return
    seed = world.random.randrange(1 << 30)
    replica = Replica(
        'g', node.name, HOSTS, _TIMING, seed, is_tie_breaker=host == 't'
    )
    restore_replica(replica, node.saved, world.now)
    node.replica = replica
    node.paused_ticks = 0
    node.applied = _decode(replica.base.state)
    known = replica.log[: replica.commit - replica.base.index]
    node.applied += [entry.body for entry in known if entry.body]


def crash(world: World, host: str) -> None:
    """Stop a host at once; only what is durable survives."""
    world.nodes[host].replica = None


def _encode(applied: list[bytes]) -> bytes:
    return b','.join(applied)


def _decode(state: bytes) -> list[bytes]:
    return state.split(b',') if state else []


def _record_durable(world: World, node: Node, persist: Persist) -> None:
    for entry in persist.entries:
        world.on_disk[entry.index, entry.term].add(node.name)
    if persist.snapshot:
        world.snapshot_indexes[node.name] = persist.snapshot.index


def _check_durable(world: World, node: Node, commit: Commit) -> None:
    """Check that a majority of voters has what the leader commits."""
    voters = set(node.replica.members.voters)
    for entry in commit.entries:
        holders = world.on_disk[entry.index, entry.term].union(
            name
            for name, base in world.snapshot_indexes.items()
            if base >= entry.index
        )
        count = len(holders & voters)
        assert 2 * count > len(voters), (
            f'{node.name}: {entry.index} is on {count} disks of {voters}'
        )


def _write_to_disk(node: Node, persist: Persist) -> None:
    old = node.saved or Persist(0, '', Members())
    snapshot = persist.snapshot or old.snapshot
    entries = persist.entries
    if persist.snapshot is None:
        kept = old.entries
        if persist.cut:
            kept = tuple(one for one in kept if one.index < persist.cut)
        entries = (*kept, *persist.entries)
    node.saved = Persist(
        persist.term,
        persist.vote,
        persist.members,
        entries,
        0,
        snapshot,
        persist.commit,
    )


def _record_commit(world: World, node: Node, commit: Commit) -> None:
    for entry in commit.entries:
        seen = (entry.term, entry.body)
        known = world.committed.setdefault(entry.index, seen)
        assert known == seen, f'{node.name}: {entry.index} changed'
        if entry.body:
            node.applied.append(entry.body)


def perform_effects(world: World, host: str) -> None:
    """Perform the effects that a replica has emitted."""
    node = world.nodes[host]
    later = world.syncs_later and may_sync_later(node.replica, world.now)
    later = later and world.sync_random.random() < _DEFERRED_SYNC_PROBABILITY
    for effect in drain(node.replica, sync_later=later):
        match effect:
            case Persist():
                _write_to_disk(node, effect)
                _record_durable(world, node, effect)
            case Send():
                world.in_flight.append(effect.message)
            case Commit():
                _record_commit(world, node, effect)
                if node.replica.role is Role.LEADER:
                    _check_durable(world, node, effect)
            case Restore():
                node.applied = _decode(effect.snapshot.state)
    _check_leader(world, node)


def _check_leader(world: World, node: Node) -> None:
    replica = node.replica
    if replica.role is Role.LEADER:
        known = world.leaders.setdefault(replica.term, replica.name)
        assert known == replica.name, f'two leaders in term {replica.term}'


def check_leader_leases(world: World) -> None:
    """Check that at most one replica holds a leader lease now."""
    lease_holders = [
        node.name
        for node in world.nodes.values()
        if node.replica and holds_leader_lease(node.replica, world.now)
    ]
    assert len(lease_holders) <= 1, f'several leases: {lease_holders}'


def _can_reach(world: World, message: object) -> bool:
    sender = host_of(message.sender)
    to = host_of(message.to)
    node = world.nodes[to]
    if frozenset((sender, to)) in world.cut:
        return False
    return node.replica is not None


def deliver(world: World, number: int, *, duplicate: bool = False) -> None:
    """Deliver one message out of order; a duplicate also stays in flight."""
    if not world.in_flight:
        return
    number %= len(world.in_flight)
    message = world.in_flight[number]
    if world.nodes[host_of(message.to)].paused_ticks:
        return
    if not duplicate:
        world.in_flight.pop(number)
    if _can_reach(world, message):
        host = host_of(message.to)
        receive(world.nodes[host].replica, message, world.now)
        perform_effects(world, host)


def pass_time(world: World, steps: int) -> None:
    """Advance by ticks; messages arrive in order on a reliable network."""
    for _ in range(steps):
        world.now += TICK_S
        _deliver_in_flight(world)
        _tick_all(world)
        check_leader_leases(world)
    _finish_repair(world)


def _deliver_in_flight(world: World) -> None:
    undelivered = world.in_flight
    world.in_flight = []
    for message in undelivered:
        late = world.unreliable and world.random.random() < _DELAY_PROBABILITY
        if late or world.nodes[host_of(message.to)].paused_ticks:
            world.in_flight.append(message)
            continue
        if world.unreliable and world.random.random() < _LOSS_PROBABILITY:
            continue
        _deliver_message(world, message)


def _deliver_message(world: World, message: object) -> None:
    if world.unreliable and world.random.random() < _DUPLICATE_PROBABILITY:
        world.in_flight.append(message)
    if _can_reach(world, message):
        host = host_of(message.to)
        receive(world.nodes[host].replica, message, world.now)
        perform_effects(world, host)


def _tick_all(world: World) -> None:
    for host, node in world.nodes.items():
        if node.paused_ticks:
            node.paused_ticks -= 1
        elif node.replica:
            tick(node.replica, world.now)
            perform_effects(world, host)


def leader_of(world: World) -> Node | None:
    """Return the leader of the newest term, if one is up."""
    leading = [
        node
        for node in world.nodes.values()
        if node.replica and node.replica.role is Role.LEADER
    ]
    return max(leading, key=lambda node: node.replica.term, default=None)


def propose_if_leader(world: World, host: str) -> None:
    """Propose a record if the host's replica believes that it leads."""
    node = world.nodes[host]
    if (
        not node.replica
        or node.paused_ticks
        or node.replica.role is not Role.LEADER
    ):
        return
    world.proposed += 1
    propose(node.replica, str(world.proposed).encode())
    flush(node.replica, world.now)
    perform_effects(world, host)


def compact_log(world: World, host: str) -> None:
    """Replace a replica's committed log by a snapshot of its state."""
    node = world.nodes[host]
    replica = node.replica
    if not replica or node.paused_ticks or replica.commit <= replica.base.index:
        return
    compact(replica, replica.commit, _encode(node.applied))
    perform_effects(world, host)


def is_settled(world: World) -> bool:
    """Tell whether each host is a voter and the whole log is committed."""
    leader = leader_of(world)
    if leader is None:
        return False
    names = {node.name for node in world.nodes.values()}
    replica = leader.replica
    settled = replica.commit == replica.base.index + len(replica.log)
    return settled and set(replica.members.voters) == names


def _finish_repair(world: World) -> None:
    if world.wiped_host and is_settled(world):
        leader = leader_of(world).replica
        if all(peer.match >= leader.commit for peer in leader.peers.values()):
            world.wiped_host = ''


def wipe(world: World, host: str) -> None:
    """Wipe a host's memory and disk, unless another is being repaired."""
    if world.wiped_host or not is_settled(world):
        return
    world.wiped_host = host
    start_new(world, host)


def heal(world: World) -> None:
    """Heal all links, start all hosts, and let the group settle."""
    world.cut.clear()
    world.unreliable = False
    for host, node in world.nodes.items():
        node.paused_ticks = 0
        if node.replica is None:
            restart(world, host)
    for _ in range(60):
        pass_time(world, 50)
        if is_settled(world):
            break
    pass_time(world, 50)


def check_converged(world: World) -> None:
    """Check that each replica holds all committed records in order."""
    assert is_settled(world), 'the group did not settle'
    expected_records = [
        world.committed[index][1]
        for index in sorted(world.committed)
        if world.committed[index][1]
    ]
    for node in world.nodes.values():
        assert node.applied == expected_records, (
            f'{node.name}: the state differs'
        )
