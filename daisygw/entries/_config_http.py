"""HTTP endpoints to read and change the cell configuration."""

from dataclasses import asdict, replace
from secrets import token_hex
from time import time
from typing import Any

import falcon.asgi
import msgspec

from daisygw.contracts import (
    CONFIGURATION_GROUP,
    Change,
    ContractError,
    ResultCode,
)
from daisygw.entries._http import (
    Resource,
    read_json,
    write_leader_response,
    write_result,
)
from daisygw.entries._state import call_leader, query_view

_MS_PER_S = 1000
# Random bytes in a change id: enough that 10,000 changes do not collide.
_CHANGE_ID_BYTES = 8
# Time to wait for a change to take effect: the leader's own timeout, two
# elections and a margin.
_CHANGE_TIMEOUT_S = 12.0
# Time to wait for the list of changes: one resend and an election in the
# configuration group, whose timing is three times slower than that of others.
_CHANGES_VIEW_TIMEOUT_S = 4.0


class Configurations(Resource):
    """``/v1/configuration``: read the active configuration, or change it."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Return the configuration that this entry uses."""
        if not self.entry.configured:
            reason = 'this entry has not received a configuration yet'
            write_result(resp, ResultCode.NO_LEADER, reason)
            return
        resp.media = asdict(self.entry.cfg)

    async def on_post(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Request a change; return the domains where it is in force."""
        raw = await read_json(req)
        change = _parse_change(raw)
        answer, _ = await call_leader(
            self.entry,
            CONFIGURATION_GROUP,
            lambda seq: replace(change, seq=seq),
            _CHANGE_TIMEOUT_S,
        )
        write_leader_response(resp, answer, change=change.change)


class Changes(Resource):
    """``/v1/configuration/changes``: the accepted changes."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Return the latest accepted changes, newest first."""
        answer = await query_view(
            self.entry,
            CONFIGURATION_GROUP,
            'changes',
            wait=_CHANGES_VIEW_TIMEOUT_S,
        )
        write_leader_response(resp, answer)


def _parse_change(raw: Any) -> Change:
    if not isinstance(raw, dict):
        raise ContractError(ResultCode.MALFORMED, 'must be a JSON object')
    fields = {
        'seq': 0,
        'at': int(time() * _MS_PER_S),
        'change': token_hex(_CHANGE_ID_BYTES),
        'operator': '',
        **raw,
    }
    overlays = fields.get('overlays', {})
    if not isinstance(overlays, dict):
        raise ContractError(ResultCode.BAD_VALUE, 'overlays: must be a table')
    fields['overlays'] = sorted(overlays.items())
    try:
        return msgspec.convert(fields, Change)
    except msgspec.ValidationError as exc:
        raise ContractError(ResultCode.BAD_VALUE, str(exc)) from exc
