"""The HTTP face of an entry for changes of the configuration."""

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
    put_answer,
    put_refusal,
    read_json,
)
from daisygw.entries._state import ask_view, call_leader

# Milliseconds in a second.
_MS = 1000
# Random bytes of a change's id: no two of 10,000 meet.
_TOKEN_BYTES = 8
# Longest wait for a change, s: the leader's own patience, twice an election,
# and room.
_CHANGE_WAIT = 12.0
# Longest wait for the list of changes, s: an election of the configuration's
# group, which beats three times slower, and a repeat.
_VIEW_WAIT = 4.0


class Configurations(Resource):
    """``/v1/configuration``: the configuration in force, and changes."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Show the configuration in force at this entry."""
        if not self.entry.configured:
            reason = 'this entry was not told yet what is in force'
            put_refusal(resp, ResultCode.NO_LEADER, reason)
            return
        resp.media = asdict(self.entry.cfg)

    async def on_post(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Ask for a change; answer where it is in force."""
        raw = await read_json(req)
        change = _change(raw)
        answer, _ = await call_leader(
            self.entry,
            CONFIGURATION_GROUP,
            lambda seq: replace(change, seq=seq),
            _CHANGE_WAIT,
        )
        put_answer(resp, answer, change=change.change)


class Changes(Resource):
    """``/v1/configuration/changes``: which changes were accepted."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Show the newest accepted changes, the last one first."""
        answer = await ask_view(
            self.entry, CONFIGURATION_GROUP, 'changes', wait=_VIEW_WAIT
        )
        put_answer(resp, answer)


def _change(raw: Any) -> Change:
    if not isinstance(raw, dict):
        raise ContractError(ResultCode.MALFORMED, 'must be a JSON object')
    fields = {
        'seq': 0,
        'at': int(time() * _MS),
        'change': token_hex(_TOKEN_BYTES),
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
