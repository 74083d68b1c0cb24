"""How many calls the leader has open at the same time, by target and kind."""

from dataclasses import dataclass

from daisygw.cell._leader import CellLeader
from daisygw.cell._state import TargetState
from daisygw.machines import is_responsive

# Connections that targets accept where the configuration does not say.
_DEFAULT_CONNECTIONS = 64
# Connections to a target that no order takes, so that neither its lease
# renewal nor a probe waits for one.
RENEWAL_CONNECTIONS = 4
# Starts take a few ms; the other connections are for stops, which may take as
# long as the task needs to end.
_START_CONNECTIONS = 8
# A target that does not respond holds each order until its timeout.
_UNRESPONSIVE_ORDERS = 1


@dataclass(frozen=True, slots=True)
class OrderLimits:
    """How many starts and stops may be open at one target, at least 1 each."""

    starts: int
    stops: int


def order_limits(lead: CellLeader, target: TargetState) -> OrderLimits:
    """Return a target's limits, which leave connections for its renewals."""
    configured = dict(lead.cell.cfg.connections) if lead.cell.cfg else {}
    accepted = configured.get(target.instance.service) or _DEFAULT_CONNECTIONS
    usable = accepted - RENEWAL_CONNECTIONS
    starts = max(min(_START_CONNECTIONS, usable // 4), 1)
    stops = max(usable - starts, 1)
    lease_state = lead.lease_states.get(target.key)
    if lease_state is None or not is_responsive(lease_state):
        starts = min(starts, _UNRESPONSIVE_ORDERS)
        stops = min(stops, _UNRESPONSIVE_ORDERS)
    return OrderLimits(starts, stops)
