"""A failure domain's books and leader, as a machine for its group."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from daisygw.contracts import (
    Cancel,
    Configuration,
    Drain,
    LetGo,
    Query,
    RefusedAtEntry,
    Submit,
    TaskReport,
)
from daisygw.links._books_file import dump, load
from daisygw.links._group import Machine
from daisygw.links._views import on_query
from daisygw.machines import Announced
from daisygw.zones import (
    Books,
    Leadership,
    Tell,
    apply,
    begin,
    entry_down,
    entry_up,
    finish_turn,
    on_announcement,
    on_cancel,
    on_drain,
    on_let_go,
    on_refused_at_entry,
    on_report,
    on_submit,
    pass_time,
    take,
)


class DomainState:
    """The books of one failure domain, and the leader's part when leading."""

    def __init__(self, domain: str, share: float, cfg: Configuration) -> None:
        """Begin with empty books, following."""
        self.domain = domain
        self.share = share
        self.cfg = cfg
        self.books = Books()
        self.lead: Leadership | None = None
        self.entries: dict[str, None] = {}
        self.clock: tuple[float, int] = (0.0, 0)


def machine_of(
    state: DomainState,
    on_leading: Callable[[int, bool], None],
) -> Machine:
    """Return the closures that a group needs; ``on_leading`` hears of it."""

    def restore(encoded: bytes) -> None:
        state.books = load(encoded)

    def elected(term: int) -> None:
        lead = Leadership(
            state.domain,
            state.share,
            state.books,
            state.cfg,
            term,
        )
        lead.now, lead.wall = state.clock
        for entry in state.entries:
            entry_up(lead, entry)
        state.lead = lead
        begin(lead)
        on_leading(term, True)

    def deposed() -> None:
        state.lead = None
        on_leading(0, False)

    def take_turn() -> tuple[list[Any], list[Tell]]:
        if state.lead is None:
            return [], []
        finish_turn(state.lead)
        return take(state.lead)

    return Machine(
        apply=lambda record: apply(state.books, record),
        dump=lambda: dump(state.books),
        restore=restore,
        elected=elected,
        deposed=deposed,
        take=take_turn,
    )


def set_clock(state: DomainState, now: float, wall: int) -> None:
    """Let time pass for the leader, if this process leads."""
    state.clock = (now, wall)
    if state.lead:
        pass_time(state.lead, now, wall)


def use_configuration(state: DomainState, cfg: Configuration) -> None:
    """Use another configuration from now on."""
    state.cfg = cfg
    if state.lead:
        state.lead.configure(cfg)


def see_entry(state: DomainState, entry: str, *, up: bool) -> None:
    """Note that an entry came or went."""
    if up:
        state.entries[entry] = None
        if state.lead:
            entry_up(state.lead, entry)
        return
    state.entries.pop(entry, None)
    if state.lead:
        entry_down(state.lead, entry)


def _announced(lead: Leadership, message: Announced, entry: str) -> None:
    on_announcement(lead, message.announcement, entry)


_BY_TYPE: Mapping[type, Callable[[Leadership, Any, str], None]] = (
    MappingProxyType({
        Announced: _announced,
        Cancel: on_cancel,
        Drain: on_drain,
        LetGo: on_let_go,
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
