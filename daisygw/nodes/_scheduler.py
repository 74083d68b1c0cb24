"""The scheduler process of a cell: a log replica that may lead the cell.

Messages change the leader's state as they arrive.  One turn of the loop then
places waiting tasks, appends to the log, syncs it, sends messages and
releases committed effects, as one batch.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from functools import partial
from types import MappingProxyType
from typing import Any

from daisygw.cell import (
    LOCAL_PROCESS,
    advance_clock,
    on_config_request,
    on_job_request,
    on_target_report,
    purge_old_jobs,
)
from daisygw.contracts import (
    AdviceRequest,
    AdviceResponse,
    CellConfig,
    CellResponse,
    ConfigRequest,
    ContractError,
    JobRequest,
    JournalError,
    RequestLimits,
    ResultCode,
    SchedulerList,
)
from daisygw.links import log, log_error
from daisygw.links.processes import (
    Group,
    Link,
    Transport,
    accepting_links,
    carry_out,
    close,
    compact_log,
    describe_journal,
    leads,
    post,
    resign,
    running,
    set_idle,
)
from daisygw.machines import TargetReport
from daisygw.nodes import _clock
from daisygw.nodes._customer_meters import add_customer_gauges
from daisygw.nodes._meters import Meters, add_gauge
from daisygw.nodes._peers import (
    LINK_TIMING,
    Peers,
    apply_scheduler_list,
    connect_to_hosts,
    connected_to_peers,
    on_response,
)
from daisygw.nodes._replica_store import open_replica
from daisygw.nodes._settings import NodeSettings, TargetCalls
from daisygw.nodes._state_machine import CellState, cell_state_machine
from daisygw.nodes._work_gauges import add_work_gauges
from daisygw.zones import (
    Hello,
    Members,
    OutgoingMessage,
    Role,
    host_of,
    last_index,
    member_hosts,
    receive,
    tick,
    transfer_leadership,
)

# Interval of turns while no messages arrive.
_TICK_S = 0.05
# The log is compacted into a snapshot beyond this many entries.
_MAX_LOG_ENTRIES = 4000
# How long a stopping leader tries to transfer leadership.
_TRANSFER_TIMEOUT_S = 1.5
# A leader whose mean sync time exceeds this transfers leadership: several times
# that of the slowest disk specified for these deployments.
_SLOW_SYNC_S = 0.08
# Minimum interval between such transfers: the other hosts' disks may be slow
# too.
_TRANSFER_INTERVAL_S = 5.0
# How many log entries the successor may then lag behind: those of a few turns.
_MAX_SUCCESSOR_LAG = 64
# Delay after a turn that failed, so that a lasting fault uses little of the
# processor: an election of another host takes longer.
_FAILED_TURN_DELAY_S = 0.2
# Time for the last messages to be sent before the process ends.
_FLUSH_WAIT_S = 0.2
_ENTRY_PREFIX = 'entry/'
_LEADER_HANDLERS = MappingProxyType({
    JobRequest: on_job_request,
    ConfigRequest: on_config_request,
    TargetReport: on_target_report,
})


class SchedulerNode:
    """The state of a scheduler process.

    ``sessions`` are the links that others opened to it, by peer;
    ``execute_effect`` executes an effect of the leader.
    """

    def __init__(self, cfg: NodeSettings, calls: TargetCalls) -> None:
        """Open the journal and restore the replica stored in it."""
        self.cfg = cfg
        self.calls = calls
        self.state = CellState()
        self.peers = Peers(cfg.host, cfg.host, cfg.port)
        self.peers.handle_locally = partial(_handle_as_leader, self, cfg.host)
        self.wake = asyncio.Event()
        self.stopped = asyncio.Event()
        self.stopping = False
        self.disk_failed = False
        self.next_transfer_at = 0.0
        self.sessions: dict[str, Link] = {}
        self.scheduler_list = SchedulerList((), '', 0)
        self.logged_members = Members()
        self.logged_role = Role.NEW
        self.background_tasks: set[asyncio.Task] = set()
        self.execute_effect: Callable[[Any], None] = _ignore_effect
        self.meters = Meters()
        replica, journal = open_replica(cfg)
        on_leadership_change = partial(_on_leadership_change, self)
        machine = cell_state_machine(
            self.state, on_leadership_change, cfg.longest_lease
        )
        self.group = Group(replica, journal, machine)
        self.transport = Transport(partial(_send, self), partial(_emit, self))
        _add_state_gauges(self)
        add_work_gauges(self.meters, self.state)
        add_customer_gauges(self.meters, self.state)


def _add_state_gauges(node: SchedulerNode) -> None:
    """Register gauges for the state of the process."""
    replica = node.group.replica
    gauges = (
        ('leading', 'Whether this process leads', lambda: is_leading(node)),
        ('term', 'Term of the log', lambda: replica.term),
        ('commit_index', 'Committed entries', lambda: replica.commit),
        ('log_entries', 'Entries kept', lambda: len(replica.log)),
        ('config_version', 'Configuration', lambda: _config_version(node)),
        ('targets', 'Targets known', lambda: len(node.state.cell.targets)),
        ('jobs', 'Jobs known', lambda: len(node.state.cell.jobs)),
        ('sync_seconds', 'Mean time of a sync', lambda: _sync_time(node)),
        ('sessions', 'Links to this process', lambda: len(node.sessions)),
    )
    for name, text, read in gauges:
        add_gauge(node.meters, name, text, read)


def _config_version(node: SchedulerNode) -> int:
    cfg = node.state.cell.cfg
    return cfg.version if cfg else 0


def _sync_time(node: SchedulerNode) -> float:
    journal = node.group.journal
    return journal.sync_time if journal else 0


def _ignore_effect(message: Any) -> None:
    """Ignore an effect."""


def _on_leadership_change(node: SchedulerNode, term: int) -> None:
    log('leading' if term else 'not leading', term=node.group.replica.term)
    for link in node.sessions.values():
        _update_idle_session(node, link)
    node.wake.set()


def _update_idle_session(node: SchedulerNode, link: Link) -> None:
    """Keep the links of entries busy only while this process leads."""
    from_entry = link.peer.startswith(_ENTRY_PREFIX)
    set_idle(link, idle=from_entry and node.state.lead is None)


def _handle_as_leader(node: SchedulerNode, entry: str, message: Any) -> None:
    lead = node.state.lead
    if lead is None:
        answer = CellResponse(message.seq, ResultCode.NO_LEADER)
        _emit(node, OutgoingMessage(entry, answer))
        return
    lead.now = _clock.now()
    lead.wall = _clock.wall()
    try:
        _LEADER_HANDLERS[type(message)](lead, message, entry)
    except ContractError as exc:
        log('refused', id=entry, code=exc.code, reason=exc.reason)
        answer = CellResponse(message.seq, exc.code, reason=exc.reason)
        lead.answer(entry, answer)
    node.wake.set()


def _on_message(node: SchedulerNode, link: Link, message: Any) -> None:
    match message:
        case CellResponse():
            on_response(node.peers, message)
        case SchedulerList():
            connect_to_hosts(node.peers, message.hosts)
            node.group.replica.contacts.update(message.hosts)
        case AdviceRequest():
            node.execute_effect((link, message))
        case AdviceResponse():
            node.execute_effect(message)
        case JobRequest() | ConfigRequest() | TargetReport():
            _handle_as_leader(node, link.peer, message)
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


def _emit(node: SchedulerNode, outgoing: OutgoingMessage) -> None:
    if outgoing.entry == LOCAL_PROCESS:
        node.execute_effect(outgoing.message)
    elif outgoing.entry == node.cfg.host:
        on_response(node.peers, outgoing.message)
    else:
        link = node.sessions.get(outgoing.entry) or node.peers.links.get(
            outgoing.entry
        )
        if link:
            post(link, outgoing.message)


def _on_inbound_link(node: SchedulerNode, link: Link) -> None:
    if link.up:
        node.sessions[link.peer] = link
        _update_idle_session(node, link)
        post(link, node.scheduler_list)
        if not link.peer.startswith(_ENTRY_PREFIX):
            connect_to_hosts(node.peers, (link.peer,))
    elif node.sessions.get(link.peer) is link:
        node.sessions.pop(link.peer)
    node.wake.set()


def _publish_scheduler_list(node: SchedulerNode) -> None:
    """Send the scheduler list to all linked processes if it has changed.

    A stopping leader announces that there is no leader.
    """
    replica = node.group.replica
    leader = host_of(replica.leader)
    if leads(node.group) and node.stopping:
        leader = ''
    hosts = member_hosts(replica.members)
    connect_to_hosts(node.peers, hosts)
    replica.contacts.update(hosts)
    limits = _request_limits(node.state.cell.cfg)
    scheduler_list = SchedulerList(hosts, leader, replica.term, limits)
    if scheduler_list == node.scheduler_list:
        return
    node.scheduler_list = scheduler_list
    apply_scheduler_list(node.peers, scheduler_list, node.cfg.host)
    for link in node.sessions.values():
        post(link, scheduler_list)


def _request_limits(cfg: CellConfig | None) -> RequestLimits | None:
    if cfg is None:
        return None
    return RequestLimits(
        cfg.max_header,
        cfg.max_body,
        cfg.header_timeout,
        cfg.idle_timeout,
        cfg.version,
    )


def run_turn(node: SchedulerNode) -> None:
    """Advance the leader's clocks, and carry out all pending effects."""
    now = _clock.now()
    if node.state.lead:
        advance_clock(node.state.lead, now, _clock.wall())
        purge_old_jobs(node.state.lead)
    tick(node.group.replica, now)
    _carry_out_effects(node)
    _log_group_changes(node)
    _publish_scheduler_list(node)


