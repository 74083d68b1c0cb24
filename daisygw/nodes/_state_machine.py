"""The cell's state and leader as a replicated state machine."""

from collections.abc import Callable
from typing import Any

from daisygw.cell import (
    Cell,
    CellLeader,
    apply,
    collect_output,
    place_waiting,
    snapshot,
    start_leading,
)
from daisygw.links import codec
from daisygw.links.processes import StateMachine
from daisygw.nodes import _clock
from daisygw.zones import OutgoingMessage


class CellState:
    """The cell's replicated state, and the leader's state while leading."""

    def __init__(self) -> None:
        """Create an empty cell, as a follower."""
        self.cell = Cell()
        self.lead: CellLeader | None = None


def cell_state_machine(
    state: CellState,
    on_leadership_change: Callable[[int], None],
    longest_lease: float,
) -> StateMachine:
    """Return the state machine of the cell's group.

    ``on_leadership_change`` is called with the term when this process is
    elected, and with 0 when it stops leading.  ``longest_lease`` is in
    seconds.
    """

    def restore(encoded: bytes) -> None:
        records = codec.decode_batch(encoded) if encoded else ()
        state.cell = Cell()
        for record in records:
            apply(state.cell, record)

    def elected(term: int) -> None:
        lead = CellLeader(
            state.cell, term, _clock.now(), _clock.wall(), longest_lease
        )
        lead.check_record = codec.check_storable
        state.lead = lead
        start_leading(lead)
        on_leadership_change(term)

    def deposed() -> None:
        state.lead = None
        on_leadership_change(0)

    def collect_turn_output() -> tuple[list[Any], list[OutgoingMessage]]:
        if state.lead is None:
            return [], []
        place_waiting(state.lead)
        return collect_output(state.lead)

    return StateMachine(
        apply=lambda record: apply(state.cell, record),
        dump=lambda: codec.encode_batch(snapshot(state.cell)),
        restore=restore,
        elected=elected,
        deposed=deposed,
        collect_output=collect_turn_output,
    )
