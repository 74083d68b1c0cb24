"""HTTP endpoints to inspect and cancel requests and to drain targets."""

import asyncio
from functools import partial
from typing import Any

import falcon.asgi
import msgspec

from daisygw.contracts import (
    Cancel,
    ContractError,
    Drain,
    ResultCode,
    SchedulerResponse,
    check_id,
)
from daisygw.entries._http import (
    Resource,
    read_json,
    write_leader_response,
    write_result,
)
from daisygw.entries._state import (
    VIEW_TIMEOUT_S,
    Entry,
    call_leader,
    query_view,
    request_home,
)

# Limit for one cancellation; a day has 14,000 jobs (CAPACITY.md).
_MAX_CANCELLED_IDS = 10_000


class OneRequest(Resource):
    """``/v1/requests/{name}``: status and cancellation of one request."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        name: str,
    ) -> None:
        """Return the status of a request from the replicated state."""
        check_id(name, self.entry.cfg.limits)
        group = request_home(self.entry, name)
        answer = await query_view(self.entry, group, 'job', name)
        write_leader_response(resp, answer, id=name)

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
        by_home.setdefault(request_home(entry, name), []).append(name)
    reasons = []
    codes = set()
    for group, jobs in by_home.items():
        answer, _ = await call_leader(
            entry,
            group,
            partial(_cancel_message, tuple(jobs)),
            entry.boot_settings.process.patience,
        )
        codes.add(answer.code if answer else ResultCode.OUTCOME_UNKNOWN)
        reasons.append(f'{group}: {answer.reason if answer else "unknown"}')
    write_result(resp, max(codes), '; '.join(reasons))


def _cancel_message(jobs: tuple[str, ...], seq: int) -> Cancel:
    return Cancel(seq, jobs)


class Cancellations(Resource):
    """``/v1/cancellations``: cancel many requests in one call."""

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
        if len(names) > _MAX_CANCELLED_IDS:
            reason = f'ids: more than {_MAX_CANCELLED_IDS}'
            raise ContractError(ResultCode.BAD_VALUE, reason)
        for name in names:
            check_id(str(name), self.entry.cfg.limits)
        await _cancel(self.entry, resp, [str(name) for name in names])


class Views(Resource):
    """``/v1/views/{view}``: the replicated state of every failure domain."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        view: str,
    ) -> None:
        """Return a view of each failure domain; null where unreachable."""
        queries = [
            query_view(self.entry, domain, view)
            for domain in self.entry.domains
        ]
        answers = await asyncio.gather(*queries)
        resp.media = {
            domain: _decode_view(answer)
            for domain, answer in zip(
                self.entry.domains,
                answers,
                strict=True,
            )
        }


def _decode_view(answer: SchedulerResponse | None) -> Any:
    if answer is None or not answer.view:
        return None
    return msgspec.json.decode(answer.view)


def _drain_message(target: str, drained: bool, seq: int) -> Drain:
    return Drain(seq, target, drained)


class Drains(Resource):
    """``/v1/targets/{name}/drain``: drain a target, or end its drain."""

    async def on_put(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        name: str,
    ) -> None:
        """Drain the target, in whichever failure domain it is."""
        await self._drain(resp, name, drained=True)

    async def on_delete(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        name: str,
    ) -> None:
        """Let the target accept new work again."""
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
            answer, _ = await call_leader(
                self.entry,
                group,
                partial(_drain_message, name, drained),
                VIEW_TIMEOUT_S,
            )
            if answer and answer.code == ResultCode.ACCEPTED:
                break
        write_leader_response(resp, answer)
