"""A failure domain's replicated state and leader, as a group's machine."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from daisygw.contracts import (
    Cancel,
    Configuration,
    Drain,
    OrderRejected,
    Query,
    RefusedAtEntry,
    Submit,
    TaskReport,
)
from daisygw.links.processes import StateMachine
from daisygw.machines import ForwardedAnnouncement
from daisygw.schedulers._snapshot_file import dump, load
from daisygw.schedulers._views import on_query
from daisygw.zones import (
    DomainLeader,
    OutgoingMessage,
    ReplicatedState,
    advance_clock,
    apply,
    collect_output,
    entry_connected,
    entry_disconnected,
    finish_turn,
    initialize_leader,
    on_announcement,
    on_cancel,
    on_drain,
    on_order_rejected,
    on_refused_at_entry,
    on_report,
    on_submit,
)


class DomainState:
    """A failure domain's replicated state, and its leader when leading."""

    def __init__(self, domain: str, share: float, cfg: Configuration) -> None:
        """Begin with an empty replicated state, following."""
        self.domain = domain
        self.share = share
        self.cfg = cfg
        self.replicated = ReplicatedState()
        self.lead: DomainLeader | None = None
        self.entries: dict[str, None] = {}
        self.clock: tuple[float, int] = (0.0, 0)


def machine_of(
    state: DomainState,
    on_leading: Callable[[int, bool], None],
) -> StateMachine:
    """Return the closures that a group needs; ``on_leading`` hears of it."""

    def restore(encoded: bytes) -> None:
        state.replicated = load(encoded)

    def elected(term: int) -> None:
        lead = DomainLeader(
            state.domain,
            state.share,
            state.replicated,
            state.cfg,
            term,
        )
        lead.now, lead.wall = state.clock
        for entry in state.entries:
            entry_connected(lead, entry)
        state.lead = lead
        initialize_leader(lead)
        on_leading(term, True)

    def deposed() -> None:
        state.lead = None
        on_leading(0, False)

    def run_turn() -> tuple[list[Any], list[OutgoingMessage]]:
        if state.lead is None:
            return [], []
        finish_turn(state.lead)
        return collect_output(state.lead)

    return StateMachine(
        apply=lambda record: apply(state.replicated, record),
        dump=lambda: dump(state.replicated),
        restore=restore,
        elected=elected,
        deposed=deposed,
        collect_output=run_turn,
    )


def set_clock(state: DomainState, now: float, wall: int) -> None:
    """Let time pass for the leader, if this process leads."""
    state.clock = (now, wall)
    if state.lead:
        advance_clock(state.lead, now, wall)


def use_configuration(state: DomainState, cfg: Configuration) -> None:
    """Use another configuration from now on."""
    state.cfg = cfg
    if state.lead:
        state.lead.configure(cfg)


def handle_entry_connection(
    state: DomainState, entry: str, *, up: bool
) -> None:
    """Note that an entry came or went."""
    if up:
        state.entries[entry] = None
        if state.lead:
            entry_connected(state.lead, entry)
        return
    state.entries.pop(entry, None)
    if state.lead:
        entry_disconnected(state.lead, entry)


def _announced(
    lead: DomainLeader, message: ForwardedAnnouncement, entry: str
) -> None:
    on_announcement(lead, message.announcement, entry)


_BY_TYPE: Mapping[type, Callable[[DomainLeader, Any, str], None]] = (
    MappingProxyType({
        ForwardedAnnouncement: _announced,
        Cancel: on_cancel,
        Drain: on_drain,
        OrderRejected: on_order_rejected,
        Query: on_query,
        RefusedAtEntry: on_refused_at_entry,
        Submit: on_submit,
        TaskReport: on_report,
    })
)


def decide(state: DomainState, message: Any, entry: str) -> None:
    """Let the leader decide on one message of an entry."""
    if state.lead:
        _BY_TYPE[type(message)](state.lead, message, entry)
