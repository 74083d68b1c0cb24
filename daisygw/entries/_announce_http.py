"""HTTP endpoint on which targets announce themselves to an entry."""

import asyncio
from dataclasses import asdict

import falcon.asgi
import msgspec

from daisygw.contracts import ContractError, ResultCode
from daisygw.entries._http import Resource, read_body, write_result
from daisygw.entries._state import Entry, send_to_leader
from daisygw.machines import (
    Announcement,
    AnnouncementAccepted,
    ForwardedAnnouncement,
    check_announcement,
)

# Time to wait for the leader's acknowledgement: two of the usual intervals
# between announcements.
_ANNOUNCEMENT_TIMEOUT_S = 2.0
# Upper bound on an announcement: lists of some 50,000 attempts.
_MAX_ANNOUNCEMENT_BYTES = 4_194_304


class Announcements(Resource):
    """``/v1/targets/{name}/announcements``: a target's heartbeats."""

    async def on_post(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        name: str,
    ) -> None:
        """Forward an announcement; respond once the leader accepted it."""
        announcement = _parse_announcement(
            await read_body(req, _MAX_ANNOUNCEMENT_BYTES), name
        )
        accepted = await _forward_announcement(self.entry, announcement)
        if accepted is None:
            reason = 'no leader accepted the announcement in time'
            write_result(resp, ResultCode.NO_LEADER, reason)
            return
        resp.media = asdict(accepted)


_decode_announcement = msgspec.json.Decoder(Announcement).decode


def _parse_announcement(raw: bytes, name: str) -> Announcement:
    try:
        announcement = _decode_announcement(raw)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise ContractError(ResultCode.MALFORMED, str(exc)) from exc
    if announcement.spec.name != name:
        raise ContractError(
            ResultCode.BAD_VALUE, 'spec.name: differs from the path'
        )
    check_announcement(announcement)
    return announcement


async def _forward_announcement(
    entry: Entry,
    announcement: Announcement,
) -> AnnouncementAccepted | None:
    spec = announcement.spec
    key = (spec.name, spec.incarnation, announcement.number)
    fut = asyncio.get_running_loop().create_future()
    entry.announced[key] = fut
    try:
        if not send_to_leader(
            entry, entry.domain, ForwardedAnnouncement(announcement)
        ):
            return None
        return await asyncio.wait_for(fut, _ANNOUNCEMENT_TIMEOUT_S)
    except TimeoutError:
        return None
    finally:
        entry.announced.pop(key, None)
