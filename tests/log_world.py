"""A world of replicas under a driver's hand: network, crashes, time.

It holds the replicas of one group, what of each is durable, and the messages
on their way; it checks the log's promises after every step.
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
STEP = 0.02
_LATE = 0.5
_LOST = 0.1
_DOUBLED = 0.05
_SYNCED_LATER = 0.8
_TIMING = Timing(heartbeat=0.1, election=1, hello=0.2, batch=64)


class Node:
    """One host: its replica (none while down), its disk and its state."""

    def __init__(self, host: str) -> None:
        """Begin down."""
        self.host = host
        self.instances = 0
        self.replica: Replica | None = None
        self.saved: Persist | None = None
        self.name = ''
        self.applied: list[bytes] = []
        self.paused = 0


class World:
    """Three hosts of one group and the messages between them."""

    def __init__(self, seed: int, *, syncs_later: bool = False) -> None:
        """Begin with all hosts up and new."""
        self.random = Random(seed)
        self.chance = Random(seed)
        self.syncs_later = syncs_later
        self.now = 0.0
        self.nodes = {host: Node(host) for host in HOSTS}
        self.wire: list[object] = []
        self.cut: set[frozenset[str]] = set()
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.on_disk: dict[tuple[int, int], set[str]] = defaultdict(set)
        self.bases: dict[str, int] = {}
        self.proposed = 0
        self.repairing = ''
        self.storm = False
        for host in HOSTS:
            start_new(self, host)


def start_new(world: World, host: str) -> None:
    """Start a host without memory or disk: a new replica."""
    node = world.nodes[host]
    node.instances += 1
    node.name = f'{host}#{node.instances}'
    node.saved = None
    node.applied = []
    node.paused = 0
    seed = world.random.randrange(1 << 30)
    node.replica = Replica(
        'g', node.name, HOSTS, _TIMING, seed, is_tie_breaker=host == 't'
    )


def restart(world: World, host: str) -> None:
    """Start a host again with what its disk holds."""
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
    node.paused = 0
    node.applied = _decode(replica.base.state)
    known = replica.log[: replica.commit - replica.base.index]
    node.applied += [entry.body for entry in known if entry.body]


def crash(world: World, host: str) -> None:
    """Stop a host at once; what was not durable is gone."""
    world.nodes[host].replica = None


def _encode(applied: list[bytes]) -> bytes:
    return b','.join(applied)


def _decode(state: bytes) -> list[bytes]:
    return state.split(b',') if state else []


def _note_saved(world: World, node: Node, persist: Persist) -> None:
    for entry in persist.entries:
        world.on_disk[entry.index, entry.term].add(node.name)
    if persist.snapshot:
        world.bases[node.name] = persist.snapshot.index


def _check_durable(world: World, node: Node, commit: Commit) -> None:
    """What a leader commits is on the disks of a majority of voters."""
    voters = set(node.replica.members.voters)
    for entry in commit.entries:
        holders = world.on_disk[entry.index, entry.term].union(
            name for name, base in world.bases.items() if base >= entry.index
        )
        count = len(holders & voters)
        assert 2 * count > len(voters), (
            f'{node.name}: {entry.index} is on {count} disks of {voters}'
        )


def _save(node: Node, persist: Persist) -> None:
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


def _note_commit(world: World, node: Node, commit: Commit) -> None:
    for entry in commit.entries:
        seen = (entry.term, entry.body)
        known = world.committed.setdefault(entry.index, seen)
        assert known == seen, f'{node.name}: {entry.index} changed'
        if entry.body:
            node.applied.append(entry.body)


def carry_out(world: World, host: str) -> None:
    """Carry a replica's effects out."""
    node = world.nodes[host]
    later = world.syncs_later and may_sync_later(node.replica, world.now)
    later = later and world.chance.random() < _SYNCED_LATER
    for effect in drain(node.replica, sync_later=later):
        match effect:
            case Persist():
                _save(node, effect)
                _note_saved(world, node, effect)
            case Send():
                world.wire.append(effect.message)
            case Commit():
                _note_commit(world, node, effect)
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


def check_authority(world: World) -> None:
    """At most one replica may believe that it alone leads now."""
    sure = [
        node.name
        for node in world.nodes.values()
        if node.replica and holds_leader_lease(node.replica, world.now)
    ]
    assert len(sure) <= 1, f'two with authority: {sure}'


