"""The HTTP face of an entry for operators and targets."""

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
    put_answer,
    put_refusal,
    read_json,
)
from daisygw.entries._state import (
    VIEW_WAIT,
    Entry,
    ask_view,
    call_leader,
    home,
)

# Most jobs in one cancellation; a day has 14,000 (CAPACITY.md).
_MOST_CANCELLED = 10_000


class OneRequest(Resource):
    """``/v1/requests/{name}``: status and cancellation of one request."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        name: str,
    ) -> None:
        """Show what the replicated state says of a request."""
        check_id(name, self.entry.cfg.limits)
        group = home(self.entry, name)
        answer = await ask_view(self.entry, group, 'job', name)
        put_answer(resp, answer, id=name)

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
        answer, _ = await call_leader(
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


class Cancellations(Resource):
    """``/v1/cancellations``: a wave of cancellations at once."""

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


class Views(Resource):
    """``/v1/views/{view}``: the replicated state of every failure domain."""

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        view: str,
    ) -> None:
        """Show one view of all failure domains; null where unreachable."""
        wanted = [ask_view(self.entry, one, view) for one in self.entry.domains]
        answers = await asyncio.gather(*wanted)
        resp.media = {
            domain: _decoded(answer)
            for domain, answer in zip(
                self.entry.domains,
                answers,
                strict=True,
            )
        }


def _decoded(answer: SchedulerResponse | None) -> Any:
    if answer is None or not answer.view:
        return None
    return msgspec.json.decode(answer.view)


def _drain_message(target: str, drained: bool, seq: int) -> Drain:
    return Drain(seq, target, drained)


class Drains(Resource):
    """``/v1/targets/{name}/drain``: close a target to new work."""

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
            answer, _ = await call_leader(
                self.entry,
                group,
                partial(_drain_message, name, drained),
                VIEW_WAIT,
            )
            if answer and answer.code == ResultCode.ACCEPTED:
                break
        put_answer(resp, answer)
