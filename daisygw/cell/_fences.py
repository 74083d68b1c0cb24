"""Fencing tokens of the calls to targets.

A target refuses a call whose token is lower than one that it has seen.  A
restarted target has the name of the instance before, and takes the calls that
were meant for that one.  So a token orders leaders by term, and within a term
the calls that were sent before an instance became known before those sent
afterwards.
"""

from daisygw.cell._leader import CellLeader

# A token contains the term above this many bits, and a generation in them.
_GENERATION_BITS = 20


def next_generation(lead: CellLeader) -> int:
    """Return a generation that is higher than those of all earlier calls."""
    return min(next(lead.generations), (1 << _GENERATION_BITS) - 1)


def order_fence(lead: CellLeader, key: str) -> int:
    """Return the fencing token of a call that is sent now to an instance."""
    lease_state = lead.lease_states.get(key)
    generation = lease_state.generation if lease_state else 0
    return (lead.term << _GENERATION_BITS) + generation