def _log_group_changes(node: SchedulerNode) -> None:
    """Log a change of the group's members, and the start of an election."""
    replica = node.group.replica
    position = {
        'term': replica.term,
        'last': last_index(replica),
        'commit': replica.commit,
    }
    if replica.members != node.logged_members:
        node.logged_members = replica.members
        log(
            'members',
            voters=replica.members.voters,
            learners=replica.members.learners,
            **position,
        )
    if replica.role is not node.logged_role:
        node.logged_role = replica.role
        if replica.role is Role.CANDIDATE:
            log('candidate', voters=replica.members.voters, **position)


def _carry_out_effects(node: SchedulerNode) -> None:
    """Carry out pending effects; send nothing while disk writes fail.

    Nothing may be sent before its records are durable, so this replica stays
    silent until its disk works again, and another host is elected.
    """
    try:
        carry_out(node.group, _clock.now(), node.transport)
        compact_log(node.group, _MAX_LOG_ENTRIES)
    except JournalError as exc:
        if not node.disk_failed:
            log('disk refuses', code=exc.code, reason=exc.reason)
        node.disk_failed = True
        return
    if node.disk_failed:
        log('disk writes again', journal=describe_journal(node.group.journal))
    node.disk_failed = False
    _transfer_if_disk_slow(node)


