"""The HTTP faces towards callers, the balancer, workers and operators."""

import time
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
)
from daisygw.links import log, log_error
from daisygw.machines import TargetReport, instance_key
from daisygw.nodes import (
    EntryNode,
    Meters,
    SchedulerNode,
    call_leader,
    is_ready,
    show,
)
from daisygw.platform import _codec

# A caller that names no deadline is answered within this time, s.
_CALLER_PATIENCE = 3.0
# What is left of a caller's deadline for the answer's way back.
_DEADLINE_SHARE = 0.9
# Workers and operators wait a second for an answer.
_CONTROL_PATIENCE = 0.9
# A caller's body is cut off here, whatever the configuration allows, bytes.
_MOST_JOB = 262_144
# Heartbeats and configurations may be as large as this, bytes.
_MOST_CONTROL = 8_388_608
# Milliseconds in a second.
_MS = 1000
_OK = 200
_BAD_REQUEST = 400
_UNAVAILABLE = 503
_VERBS = MappingProxyType({
    'POST': JobVerb.SUBMIT,
    'GET': JobVerb.SHOW,
    'DELETE': JobVerb.CANCEL,
})
_STATES = MappingProxyType({JobState.RUNNING: 'in_progress'})
_STATUS = MappingProxyType({
    ResultCode.ANSWERED: 200,
    ResultCode.ACCEPTED: 200,
    ResultCode.UNKNOWN_QUEUE: 404,
    ResultCode.UNKNOWN_JOB: 410,
    ResultCode.OVERLOADED: 429,
    ResultCode.NEVER_IN_TIME: 429,
    ResultCode.NEVER_FITS: 429,
    ResultCode.NO_WORKERS: 503,
    ResultCode.NO_LEADER: 503,
    ResultCode.NOT_CONFIGURED: 503,
    ResultCode.CONFIG_INVALID: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.OUTCOME_UNKNOWN: 504,
})


def _put(resp: falcon.asgi.Response, code: int, reason: str = '') -> None:
    named = ResultCode(code)
    resp.status = _STATUS.get(named, _BAD_REQUEST)
    resp.media = {'code': named.value, 'name': named.name, 'reason': reason}


async def _read(req: falcon.asgi.Request, most: int) -> bytes:
    raw = b''
    async for chunk in req.stream:
        raw += chunk
        if len(raw) > most:
            reason = f'body: more than {most} bytes'
            raise ContractError(ResultCode.BODY_TOO_LARGE, reason)
    return raw


async def _on_bad(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    exc: ContractError,
    params: dict[str, Any],
) -> None:
    log('bad request', path=req.path, code=exc.code, reason=exc.reason)
    _put(resp, exc.code, exc.reason)


async def _on_crash(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    exc: Exception,
    params: dict[str, Any],
) -> None:
    log_error('request crashed', exc, path=req.path)
    _put(resp, ResultCode.OUTCOME_UNKNOWN, type(exc).__name__)


def _app() -> falcon.asgi.App:
    app = falcon.asgi.App()
    app.add_error_handler(Exception, _on_crash)
    app.add_error_handler(ContractError, _on_bad)
    return app


def _patience(req: falcon.asgi.Request) -> float:
    given = req.get_header('X-Deadline-Ms') or ''
    if not given.isdigit():
        return _CALLER_PATIENCE
    return max(int(given) / _MS * _DEADLINE_SHARE, 0)


def callers_app(node: EntryNode) -> falcon.asgi.App:
    """Return the application that callers speak to."""
    app = _app()

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
        raise ContractError(ResultCode.MALFORMED, f'method {req.method}')
    host = (req.get_header('Host') or '').partition(':')[0]
    path = req.path
    job = None
    if verb is JobVerb.SUBMIT:
        job = await _job(req)
    if node.stopping:
        resp.set_header('Connection', 'close')
    begun = time.monotonic()
    answer = await call_leader(
        node.peers,
        lambda seq: JobRequest(seq, verb, host, path, job),
        _patience(req),
    )
    _put_answer(resp, verb, answer)
    took = time.monotonic() - begun
    node.meters.answers.labels(verb, str(answer.code)).observe(took)
    if answer.code not in {ResultCode.ANSWERED, ResultCode.ACCEPTED}:
        log(
            'not served',
            id=path,
            verb=verb,
            code=answer.code,
            leader=node.peers.leader,
            term=node.peers.term,
        )


