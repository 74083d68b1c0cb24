"""The configuration's history, as a machine for its group.

Compare and set on the version; a change id makes a repeat harmless; the
answer waits a while for the hosts, and names those it still waits for.
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

# How long a change waits for the hosts before it is answered as accepted, s:
# of the 19 s asked.
_PATIENCE = 4.0
_encode = msgspec.msgpack.Encoder().encode


class _Saved(msgspec.Struct, array_like=True):
    """A snapshot; the first versions of the program wrote no ``noted``."""

    current: ConfigChanged | None
    versions: dict[str, int]
    noted: tuple[ChangeSummary, ...] = ()


_decode = msgspec.msgpack.Decoder(_Saved).decode


@dataclass(frozen=True, slots=True)
class Asked:
    """A change that an entry asked for, and until when to wait (s)."""

    entry: str
    change: Change
    until: float


@dataclass(frozen=True, slots=True)
class Awaited:
    """An accepted change whose answer waits for the hosts."""

    asked: Asked
    version: int
    index: int


class ConfigState:
    """The configuration's history, and the leader's open answers."""

    def __init__(self, boot: Settings) -> None:
        """Begin at version 0, which is what ``boot`` says."""
        self.boot = boot
        self.history = ConfigHistory()
        self.records: list[Any] = []
        self.outbox: list[OutgoingMessage] = []
        self.asked: deque[Asked] = deque()
        self.awaited: list[Awaited] = []


def config_state_machine(
    state: ConfigState,
    on_change: Callable[[ConfigChanged], None],
    on_leading: Callable[[int, bool], None],
) -> StateMachine:
    """Return the closures that a group needs."""

    def apply_record(change: ConfigChanged) -> None:
        apply_change(state.history, change)
        on_change(change)

    def restore(encoded: bytes) -> None:
        state.history = ConfigHistory()
        if encoded:
            saved = _decode(encoded)
            state.history.current = saved.current
            state.history.versions = saved.versions
            state.history.noted.extend(saved.noted)
            if saved.current:
                on_change(saved.current)

    def deposed() -> None:
        state.asked.clear()
        state.awaited.clear()
        on_leading(0, False)

    def run_turn() -> tuple[list[Any], list[OutgoingMessage]]:
        records = state.records
        outbox = state.outbox
        state.records = []
        state.outbox = []
        return records, outbox

    return StateMachine(
        apply=apply_record,
        dump=lambda: _dump(state.history),
        restore=restore,
        elected=lambda term: on_leading(term, True),
        deposed=deposed,
        take=run_turn,
        eager=False,
    )


def _dump(history: ConfigHistory) -> bytes:
    noted = tuple(history.noted)
    return _encode(_Saved(history.current, history.versions, noted))


def show_changes(state: ConfigState, query: Query, entry: str) -> None:
    """Answer which changes were accepted, the newest first."""
    view = to_json(list(reversed(state.history.noted)))
    answer = SchedulerResponse(query.seq, ResultCode.ACCEPTED, view=view)
    state.outbox.append(OutgoingMessage(entry, answer))


def _check(state: ConfigState, change: Change) -> str:
    overlays = dict(change.overlays)
    unknown = sorted(set(overlays) - set(state.boot.domains))
    if unknown:
        return f'{unknown[0]}: no such site'
    try:
        build(change.base, '', ('base', ''))
        for site, text in change.overlays:
            build(change.base, text, ('base', site))
    except DaisygwError as exc:
        return exc.reason
    return ''


def ask_change(
    state: ConfigState,
    change: Change,
    entry: str,
    now: float,
) -> None:
    """Take a change to be decided when no other is on its way."""
    state.asked.append(Asked(entry, change, now + _PATIENCE))


def decide_changes(state: ConfigState, group: Group, now: float) -> None:
    """As the leader, decide the next change and answer what is due."""
    if not leads(group):
        return
    settled = group.applied == last_index(group.replica)
    while settled and state.asked and not state.records:
        _decide(state, group, state.asked.popleft())
    _answer_awaited(state, group, now)


def _decide(state: ConfigState, group: Group, asked: Asked) -> None:
    change = asked.change
    index = last_index(group.replica)
    version = state.history.versions.get(change.change)
    if version is not None:
        state.awaited.append(Awaited(asked, version, index))
        return
    fault = _check(state, change)
    if fault:
        _refuse(state, asked, ResultCode.CONFIG_INVALID, fault)
    elif change.expected == state.history.version:
        version = change.expected + 1
        state.records.append(_changed(change, version))
        state.awaited.append(Awaited(asked, version, index + 1))
    else:
        current = state.history.version
        reason = f'expected version {change.expected}, it is {current}'
        _refuse(state, asked, ResultCode.VERSION_CONFLICT, reason)


def _changed(change: Change, version: int) -> ConfigChanged:
    return ConfigChanged(
        version,
        change.change,
        change.operator,
        change.at,
        change.base,
        change.overlays,
    )


def _refuse(
    state: ConfigState,
    asked: Asked,
    code: ResultCode,
    reason: str,
) -> None:
    view = to_json({'version': state.history.version})
    answer = SchedulerResponse(asked.change.seq, code, reason, view=view)
    state.outbox.append(OutgoingMessage(asked.entry, answer))


def _sites(
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
        for site in state.boot.domains
        if reached.issuperset(hosts_of(state.boot, site))
    ]
    waiting = [site for site in state.boot.domains if site not in in_force]
    return in_force, waiting


def _answer_awaited(state: ConfigState, group: Group, now: float) -> None:
    still = []
    for awaited in state.awaited:
        in_force, waiting = _sites(state, group, awaited.index)
        committed = group.replica.commit >= awaited.index
        if committed and (not waiting or now >= awaited.asked.until):
            state.outbox.append(_in_force(awaited, in_force, waiting))
        else:
            still.append(awaited)
    state.awaited = still


def _in_force(
    awaited: Awaited,
    in_force: list[str],
    waiting: list[str],
) -> OutgoingMessage:
    view = to_json({
        'version': awaited.version,
        'in_force': in_force,
        'waiting': waiting,
    })
    code = ResultCode.IN_FORCE if not waiting else ResultCode.ACCEPTED
    answer = SchedulerResponse(awaited.asked.change.seq, code, view=view)
    return OutgoingMessage(awaited.asked.entry, answer)
