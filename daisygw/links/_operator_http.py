"""The HTTP face of an entry for operators and targets."""

import asyncio
from dataclasses import asdict, replace
from functools import partial
from secrets import token_hex
from time import time
from typing import Any

import falcon
import falcon.asgi
import msgspec

from daisygw.contracts import (
    Answer,
    Cancel,
    Change,
    ContractError,
    Drain,
    Query,
    ResultCode,
    check_id,
)
from daisygw.links._dump import describe_link, usage
from daisygw.links._entry import Entry, ask_leader, home, post_about, tell_leader
from daisygw.links._entry_http import put_refusal, read_json
from daisygw.machines import Announced, Announcement, AnnouncementTaken

CONFIGURATION = 'configuration'
_MS = 1000
_TOKEN_BYTES = 8
_ANNOUNCE_WAIT = 2.0
_VIEW_WAIT = 2.0
_CHANGE_WAIT = 12.0
_MOST_CANCELLED = 10_000


def _put_answer(
    resp: falcon.asgi.Response,
    answer: Answer | None,
    **more: Any,
) -> None:
    if answer is None:
        reason = 'no leader answered in time'
        put_refusal(resp, ResultCode.OUTCOME_UNKNOWN, reason, **more)
        return
    view = msgspec.json.decode(answer.view) if answer.view else None
    if view is not None:
        more['view'] = view
    put_refusal(resp, answer.code, answer.reason, **more)
    if answer.code == ResultCode.ACCEPTED and view is not None:
        resp.status = falcon.HTTP_200


async def _view(entry: Entry, group: str, view: str, name: str = '') -> Answer:
    answer, _ = await ask_leader(
        entry,
        group,
        lambda seq: Query(seq, view, name),
        _VIEW_WAIT,
    )
    return answer


class OneRequest:
    """``/v1/requests/{name}``: status and cancellation of one request."""

    def __init__(self, entry: Entry) -> None:
        """Serve for ``entry``."""
        self.entry = entry

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        name: str,
    ) -> None:
        """Show what the books say of a request."""
        check_id(name, self.entry.cfg.limits)
        group = home(self.entry, name)
        answer = await _view(self.entry, group, 'job', name)
        _put_answer(resp, answer, id=name)

    async def on_delete(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        name: str,
    ) -> None:
        """Cancel a request."""
        check_id(name, self.entry.cfg.limits)
        await _cancel(self.entry, resp, [name])


async def _cancel(
    entry: Entry,
    resp: falcon.asgi.Response,
    names: list[str],
) -> None:
    by_home: dict[str, list[str]] = {}
    for name in names:
        by_home.setdefault(home(entry, name), []).append(name)
    reasons = []
    codes = set()
    for group, jobs in by_home.items():
        answer, _ = await ask_leader(
            entry,
            group,
            partial(_cancel_message, tuple(jobs)),
            entry.boot.process.patience,
        )
        codes.add(answer.code if answer else ResultCode.OUTCOME_UNKNOWN)
        reasons.append(f'{group}: {answer.reason if answer else "unknown"}')
    put_refusal(resp, max(codes), '; '.join(reasons))


def _cancel_message(jobs: tuple[str, ...], seq: int) -> Cancel:
    return Cancel(seq, jobs)