def _reaches(world: World, message: object) -> bool:
    sender = host_of(message.sender)
    to = host_of(message.to)
    node = world.nodes[to]
    if frozenset((sender, to)) in world.cut:
        return False
    return node.replica is not None


def deliver(world: World, number: int, *, twice: bool = False) -> None:
    """Deliver one message on its way, in any order, perhaps twice."""
    if not world.wire:
        return
    number %= len(world.wire)
    message = world.wire[number]
    if world.nodes[host_of(message.to)].paused:
        return
    if not twice:
        world.wire.pop(number)
    if _reaches(world, message):
        host = host_of(message.to)
        receive(world.nodes[host].replica, message, world.now)
        carry_out(world, host)


def pass_time(world: World, steps: int) -> None:
    """Let time pass and messages arrive, in order unless it storms."""
    for _ in range(steps):
        world.now += STEP
        _deliver_step(world)
        _tick_all(world)
        check_authority(world)
    _note_repair(world)


def _deliver_step(world: World) -> None:
    on_their_way = world.wire
    world.wire = []
    for message in on_their_way:
        late = world.storm and world.random.random() < _LATE
        if late or world.nodes[host_of(message.to)].paused:
            world.wire.append(message)
            continue
        if world.storm and world.random.random() < _LOST:
            continue
        _hand_in(world, message)


def _hand_in(world: World, message: object) -> None:
    if world.storm and world.random.random() < _DOUBLED:
        world.wire.append(message)
    if _reaches(world, message):
        host = host_of(message.to)
        receive(world.nodes[host].replica, message, world.now)
        carry_out(world, host)


def _tick_all(world: World) -> None:
    for host, node in world.nodes.items():
        if node.paused:
            node.paused -= 1
        elif node.replica:
            tick(node.replica, world.now)
            carry_out(world, host)


def leader_of(world: World) -> Node | None:
    """Return the leader of the newest term, if one is up."""
    leading = [
        node
        for node in world.nodes.values()
        if node.replica and node.replica.role is Role.LEADER
    ]
    return max(leading, key=lambda node: node.replica.term, default=None)


def propose_at(world: World, host: str) -> None:
    """Propose a record wherever a replica believes that it leads."""
    node = world.nodes[host]
    if not node.replica or node.paused or node.replica.role is not Role.LEADER:
        return
    world.proposed += 1
    propose(node.replica, str(world.proposed).encode())
    flush(node.replica, world.now)
    carry_out(world, host)


def compact_at(world: World, host: str) -> None:
    """Let a replica's state stand for its committed log."""
    node = world.nodes[host]
    replica = node.replica
    if not replica or node.paused or replica.commit <= replica.base.index:
        return
    compact(replica, replica.commit, _encode(node.applied))
    carry_out(world, host)


def is_whole(world: World) -> bool:
    """Tell whether all hosts are up as voters of a settled group."""
    leader = leader_of(world)
    if leader is None:
        return False
    names = {node.name for node in world.nodes.values()}
    replica = leader.replica
    settled = replica.commit == replica.base.index + len(replica.log)
    return settled and set(replica.members.voters) == names


def _note_repair(world: World) -> None:
    if world.repairing and is_whole(world):
        leader = leader_of(world).replica
        if all(peer.match >= leader.commit for peer in leader.peers.values()):
            world.repairing = ''


def wipe(world: World, host: str) -> None:
    """Lose a host with its memory and disk, one at a time."""
    if world.repairing or not is_whole(world):
        return
    world.repairing = host
    start_new(world, host)


def heal(world: World) -> None:
    """Mend all links, start all hosts, and let the group settle."""
    world.cut.clear()
    world.storm = False
    for host, node in world.nodes.items():
        node.paused = 0
        if node.replica is None:
            restart(world, host)
    for _ in range(60):
        pass_time(world, 50)
        if is_whole(world):
            break
    pass_time(world, 50)


def check_healed(world: World) -> None:
    """Every committed record is held by every replica, in one order."""
    assert is_whole(world), 'the group did not settle'
    wanted = [
        world.committed[index][1]
        for index in sorted(world.committed)
        if world.committed[index][1]
    ]
    for node in world.nodes.values():
        assert node.applied == wanted, f'{node.name}: the state differs'
