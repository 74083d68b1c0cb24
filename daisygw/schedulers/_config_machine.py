"""The configuration's history as a replicated state machine.

A change is a compare-and-set on the version, and its id makes repeats
idempotent.  The response waits a while for the hosts to apply the change, and
names the sites that have not.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from daisygw.contracts import (
    Change,
    ChangeSummary,
    ConfigChanged,
    ConfigHistory,
    DaisygwError,
    Query,
    ResultCode,
    SchedulerResponse,
    apply_change,
)
from daisygw.links.processes import Group, StateMachine, leads, to_json
from daisygw.settings import Settings, build, hosts_of
from daisygw.zones import OutgoingMessage, host_of, last_index

# How long a change waits for all hosts to apply it before it is answered as
# accepted only.  Part of the 19 s allowed for a change.
_HOSTS_WAIT_S = 4.0
_encode = msgspec.msgpack.Encoder().encode


class _ConfigSnapshot(msgspec.Struct, array_like=True):
    """A snapshot of the history; early versions wrote no ``noted`` field."""

    current: ConfigChanged | None
    versions: dict[str, int]
    noted: tuple[ChangeSummary, ...] = ()


_decode = msgspec.msgpack.Decoder(_ConfigSnapshot).decode


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change requested by an entry.

    Its response waits for the hosts until the monotonic time ``until`` (s).
    """

    entry: str
    change: Change
    until: float


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change whose response waits for the hosts to apply it.

    ``index`` is the log index that they must have committed.
    """

    asked: PendingChange
    version: int
    index: int


class ConfigState:
    """The configuration's history, and the leader's pending changes."""

    def __init__(self, boot_settings: Settings) -> None:
        """Start at version 0, which has the values of ``boot_settings``."""
        self.boot_settings = boot_settings
        self.history = ConfigHistory()
        self.records: list[Any] = []
        self.outbox: list[OutgoingMessage] = []
        self.asked: deque[PendingChange] = deque()
        self.awaiting_hosts: list[AcceptedChange] = []


def config_state_machine(
    state: ConfigState,
    on_change: Callable[[ConfigChanged], None],
    on_leadership_change: Callable[[int, bool], None],
) -> StateMachine:
    """Return the state machine of the configuration's group.

    ``on_change`` is called for each committed change, and
    ``on_leadership_change`` with (term, leading).
    """

    def apply_record(change: ConfigChanged) -> None:
        apply_change(state.history, change)
        on_change(change)

    def restore(encoded: bytes) -> None:
        saved = _decode(encoded) if encoded else None
        state.history = ConfigHistory()
        if saved:
            state.history.current = saved.current
            state.history.versions = saved.versions
            state.history.noted.extend(saved.noted)
            if saved.current:
                on_change(saved.current)

    def deposed() -> None:
        state.asked.clear()
        state.awaiting_hosts.clear()
        on_leadership_change(0, False)

    def collect_turn_output() -> tuple[list[Any], list[OutgoingMessage]]:
        records = state.records
        outbox = state.outbox
        state.records = []
        state.outbox = []
        return records, outbox

    return StateMachine(
        apply=apply_record,
        dump=lambda: _dump(state.history),
        restore=restore,
        elected=lambda term: on_leadership_change(term, True),
        deposed=deposed,
        collect_output=collect_turn_output,
        eager=False,
    )


def _dump(history: ConfigHistory) -> bytes:
    noted = tuple(history.noted)
    return _encode(_ConfigSnapshot(history.current, history.versions, noted))


def answer_changes_query(state: ConfigState, query: Query, entry: str) -> None:
    """Answer a query with the latest accepted changes, newest first."""
    view = to_json(list(reversed(state.history.noted)))
    answer = SchedulerResponse(query.seq, ResultCode.ACCEPTED, view=view)
    state.outbox.append(OutgoingMessage(entry, answer))


def _find_config_error(state: ConfigState, change: Change) -> str:
    overlays = dict(change.overlays)
    unknown = sorted(set(overlays) - set(state.boot_settings.domains))
    if unknown:
        return f'{unknown[0]}: unknown site'
    try:
        build(change.base, '', ('base', ''))
        for site, text in change.overlays:
            build(change.base, text, ('base', site))
    except DaisygwError as exc:
        return exc.reason
    return ''


def queue_change(
    state: ConfigState,
    change: Change,
    entry: str,
    now: float,
) -> None:
    """Queue a change until no other one is being committed.

    ``now`` is monotonic (s).
    """
    state.asked.append(PendingChange(entry, change, now + _HOSTS_WAIT_S))


def process_changes(state: ConfigState, group: Group, now: float) -> None:
    """Process queued changes as the leader, and send the responses due."""
    if not leads(group):
        return
    settled = group.applied == last_index(group.replica)
    while settled and state.asked and not state.records:
        _process_change(state, group, state.asked.popleft())
    _answer_accepted(state, group, now)


def _process_change(
    state: ConfigState, group: Group, asked: PendingChange
) -> None:
    change = asked.change
    index = last_index(group.replica)
    version = state.history.versions.get(change.change)
    if version is not None:
        state.awaiting_hosts.append(AcceptedChange(asked, version, index))
        return
    error = _find_config_error(state, change)
    if error:
        _reject_change(state, asked, ResultCode.CONFIG_INVALID, error)
    elif change.expected == state.history.version:
        version = change.expected + 1
        state.records.append(_change_record(change, version))
        state.awaiting_hosts.append(AcceptedChange(asked, version, index + 1))
    else:
        current = state.history.version
        reason = f'expected version {change.expected}, but it is {current}'
        _reject_change(state, asked, ResultCode.VERSION_CONFLICT, reason)


def _change_record(change: Change, version: int) -> ConfigChanged:
    return ConfigChanged(
        version,
        change.change,
        change.operator,
        change.at,
        change.base,
        change.overlays,
    )


def _reject_change(
    state: ConfigState,
    asked: PendingChange,
    code: ResultCode,
    reason: str,
) -> None:
    view = to_json({'version': state.history.version})
    answer = SchedulerResponse(asked.change.seq, code, reason, view=view)
    state.outbox.append(OutgoingMessage(asked.entry, answer))


def _split_sites(
    state: ConfigState,
    group: Group,
    index: int,
) -> tuple[list[str], list[str]]:
    replica = group.replica
    reached = {host_of(replica.name)}
    for name, peer in replica.peers.items():
        if peer.commit >= index:
            reached.add(host_of(name))
    in_force = [
        site
        for site in state.boot_settings.domains
        if reached.issuperset(hosts_of(state.boot_settings, site))
    ]
    waiting = [
        site for site in state.boot_settings.domains if site not in in_force
    ]
    return in_force, waiting


def _answer_accepted(state: ConfigState, group: Group, now: float) -> None:
    still_waiting = []
    for accepted_change in state.awaiting_hosts:
        in_force, waiting = _split_sites(state, group, accepted_change.index)
        committed = group.replica.commit >= accepted_change.index
        if committed and (not waiting or now >= accepted_change.asked.until):
            state.outbox.append(
                _acceptance_message(accepted_change, in_force, waiting)
            )
        else:
            still_waiting.append(accepted_change)
    state.awaiting_hosts = still_waiting


def _acceptance_message(
    accepted_change: AcceptedChange,
    in_force: list[str],
    waiting: list[str],
) -> OutgoingMessage:
    view = to_json({
        'version': accepted_change.version,
        'in_force': in_force,
        'waiting': waiting,
    })
    code = ResultCode.IN_FORCE if not waiting else ResultCode.ACCEPTED
    answer = SchedulerResponse(
        accepted_change.asked.change.seq, code, view=view
    )
    return OutgoingMessage(accepted_change.asked.entry, answer)
