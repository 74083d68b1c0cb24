"""The cell's state and leader as a machine for its group's log."""

from collections.abc import Callable
from typing import Any

from daisygw.cell import (
    Cell,
    CellLeader,
    apply,
    place_waiting,
    snapshot,
    start_leading,
    take,
)
from daisygw.links import codec
from daisygw.links.processes import StateMachine
from daisygw.nodes import _clock
from daisygw.zones import OutgoingMessage


class CellState:
    """The cell, and the leader's part while this process leads."""

    def __init__(self) -> None:
        """Begin empty, following."""
        self.cell = Cell()
        self.lead: CellLeader | None = None


def machine_of(
    state: CellState,
    on_leading: Callable[[int], None],
    longest_lease: float,
) -> StateMachine:
    """Return the closures for a group; ``on_leading`` hears of the term.

    The term is 0 when this process does not lead any more.
    """

    def restore(encoded: bytes) -> None:
        state.cell = Cell()
        for record in codec.decode_batch(encoded) if encoded else ():
            apply(state.cell, record)

    def elected(term: int) -> None:
        lead = CellLeader(
            state.cell, term, _clock.now(), _clock.wall(), longest_lease
        )
        state.lead = lead
        start_leading(lead)
        on_leading(term)

    def deposed() -> None:
        state.lead = None
        on_leading(0)

    def run_turn() -> tuple[list[Any], list[OutgoingMessage]]:
        if state.lead is None:
            return [], []
        place_waiting(state.lead)
        return take(state.lead)

    return StateMachine(
        apply=lambda record: apply(state.cell, record),
        dump=lambda: codec.encode_batch(snapshot(state.cell)),
        restore=restore,
        elected=elected,
        deposed=deposed,
        take=run_turn,
    )