class Cancellations:
    """``/v1/cancellations``: a wave of cancellations at once."""

    def __init__(self, entry: Entry) -> None:
        """Serve for ``entry``."""
        self.entry = entry

    async def on_post(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Cancel the ids in ``{"ids": [...]}``."""
        raw = await read_json(req)
        names = raw.get('ids') if isinstance(raw, dict) else None
        if not isinstance(names, list) or not names:
            raise ContractError(ResultCode.BAD_VALUE, 'ids: must be a list')
        if len(names) > _MOST_CANCELLED:
            reason = f'ids: more than {_MOST_CANCELLED}'
            raise ContractError(ResultCode.BAD_VALUE, reason)
        for name in names:
            check_id(str(name), self.entry.cfg.limits)
        await _cancel(self.entry, resp, [str(name) for name in names])


class Views:
    """``/v1/views/{view}``: the books of every failure domain."""

    def __init__(self, entry: Entry) -> None:
        """Serve for ``entry``."""
        self.entry = entry

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        view: str,
    ) -> None:
        """Show one view of all failure domains; null where unreachable."""
        wanted = [_view(self.entry, one, view) for one in self.entry.domains]
        answers = await asyncio.gather(*wanted)
        resp.media = {
            domain: _decoded(answer)
            for domain, answer in zip(
                self.entry.domains,
                answers,
                strict=True,
            )
        }


def _decoded(answer: Answer | None) -> Any:
    if answer is None or not answer.view:
        return None
    return msgspec.json.decode(answer.view)


class Drains:
    """``/v1/targets/{name}/drain``: close a target to new work."""

    def __init__(self, entry: Entry) -> None:
        """Serve for ``entry``."""
        self.entry = entry

    async def on_put(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        name: str,
    ) -> None:
        """Close the target, in whichever failure domain it is."""
        await self._drain(resp, name, drained=True)

    async def on_delete(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        name: str,
    ) -> None:
        """Open the target again."""
        await self._drain(resp, name, drained=False)

    async def _drain(
        self,
        resp: falcon.asgi.Response,
        name: str,
        *,
        drained: bool,
    ) -> None:
        answer = None
        for group in self.entry.domains:
            answer, _ = await ask_leader(
                self.entry,
                group,
                lambda seq: Drain(seq, name, drained),
                _VIEW_WAIT,
            )
            if answer and answer.code == ResultCode.ACCEPTED:
                break
        _put_answer(resp, answer)


class Announcements:
    """``/v1/targets/{name}/announcements``: a target's heartbeats."""

    def __init__(self, entry: Entry) -> None:
        """Serve for ``entry``."""
        self.entry = entry

    async def on_post(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        name: str,
    ) -> None:
        """Pass an announcement on; answer once the leader took it."""
        announcement = _announcement(await req.stream.read(), name)
        taken = await _announce(self.entry, announcement)
        if taken is None:
            reason = 'no leader took the announcement in time'
            put_refusal(resp, ResultCode.NO_LEADER, reason)
            return
        resp.media = asdict(taken)


_decode_announcement = msgspec.json.Decoder(Announcement).decode


def _announcement(raw: bytes, name: str) -> Announcement:
    try:
        announcement = _decode_announcement(raw)
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        raise ContractError(ResultCode.MALFORMED, str(exc)) from exc
    spec = announcement.spec
    if spec.name != name:
        raise ContractError(ResultCode.BAD_VALUE, 'spec.name: not that of it')
    capacity = spec.capacity
    amounts = (capacity.cpus, capacity.memory, capacity.accelerators)
    if min(amounts) < 0 or capacity.slots < 1 or announcement.number < 1:
        reason = 'spec.capacity: must not be negative'
        raise ContractError(ResultCode.BAD_SIZE, reason)
    return announcement


async def _announce(
    entry: Entry,
    announcement: Announcement,
) -> AnnouncementTaken | None:
    spec = announcement.spec
    key = (spec.name, spec.incarnation, announcement.number)
    fut = asyncio.get_running_loop().create_future()
    entry.announced[key] = fut
    try:
        if not tell_leader(entry, entry.domain, Announced(announcement)):
            return None
        return await asyncio.wait_for(fut, _ANNOUNCE_WAIT)
    except TimeoutError:
        return None
    finally:
        entry.announced.pop(key, None)


class Configurations:
    """``/v1/configuration``: the configuration in force, and changes."""

    def __init__(self, entry: Entry) -> None:
        """Serve for ``entry``."""
        self.entry = entry

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Show the configuration in force at this entry."""
        resp.media = asdict(self.entry.cfg)

    async def on_post(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Ask for a change; answer where it is in force."""
        raw = await read_json(req)
        change = _change(raw)
        answer, _ = await ask_leader(
            self.entry,
            CONFIGURATION,
            lambda seq: replace(change, seq=seq),
            _CHANGE_WAIT,
        )
        _put_answer(resp, answer, change=change.change)


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


class Dump:
    """``/v1/dump``: the state of this host's two processes."""

    def __init__(self, entry: Entry) -> None:
        """Serve for ``entry``."""
        self.entry = entry

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Show the entry's state and its scheduler's."""
        answer = await ask_own_scheduler(self.entry, 'dump')
        resp.media = {
            'entry': describe_entry(self.entry),
            'scheduler': _decoded(answer),
        }


async def ask_own_scheduler(entry: Entry, view: str) -> Answer | None:
    """Ask the scheduler on this host about itself."""
    link = entry.links[entry.host]
    if not link.up:
        return None
    seq = next(entry.numbers)
    fut = asyncio.get_running_loop().create_future()
    entry.asked[seq] = fut
    post_about(link, entry.domain, Query(seq, view))
    try:
        return await asyncio.wait_for(fut, _VIEW_WAIT)
    except TimeoutError:
        return None
    finally:
        entry.asked.pop(seq, None)


def describe_entry(entry: Entry) -> dict[str, Any]:
    """Return what a dump shows of an entry."""
    return {
        'process': 'entry',
        'host': entry.host,
        'domain': entry.domain,
        'stopping': entry.stopping,
        'in_progress': entry.in_progress,
        'driven': sorted(entry.driven),
        'answered': entry.answered,
        'refused': entry.refused,
        'config_version': entry.cfg.version,
        'leaders': {
            group: news.host for group, news in entry.leaders.items()
        },
        'usage': usage(),
        'links': [describe_link(link) for link in entry.links.values()],
    }


class Health:
    """``/v1/health``: for the balancer in front of the entries."""

    def __init__(self, entry: Entry) -> None:
        """Serve for ``entry``."""
        self.entry = entry

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Answer 200 while new requests are taken, 503 otherwise."""
        resp.media = {'stopping': self.entry.stopping}
        if self.entry.stopping:
            resp.status = falcon.HTTP_503