async def _job(req: falcon.asgi.Request) -> JobSpec:
    raw = await _read(req, _MOST_JOB)
    return _codec.decode_job(raw, req.path.rpartition('/')[2])


def _put_answer(
    resp: falcon.asgi.Response,
    verb: JobVerb,
    answer: CellResponse,
) -> None:
    if answer.code not in {ResultCode.ANSWERED, ResultCode.ACCEPTED}:
        _put(resp, answer.code, answer.reason)
        if verb is JobVerb.SHOW and answer.code == ResultCode.OUTCOME_UNKNOWN:
            resp.status = _UNAVAILABLE
        if answer.retry_after:
            seconds = str(max(round(answer.retry_after), 1))
            resp.set_header('Retry-After', seconds)
        return
    resp.status = _OK
    if answer.state:
        resp.media = {'state': _STATES.get(answer.state, answer.state)}
    else:
        resp.media = {'pending': answer.pending}


class _Metrics:
    """``/metrics``: what the process has counted."""

    def __init__(self, meters: Meters) -> None:
        self.meters = meters

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Show it in the text format."""
        resp.content_type = falcon.MEDIA_TEXT
        resp.data = show(self.meters)


def metrics_app(meters: Meters) -> falcon.asgi.App:
    """Return the application that shows a process's metrics."""
    app = _app()
    app.add_route('/metrics', _Metrics(meters))
    return app


class _Readiness:
    """``/readyz``: 200 while new callers may come."""

    def __init__(self, node: EntryNode) -> None:
        self.node = node

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answer for the balancer."""
        resp.status = _OK if is_ready(self.node) else _UNAVAILABLE


def readiness_app(node: EntryNode) -> falcon.asgi.App:
    """Return the application that the balancer asks."""
    app = _app()
    app.add_route('/readyz', _Readiness(node))
    return app


class _Instances:
    """``/instances/{name}``: the workers' heartbeats."""

    def __init__(self, node: SchedulerNode) -> None:
        self.node = node

    async def on_put(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str
    ) -> None:
        """Take a heartbeat; acknowledge what it says once it is durable."""
        raw = await _read(req, _MOST_CONTROL)
        report = _codec.decode_report(raw, name)
        if _is_news(self.node, report):
            await _pass_on(self.node, resp, report)
        else:
            resp.media = {}

    async def on_delete(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str
    ) -> None:
        """Note that a worker ends now."""
        await _pass_on(self.node, resp, TargetReport(0, name, None, left=True))


def _is_news(node: SchedulerNode, report: TargetReport) -> bool:
    """Tell whether the log does not say the same already."""
    target = node.state.cell.targets.get(instance_key(report.instance))
    return target is None or target.open == report.draining


async def _pass_on(
    node: SchedulerNode,
    resp: falcon.asgi.Response,
    report: TargetReport,
) -> None:
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
        _CONTROL_PATIENCE,
    )
    if answer.code == ResultCode.ACCEPTED:
        resp.media = {}
    else:
        _put(resp, answer.code)


class _Configurations:
    """``/config``: the operator's configurations."""

    def __init__(self, node: SchedulerNode) -> None:
        self.node = node

    async def on_put(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Store a configuration; acknowledge it once it is durable."""
        cfg = _codec.decode_config(await _read(req, _MOST_CONTROL))
        answer = await call_leader(
            self.node.peers,
            lambda seq: ConfigRequest(seq, cfg),
            _CONTROL_PATIENCE,
        )
        if answer.code == ResultCode.ANSWERED:
            resp.media = {}
        else:
            _put(resp, answer.code)
            resp.status = _UNAVAILABLE

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return the newest configuration as it was sent."""
        answer = await call_leader(
            self.node.peers, ConfigRequest, _CONTROL_PATIENCE
        )
        if answer.code == ResultCode.ANSWERED:
            resp.content_type = falcon.MEDIA_JSON
            resp.data = answer.document
        else:
            _put(resp, answer.code)
            resp.status = _UNAVAILABLE


def control_app(node: SchedulerNode) -> falcon.asgi.App:
    """Return the application for workers and operators."""
    app = _app()
    app.add_route('/instances/{name}', _Instances(node))
    app.add_route('/config', _Configurations(node))
    return app
