"""The scheduler process of a cell: a replica of its log, and its leader.

Messages change the leader's state as they arrive; one turn then places what
waits, appends, makes durable, sends and lets effects out, in a batch.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from functools import partial
from types import MappingProxyType
from typing import Any

from daisygw.cell import (
    LOCAL_PROCESS,
    forget_old_jobs,
    on_advice,
    on_config_ask,
    on_job_ask,
    on_report,
    pass_time,
)
from daisygw.contracts import (
    AdviceRequest,
    AdviceResponse,
    CellResponse,
    ConfigRequest,
    JobRequest,
    JournalError,
    ResultCode,
    SchedulerList,
)
from daisygw.links import log
from daisygw.links.processes import (
    Group,
    Link,
    Transport,
    carry_out,
    close,
    compact_log,
    describe,
    leads,
    post,
    running,
    serving,
)
from daisygw.machines import TargetReport
from daisygw.nodes import _clock
from daisygw.nodes._machine import CellState, machine_of
from daisygw.nodes._meters import Meters, watch
from daisygw.nodes._peers import (
    PACE,
    Peers,
    apply_scheduler_list,
    connect_to_hosts,
    linked,
    on_answer,
)
from daisygw.nodes._settings import NodeSettings, TargetCalls
from daisygw.nodes._stored import open_replica
from daisygw.zones import (
    Hello,
    OutgoingMessage,
    Role,
    host_of,
    receive,
    tick,
    transfer_leadership,
)

# How often time passes for a process without messages, s.
_TICK = 0.05
# A snapshot takes the place of so many log entries.
_LOG_ENTRIES = 4000
# How long a stopping leader tries to hand over, s.
_RESIGN_WAIT = 1.5
# A leader whose syncs take this long lets another one lead, s: several
# times the slowest disk that these deployments name.
_SLOW_SYNC = 0.08
# It tries again after this long, s: the other disks may be slow too.
_RESIGN_PAUSE = 5.0
# How many entries its successor may lack: those of a few turns.
_SOME_BEHIND = 64
# The time for the last messages to leave, s.
_FLUSH = 0.2
_ENTRY_PREFIX = 'entry/'
_DECISIONS = MappingProxyType({
    JobRequest: on_job_ask,
    ConfigRequest: on_config_ask,
    TargetReport: on_report,
})


class SchedulerNode:
    """The state of a scheduler process."""

    def __init__(self, cfg: NodeSettings, calls: TargetCalls) -> None:
        """Open the journal, and take up what an earlier process left."""
        self.cfg = cfg
        self.calls = calls
        self.state = CellState()
        self.peers = Peers(cfg.host, cfg.host, cfg.port)
        self.peers.decide_here = partial(_decide, self, cfg.host)
        self.wake = asyncio.Event()
        self.stopped = asyncio.Event()
        self.stopping = False
        self.disk_failed = False
        self.resign_due = 0.0
        self.sessions: dict[str, Link] = {}
        self.roster = SchedulerList((), '', 0)
        self.background_tasks: set[asyncio.Task] = set()
        self.effects: Callable[[Any], None] = _ignore
        self.meters = Meters()
        replica, journal = open_replica(cfg)
        on_leading = partial(_on_leading, self)
        machine = machine_of(self.state, on_leading, cfg.longest_lease)
        self.group = Group(replica, journal, machine)
        self.transport = Transport(partial(_send, self), partial(_tell, self))
        _watch_beliefs(self)


def _watch_beliefs(node: SchedulerNode) -> None:
    """Show what the process believes as gauges."""
    replica = node.group.replica
    readings = (
        ('leading', 'Whether this process leads', lambda: is_leading(node)),
        ('term', 'Term of the log', lambda: replica.term),
        ('commit_index', 'Committed entries', lambda: replica.commit),
        ('log_entries', 'Entries kept', lambda: len(replica.log)),
        ('config_version', 'Configuration', lambda: _version(node)),
        ('targets', 'Targets known', lambda: len(node.state.cell.targets)),
        ('jobs', 'Jobs known', lambda: len(node.state.cell.jobs)),
        ('steps_waiting', 'Steps that wait', lambda: _waiting(node)),
        ('sync_seconds', 'Mean time of a sync', lambda: _sync_time(node)),
        ('sessions', 'Links to this process', lambda: len(node.sessions)),
    )
    for name, text, read in readings:
        watch(node.meters, name, text, read)


def _version(node: SchedulerNode) -> int:
    cfg = node.state.cell.cfg
    return cfg.version if cfg else 0


def _waiting(node: SchedulerNode) -> int:
    return len(node.state.lead.waiting) if node.state.lead else 0


def _sync_time(node: SchedulerNode) -> float:
    journal = node.group.journal
    return journal.sync_time if journal else 0


def _ignore(message: Any) -> None:
    """Carry out no effect."""


def _on_leading(node: SchedulerNode, term: int) -> None:
    log('leading' if term else 'not leading', term=node.group.replica.term)
    node.wake.set()


def _decide(node: SchedulerNode, entry: str, message: Any) -> None:
    lead = node.state.lead
    if lead is None:
        answer = CellResponse(message.seq, ResultCode.NO_LEADER)
        _tell(node, OutgoingMessage(entry, answer))
        return
    lead.now = _clock.now()
    lead.wall = _clock.wall()
    _DECISIONS[type(message)](lead, message, entry)
    node.wake.set()


def _on_message(node: SchedulerNode, link: Link, message: Any) -> None:
    match message:
        case CellResponse():
            on_answer(node.peers, message)
        case SchedulerList():
            connect_to_hosts(node.peers, message.hosts)
        case AdviceRequest():
            node.effects((link, message))
        case AdviceResponse():
            if node.state.lead:
                node.state.lead.now = _clock.now()
                on_advice(node.state.lead, message)
        case JobRequest() | ConfigRequest() | TargetReport():
            _decide(node, link.peer, message)
        case _:
            _on_replica_message(node, message)
    node.wake.set()


def _on_replica_message(node: SchedulerNode, message: Any) -> None:
    if isinstance(message, Hello):
        host = host_of(message.sender)
        connect_to_hosts(node.peers, (host,))
        node.group.replica.contacts.add(host)
    receive(node.group.replica, message, _clock.now())


def _send(node: SchedulerNode, message: Any) -> None:
    link = node.peers.links.get(host_of(message.to))
    if link:
        post(link, message)


def _tell(node: SchedulerNode, outgoing: OutgoingMessage) -> None:
    if outgoing.entry == LOCAL_PROCESS:
        node.effects(outgoing.message)
    elif outgoing.entry == node.cfg.host:
        on_answer(node.peers, outgoing.message)
    else:
        link = node.sessions.get(outgoing.entry) or node.peers.links.get(
            outgoing.entry
        )
        if link:
            post(link, outgoing.message)


def _on_session(node: SchedulerNode, link: Link) -> None:
    if link.up:
        node.sessions[link.peer] = link
        post(link, node.roster)
        if not link.peer.startswith(_ENTRY_PREFIX):
            connect_to_hosts(node.peers, (link.peer,))
    elif node.sessions.get(link.peer) is link:
        node.sessions.pop(link.peer)
    node.wake.set()


def _publish(node: SchedulerNode) -> None:
    """Tell every process that is linked who leads now."""
    replica = node.group.replica
    leader = host_of(replica.leader)
    if leads(node.group) and node.stopping:
        leader = ''
    members = replica.members
    hosts = {host_of(one) for one in (*members.voters, *members.learners)}
    for host in sorted(hosts - {node.cfg.host}):
        connect_to_hosts(node.peers, (host,))
    replica.contacts.update(hosts)
    roster = SchedulerList(tuple(sorted(hosts)), leader, replica.term)
    if roster == node.roster:
        return
    node.roster = roster
    apply_scheduler_list(node.peers, roster, node.cfg.host)
    for link in node.sessions.values():
        post(link, roster)


def run_turn(node: SchedulerNode) -> None:
    """Let time pass, and carry out what was decided."""
    now = _clock.now()
    if node.state.lead:
        pass_time(node.state.lead, now, _clock.wall())
        forget_old_jobs(node.state.lead)
    tick(node.group.replica, now)
    _carry_out(node)
    _publish(node)


def _carry_out(node: SchedulerNode) -> None:
    """Carry effects out; with a disk that refuses, wait and say nothing.

    Nothing may leave that is not durable, so another host leads meanwhile.
    """
    try:
        carry_out(node.group, _clock.now(), node.transport)
        compact_log(node.group, _LOG_ENTRIES)
    except JournalError as exc:
        if not node.disk_failed:
            log('disk refuses', code=exc.code, reason=exc.reason)
        node.disk_failed = True
        return
    if node.disk_failed:
        log('disk writes again', journal=describe(node.group.journal))
    node.disk_failed = False
    _leave_to_faster_disk(node)


def _leave_to_faster_disk(node: SchedulerNode) -> None:
    """As a leader whose disk is slow, let another voter lead."""
    journal = node.group.journal
    slow = journal is not None and journal.sync_time > _SLOW_SYNC
    now = _clock.now()
    if slow and leads(node.group) and now >= node.resign_due:
        log('disk is slow', sync_s=round(journal.sync_time, 3))
        node.resign_due = now + _RESIGN_PAUSE
        transfer_leadership(node.group.replica, now, _SOME_BEHIND)
        carry_out(node.group, now, node.transport)


async def _turns(node: SchedulerNode) -> None:
    while True:
        await node.wake.wait()
        await asyncio.sleep(0)
        node.wake.clear()
        run_turn(node)


async def _ticks(node: SchedulerNode) -> None:
    while True:
        node.wake.set()
        await asyncio.sleep(_TICK)


async def hand_over(node: SchedulerNode) -> None:
    """As the leader, let another voter lead before this process ends."""
    node.stopping = True
    until = _clock.now() + _RESIGN_WAIT
    while leads(node.group) and _clock.now() < until:
        transfer_leadership(node.group.replica, _clock.now())
        carry_out(node.group, _clock.now(), node.transport)
        await asyncio.sleep(_TICK)
    await asyncio.sleep(_FLUSH)


def fence_of(node: SchedulerNode) -> int:
    """Return the fence of the orders given now."""
    return node.group.replica.term


def is_leading(node: SchedulerNode) -> bool:
    """Tell whether this process leads, as far as it knows."""
    return node.group.replica.role is Role.LEADER


@asynccontextmanager
async def running_scheduler(
    cfg: NodeSettings,
    calls: TargetCalls,
) -> AsyncGenerator[SchedulerNode, None]:
    """Run a scheduler while the body serves targets and operators."""
    node = SchedulerNode(cfg, calls)
    on_message = partial(_on_message, node)
    accepting = serving(
        f'{cfg.host}:{cfg.port}',
        on_message,
        partial(_on_session, node),
        PACE,
    )
    async with (
        accepting,
        linked(node.peers, cfg.seeds, on_message),
        running(_turns(node)) as turns,
        running(_ticks(node)),
    ):
        turns.add_done_callback(lambda _: node.stopped.set())
        yield node
        if turns.done():
            turns.result()
    if node.group.journal:
        close(node.group.journal)
