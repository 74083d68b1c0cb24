"""HTTP endpoints for callers, the load balancer, workers and operators."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Any

import falcon
import falcon.asgi

from daisygw.contracts import (
    CellResponse,
    ConfigRequest,
    ContractError,
    JobRequest,
    JobSpec,
    JobState,
    JobVerb,
    ResultCode,
    is_bad_input,
)
from daisygw.links import log, log_error
from daisygw.links.processes import WAITING_SINCE
from daisygw.machines import TargetReport, agrees, instance_key
from daisygw.nodes import (
    EntryNode,
    Meters,
    SchedulerNode,
    call_leader,
    count,
    is_ready,
    show,
)
from daisygw.platform import _codec

# Used for requests without a deadline header.
_DEFAULT_CALLER_TIMEOUT_S = 3.0
# Part of a caller's deadline to use; the rest is for returning the response.
_DEADLINE_FRACTION = 0.9
# How long an overdue request waits for the leader.
_MIN_PATIENCE_S = 0.5
# Digits of a deadline in ms: up to some hours.
_MAX_DEADLINE_DIGITS = 8
# Workers and operators wait one second for a response.
_CONTROL_TIMEOUT_S = 0.9
# Upper bound on a job's body, whatever the configuration allows.
MAX_JOB_BYTES = 262_144
# Upper bound on the body of a heartbeat or configuration.
MAX_CONTROL_BYTES = 8_388_608
_MS_PER_S = 1000
_HTTP_OK = 200
_HTTP_BAD_REQUEST = 400
_HTTP_UNAVAILABLE = 503
_VERBS = MappingProxyType({
    'POST': JobVerb.SUBMIT,
    'GET': JobVerb.SHOW,
    'DELETE': JobVerb.CANCEL,
})
_STATE_NAMES = MappingProxyType({JobState.RUNNING: 'in_progress'})
_HTTP_STATUS = MappingProxyType({
    ResultCode.ANSWERED: 200,
    ResultCode.ACCEPTED: 200,
    ResultCode.UNKNOWN_QUEUE: 404,
    ResultCode.UNKNOWN_KEY: 401,
    ResultCode.ID_REUSED: 409,
    ResultCode.UNKNOWN_JOB: 410,
    ResultCode.OVERLOADED: 429,
    ResultCode.NEVER_IN_TIME: 429,
    ResultCode.NEVER_FITS: 429,
    ResultCode.QUOTA_EXCEEDED: 429,
    ResultCode.NO_WORKERS: 503,
    ResultCode.CANCELLED: 503,
    ResultCode.DEADLINE_PASSED: 503,
    ResultCode.NO_LEADER: 503,
    ResultCode.NOT_CONFIGURED: 503,
    ResultCode.CONFIG_INVALID: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.OUTCOME_UNKNOWN: 504,
})


def _write_result(
    resp: falcon.asgi.Response, code: int, reason: str = ''
) -> None:
    result_code = ResultCode(code)
    resp.status = _HTTP_STATUS.get(result_code, _HTTP_BAD_REQUEST)
    resp.media = {
        'code': result_code.value,
        'name': result_code.name,
        'reason': reason,
    }


async def _read_body(req: falcon.asgi.Request, max_bytes: int) -> bytes:
    raw = await req.stream.readall()
    if len(raw) > max_bytes:
        reason = f'body: more than {max_bytes} bytes'
        raise ContractError(ResultCode.BODY_TOO_LARGE, reason)
    return raw


def _refusing_malformed(meters: Meters) -> Callable[..., Awaitable[None]]:
    """Return a handler that answers, logs and counts invalid requests."""

    async def on_contract_error(
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        exc: ContractError,
        params: dict[str, Any],
    ) -> None:
        fields = {
            'path': req.path,
            'client': req.remote_addr,
            'code': exc.code,
            'reason': exc.reason,
        }
        log('bad request', **fields)
        count(meters, 'bad request', fields)
        _write_result(resp, exc.code, exc.reason)

    return on_contract_error


async def _on_unexpected_error(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    exc: Exception,
    params: dict[str, Any],
) -> None:
    log_error('request crashed', exc, path=req.path)
    _write_result(resp, ResultCode.OUTCOME_UNKNOWN, type(exc).__name__)


def _make_app(meters: Meters) -> falcon.asgi.App:
    app = falcon.asgi.App()
    app.add_error_handler(Exception, _on_unexpected_error)
    app.add_error_handler(ContractError, _refusing_malformed(meters))
    return app


def _remaining_time(req: falcon.asgi.Request) -> float:
    """Return how long a caller still waits (s); at most 0 if it has left.

    A request may have waited before it was read, while the process stood still
    or served those before it on the connection.
    """
    waiting_since = req.scope.get(WAITING_SINCE)
    if waiting_since is None:
        return _caller_timeout(req)
    waited = asyncio.get_running_loop().time() - waiting_since
    return _caller_timeout(req) - waited


def _caller_timeout(req: falcon.asgi.Request) -> float:
    """Return how long a caller waits (s); ignore an odd deadline."""
    deadline_ms = req.get_header('X-Deadline-Ms') or ''
    is_number = deadline_ms.isascii() and deadline_ms.isdecimal()
    if not is_number or len(deadline_ms) > _MAX_DEADLINE_DIGITS:
        return _DEFAULT_CALLER_TIMEOUT_S
    return int(deadline_ms) / _MS_PER_S * _DEADLINE_FRACTION


def callers_app(node: EntryNode) -> falcon.asgi.App:
    """Return the application that serves callers' jobs at every path."""
    app = _make_app(node.meters)

    async def serve(
        req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        await _serve_caller(node, req, resp)

    app.add_sink(serve, '/')
    return app


async def _serve_caller(
    node: EntryNode,
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
) -> None:
    verb = _VERBS.get(req.method)
    if verb is None:
        raise ContractError(
            ResultCode.MALFORMED, f'unsupported method {req.method}'
        )
    job, fault = None, None
    if verb is JobVerb.SUBMIT:
        job, fault = await _read_job(req)
    started_at = time.monotonic()
    remaining = _remaining_time(req)
    answer = await call_leader(
        node.peers,
        _forwarding(req, verb, job, overdue=remaining <= 0),
        max(remaining, _MIN_PATIENCE_S),
    )
    if fault and answer.code != ResultCode.UNKNOWN_KEY:
        raise fault
    _write_answer(resp, verb, answer)
    took = time.monotonic() - started_at
    node.meters.answers.labels(verb, str(answer.code)).observe(took)
    if answer.code not in {ResultCode.ANSWERED, ResultCode.ACCEPTED}:
        log(
            'not served',
            id=req.path,
            verb=verb,
            code=answer.code,
            leader=node.peers.leader,
            term=node.peers.term,
        )


def _forwarding(
    req: falcon.asgi.Request,
    verb: JobVerb,
    job: JobSpec | None,
    *,
    overdue: bool,
) -> Callable[[int], JobRequest]:
    """Return what makes the request to the leader from a correlation id."""
    host = (req.get_header('Host') or '').partition(':')[0]
    key = _codec.decode_key(req.get_header('Authorization') or '')
    return lambda seq: JobRequest(seq, verb, host, req.path, job, key, overdue)


async def _read_job(
    req: falcon.asgi.Request,
) -> tuple[JobSpec | None, ContractError | None]:
    """Return the job, or what is wrong with it.

    The leader is asked in both cases: a caller with an unknown key gets 401,
    also for an invalid job.
    """
    raw = await _read_body(req, MAX_JOB_BYTES)
    try:
        return _codec.decode_job(raw, req.path.rpartition('/')[2]), None
    except ContractError as exc:
        return None, exc


def _write_answer(
    resp: falcon.asgi.Response,
    verb: JobVerb,
    answer: CellResponse,
) -> None:
    if answer.code not in {ResultCode.ANSWERED, ResultCode.ACCEPTED}:
        _write_result(resp, answer.code, answer.reason)
        if answer.code == ResultCode.UNKNOWN_KEY:
            resp.set_header('WWW-Authenticate', 'Token')
        if verb is JobVerb.SHOW and answer.code == ResultCode.OUTCOME_UNKNOWN:
            resp.status = _HTTP_UNAVAILABLE
        if answer.retry_after:
            seconds = str(max(round(answer.retry_after), 1))
            resp.set_header('Retry-After', seconds)
        return
    resp.status = _HTTP_OK
    if answer.state:
        resp.media = {'state': _STATE_NAMES.get(answer.state, answer.state)}
    else:
        resp.media = {'pending': answer.pending}


class _Metrics:
    """``/metrics``: the metrics of this process."""

    def __init__(self, meters: Meters) -> None:
        self.meters = meters

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return the metrics in the Prometheus text format."""
        resp.content_type = falcon.MEDIA_TEXT
        resp.data = show(self.meters)


def metrics_app(meters: Meters) -> falcon.asgi.App:
    """Return the application that serves a process's metrics."""
    app = _make_app(meters)
    app.add_route('/metrics', _Metrics(meters))
    return app


class _Readiness:
    """``/readyz``: readiness check of an entry."""

    def __init__(self, node: EntryNode) -> None:
        self.node = node

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Respond with 200 while new callers are accepted, else 503."""
        resp.status = _HTTP_OK if is_ready(self.node) else _HTTP_UNAVAILABLE


def readiness_app(node: EntryNode) -> falcon.asgi.App:
    """Return the application that the load balancer checks."""
    app = _make_app(node.meters)
    app.add_route('/readyz', _Readiness(node))
    return app


class _Instances:
    """``/instances/{name}``: the workers' heartbeats."""

    def __init__(self, node: SchedulerNode) -> None:
        self.node = node

    async def on_put(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str
    ) -> None:
        """Accept a heartbeat; acknowledge it once its changes are durable."""
        raw = await _read_body(req, MAX_CONTROL_BYTES)
        report = _codec.decode_report(raw, name)
        if _changes_state(self.node, report):
            answer = await _forward_report(self.node, resp, report)
            if is_bad_input(answer.code):
                _log_refused_report(self.node.meters, req, name, answer)
        else:
            resp.media = {}

    async def on_delete(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str
    ) -> None:
        """Report that a worker is shutting down."""
        await _forward_report(self.node, resp, _codec.decode_shutdown(name))


def _changes_state(node: SchedulerNode, report: TargetReport) -> bool:
    """Return whether a report may differ from the committed state.

    Only then does it need the leader.  A leader's own state is ahead of the
    log, so it handles each report and answers once its records are durable.
    """
    if node.state.lead is not None:
        return True
    target = node.state.cell.targets.get(instance_key(report.instance))
    if target is None or not agrees(target.instance, report.instance):
        return True
    return target.open == report.draining


async def _forward_report(
    node: SchedulerNode,
    resp: falcon.asgi.Response,
    report: TargetReport,
) -> CellResponse:
    answer = await call_leader(
        node.peers,
        lambda seq: TargetReport(
            seq,
            report.name,
            report.instance,
            report.number,
            report.draining,
            report.left,
        ),
        _CONTROL_TIMEOUT_S,
    )
    if answer.code == ResultCode.ACCEPTED:
        resp.media = {}
    else:
        _write_result(resp, answer.code, answer.reason)
    return answer


def _log_refused_report(
    meters: Meters,
    req: falcon.asgi.Request,
    name: str,
    answer: CellResponse,
) -> None:
    fields = {
        'target': name,
        'client': req.remote_addr,
        'code': answer.code,
        'reason': answer.reason,
    }
    log('report refused', **fields)
    count(meters, 'report refused', fields)


class _Configurations:
    """``/config``: read or replace the configuration."""

    def __init__(self, node: SchedulerNode) -> None:
        self.node = node

    async def on_put(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Store a configuration; acknowledge it once it is durable."""
        cfg = _codec.decode_config(await _read_body(req, MAX_CONTROL_BYTES))
        answer = await call_leader(
            self.node.peers,
            lambda seq: ConfigRequest(seq, cfg),
            _CONTROL_TIMEOUT_S,
        )
        if answer.code == ResultCode.ANSWERED:
            resp.media = {}
            return
        _write_result(resp, answer.code, answer.reason)
        if not is_bad_input(answer.code):
            resp.status = _HTTP_UNAVAILABLE

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return the newest configuration, byte for byte as received."""
        answer = await call_leader(
            self.node.peers, ConfigRequest, _CONTROL_TIMEOUT_S
        )
        if answer.code == ResultCode.ANSWERED:
            resp.content_type = falcon.MEDIA_JSON
            resp.data = answer.document
        else:
            _write_result(resp, answer.code)
            resp.status = _HTTP_UNAVAILABLE


def control_app(node: SchedulerNode) -> falcon.asgi.App:
    """Return the application that serves workers and operators."""
    app = _make_app(node.meters)
    app.add_route('/instances/{name}', _Instances(node))
    app.add_route('/config', _Configurations(node))
    return app
