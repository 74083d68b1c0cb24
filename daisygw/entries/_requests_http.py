"""HTTP endpoint on which callers submit requests and await outcomes."""

import base64
import json
from collections.abc import AsyncIterator
from dataclasses import replace
from secrets import token_hex
from typing import Any

import falcon
import falcon.asgi
import xxhash

from daisygw.contracts import (
    Contract,
    ContractError,
    DaisygwError,
    Kind,
    RefusedAtEntry,
    ResultCode,
    SchedulerResponse,
    check_contract,
    new_request_id,
)
from daisygw.entries._http import (
    Resource,
    in_progress,
    parse_json,
    read_body,
    write_result,
)
from daisygw.entries._job_driver import detach_caller, submit
from daisygw.entries._state import DrivenJob, Entry, Outcome, send_to_leader
from daisygw.entries._target_client import CODE_HEADER, read_answer
from daisygw.links import log

CONTRACT_HEADER = 'Daisygw-Contract'
ID_HEADER = 'Daisygw-Id'
_NDJSON = 'application/x-ndjson'
# Random bytes in a generated request id: enough that ids do not collide
# within a day.
_REQUEST_ID_BYTES = 8


class Requests(Resource):
    """``/v1/requests``: submit a request."""

    async def on_post(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
    ) -> None:
        """Submit the request and respond with its outcomes."""
        entry = self.entry
        if entry.stopping:
            reason = 'this entry is stopping'
            write_result(resp, ResultCode.STOPPING, reason, retry_after=1)
            return
        if not entry.configured:
            reason = 'this entry has not received a configuration yet'
            write_result(resp, ResultCode.NO_LEADER, reason, retry_after=1)
            return
        async with in_progress(entry):
            contract, body, id_generated = await _read_and_count_refusal(
                entry, req
            )
            answer, driven = await submit(
                entry,
                contract,
                body,
                id_generated=id_generated,
            )
            if driven is None:
                _write_refusal(entry, resp, contract, answer)
                return
            await _write_outcomes(entry, resp, driven)


async def _read_and_count_refusal(
    entry: Entry,
    req: falcon.asgi.Request,
) -> tuple[Contract, bytes, bool]:
    raw = parse_json(req.get_header(CONTRACT_HEADER) or '{}')
    try:
        return await _read_submission(entry, req, raw)
    except ContractError as exc:
        entry.refused += 1
        team = raw.get('team', '') if isinstance(raw, dict) else ''
        refused = RefusedAtEntry(str(team), exc.code)
        send_to_leader(entry, entry.domain, refused)
        raise


async def _read_submission(
    entry: Entry,
    req: falcon.asgi.Request,
    raw: Any,
) -> tuple[Contract, bytes, bool]:
    new_id = new_request_id(entry.domain, token_hex(_REQUEST_ID_BYTES))
    contract = check_contract(raw, entry.cfg, new_id)
    service = contract.kind is Kind.SERVICE
    body = await read_body(req, _max_body_bytes(entry, service=service))
    digest = xxhash.xxh64_hexdigest(body)
    spec = _decode_spec(body) if service else ''
    contract = replace(contract, digest=digest, spec=spec)
    return contract, body, contract.id == new_id


def _max_body_bytes(entry: Entry, *, service: bool) -> int:
    limits = entry.cfg.limits
    return limits.spec_bytes if service else limits.body_bytes


def _decode_spec(body: bytes) -> str:
    try:
        return body.decode('utf-8') or '{}'
    except UnicodeDecodeError as exc:
        reason = 'body: must be UTF-8 for a service'
        raise ContractError(ResultCode.MALFORMED, reason) from exc


def _write_refusal(
    entry: Entry,
    resp: falcon.asgi.Response,
    contract: Contract,
    answer: SchedulerResponse,
) -> None:
    entry.refused += 1
    log('refused', id=contract.id, code=answer.code, reason=answer.reason)
    write_result(
        resp,
        answer.code,
        answer.reason,
        id=contract.id,
        retry_after=answer.retry_after,
    )
    resp.set_header(ID_HEADER, contract.id)


async def _write_outcomes(
    entry: Entry,
    resp: falcon.asgi.Response,
    driven: DrivenJob,
) -> None:
    contract = driven.contract
    resp.set_header(ID_HEADER, contract.id)
    if contract.kind is Kind.SERVICE:
        detach_caller(entry, driven)
        write_result(resp, ResultCode.ACCEPTED, '', id=contract.id)
        return
    if contract.count > 1:
        resp.content_type = _NDJSON
        resp.stream = _outcome_lines(entry, driven)
        return
    try:
        outcome = await _next_outcome(driven, 0)
    finally:
        detach_caller(entry, driven)
    entry.answered += 1
    await _write_single_outcome(entry, resp, contract, outcome)


async def _next_outcome(driven: DrivenJob, index: int) -> Outcome:
    while index not in driven.outcomes:
        await driven.changed.wait()
    return driven.outcomes[index]


async def _write_single_outcome(
    entry: Entry,
    resp: falcon.asgi.Response,
    contract: Contract,
    outcome: Outcome,
) -> None:
    log('answered', id=contract.id, code=outcome.code)
    if outcome.code != ResultCode.ANSWERED:
        write_result(resp, outcome.code, '', id=contract.id)
        return
    resp.set_header(CODE_HEADER, str(int(outcome.code)))
    if outcome.body is not None:
        resp.content_type = falcon.MEDIA_TEXT
        resp.data = outcome.body
        return
    chunks = read_answer(entry, outcome.at)
    try:
        first = await anext(chunks, b'')
    except DaisygwError as exc:
        write_result(resp, exc.code, exc.reason, id=contract.id)
        return
    resp.content_type = falcon.MEDIA_TEXT
    resp.stream = _stream_in_progress(entry, first, chunks)


async def _stream_in_progress(
    entry: Entry,
    first: bytes,
    chunks: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    async with in_progress(entry):
        yield first
        async for chunk in chunks:
            yield chunk


async def _outcome_lines(
    entry: Entry, driven: DrivenJob
) -> AsyncIterator[bytes]:
    """Yield one JSON line per task, as tasks end."""
    try:
        async with in_progress(entry):
            async for outcome in _outcomes(driven):
                yield await _format_outcome(entry, outcome)
            entry.answered += 1
            log('answered', id=driven.contract.id)
    finally:
        detach_caller(entry, driven)


async def _outcomes(driven: DrivenJob) -> AsyncIterator[Outcome]:
    """Yield each task's outcome once, in the order in which tasks end."""
    sent = 0
    while sent < driven.contract.count:
        changed = driven.changed
        ready = list(driven.outcomes.values())[sent:]
        for outcome in ready:
            yield outcome
        sent += len(ready)
        if not ready:
            await changed.wait()


async def _format_outcome(entry: Entry, outcome: Outcome) -> bytes:
    code = outcome.code
    body = outcome.body
    if code == ResultCode.ANSWERED and body is None:
        try:
            body = b''.join([
                chunk async for chunk in read_answer(entry, outcome.at)
            ])
        except DaisygwError as exc:
            code = exc.code
    line = {
        'index': outcome.index,
        'attempt': outcome.attempt,
        'code': int(code),
        'name': ResultCode(code).name,
        **_answer_field(body if code == ResultCode.ANSWERED else None),
    }
    return f'{json.dumps(line)}\n'.encode()


def _answer_field(body: bytes | None) -> dict[str, str]:
    if body is None:
        return {}
    try:
        return {'answer': body.decode('utf-8')}
    except UnicodeDecodeError:
        return {'answer_base64': base64.b64encode(body).decode('ascii')}
