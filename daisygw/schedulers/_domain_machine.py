"""A failure domain's state and leader as a replicated state machine."""

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
from daisygw.schedulers._snapshot_codec import dump, load
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
    on_announcement,
    on_cancel,
    on_drain,
    on_order_rejected,
    on_refused_at_entry,
    on_submit,
    on_task_report,
    start_leading,
)


class DomainState:
    """A failure domain's replicated state, and the leader's while leading.

    ``clock`` is the time as of the last turn: monotonic (s) and since the Unix
    epoch (ms).  ``entries`` are the connected ones.
    """

    def __init__(self, domain: str, share: float, cfg: Configuration) -> None:
        """Create an empty state, as a follower.

        ``share`` is the fraction of every quota that the domain holds.
        """
        self.domain = domain
        self.share = share
        self.cfg = cfg
        self.replicated = ReplicatedState()
        self.lead: DomainLeader | None = None
        self.entries: dict[str, None] = {}
        self.clock: tuple[float, int] = (0.0, 0)


def domain_state_machine(
    state: DomainState,
    on_leadership_change: Callable[[int, bool], None],
) -> StateMachine:
    """Return the state machine of a failure domain's group.

    ``on_leadership_change`` is called with (term, leading).
    """

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
        start_leading(lead)
        on_leadership_change(term, True)

    def deposed() -> None:
        state.lead = None
        on_leadership_change(0, False)

    def collect_turn_output() -> tuple[list[Any], list[OutgoingMessage]]:
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
        collect_output=collect_turn_output,
    )


def set_clock(state: DomainState, now: float, wall: int) -> None:
    """Set the clock and advance the leader's, if this process leads.

    ``now`` is monotonic (s), ``wall`` is the Unix time (ms).
    """
    state.clock = (now, wall)
    if state.lead:
        advance_clock(state.lead, now, wall)


def apply_configuration(state: DomainState, cfg: Configuration) -> None:
    """Apply a new configuration to the state and its leader."""
    state.cfg = cfg
    if state.lead:
        state.lead.configure(cfg)


def handle_entry_connection(
    state: DomainState, entry: str, *, up: bool
) -> None:
    """Record that an entry has connected or disconnected."""
    if up:
        state.entries[entry] = None
        if state.lead:
            entry_connected(state.lead, entry)
        return
    state.entries.pop(entry, None)
    if state.lead:
        entry_disconnected(state.lead, entry)


def _on_forwarded_announcement(
    lead: DomainLeader, message: ForwardedAnnouncement, entry: str
) -> None:
    on_announcement(lead, message.announcement, entry)


_HANDLERS: Mapping[type, Callable[[DomainLeader, Any, str], None]] = (
    MappingProxyType({
        ForwardedAnnouncement: _on_forwarded_announcement,
        Cancel: on_cancel,
        Drain: on_drain,
        OrderRejected: on_order_rejected,
        Query: on_query,
        RefusedAtEntry: on_refused_at_entry,
        Submit: on_submit,
        TaskReport: on_task_report,
    })
)


def handle_message(state: DomainState, message: Any, entry: str) -> None:
    """Dispatch an entry's message to the leader, if this process leads."""
    if state.lead:
        _HANDLERS[type(message)](state.lead, message, entry)