def _transfer_if_disk_slow(node: SchedulerNode) -> None:
    """Transfer leadership to another voter while the disk is slow."""
    journal = node.group.journal
    slow = journal is not None and journal.sync_time > _SLOW_SYNC_S
    now = _clock.now()
    if slow and leads(node.group) and now >= node.next_transfer_at:
        log('disk is slow', sync_s=round(journal.sync_time, 3))
        node.next_transfer_at = now + _TRANSFER_INTERVAL_S
        transfer_leadership(node.group.replica, now, _MAX_SUCCESSOR_LAG)
        carry_out(node.group, now, node.transport)


async def _turn_loop(node: SchedulerNode) -> None:
    while True:
        await node.wake.wait()
        await asyncio.sleep(0)
        node.wake.clear()
        try:
            run_turn(node)
        except Exception as exc:
            log_error('turn failed', exc, term=node.group.replica.term)
            resign(node.group, _clock.now())
            await asyncio.sleep(_FAILED_TURN_DELAY_S)


async def _tick_loop(node: SchedulerNode) -> None:
    while True:
        node.wake.set()
        await asyncio.sleep(_TICK_S)


async def stop_leading(node: SchedulerNode) -> None:
    """Transfer leadership to another voter before this process ends.

    Returns without a successor after ``_TRANSFER_TIMEOUT_S``.
    """
    node.stopping = True
    until = _clock.now() + _TRANSFER_TIMEOUT_S
    while leads(node.group) and _clock.now() < until:
        transfer_leadership(node.group.replica, _clock.now())
        _carry_out_effects(node)
        await asyncio.sleep(_TICK_S)
    await asyncio.sleep(_FLUSH_WAIT_S)


def is_leading(node: SchedulerNode) -> bool:
    """Return whether this process leads the cell, as far as it knows."""
    return node.group.replica.role is Role.LEADER


@asynccontextmanager
async def running_scheduler(
    cfg: NodeSettings,
    calls: TargetCalls,
) -> AsyncGenerator[SchedulerNode, None]:
    """Run a scheduler process for the duration of the context."""
    node = SchedulerNode(cfg, calls)
    on_message = partial(_on_message, node)
    listener = accepting_links(
        f'{cfg.host}:{cfg.port}',
        on_message,
        partial(_on_inbound_link, node),
        LINK_TIMING,
    )
    async with (
        listener,
        connected_to_peers(node.peers, cfg.seeds, on_message),
        running(_turn_loop(node)) as turn_task,
        running(_tick_loop(node)),
    ):
        turn_task.add_done_callback(lambda _: node.stopped.set())
        yield node
        if turn_task.done():
            turn_task.result()
    if node.group.journal:
        close(node.group.journal)
