"""Conversion between the platform's JSON messages and the project's types.

The platform's field names do not occur outside this package.
"""

import hashlib
from collections.abc import Generator
from contextlib import contextmanager

import msgspec

from daisygw.cell import LeaseRenewal, Run, StartOrder
from daisygw.contracts import (
    MAX_KEYS,
    Advisor,
    CellConfig,
    ContractError,
    Customer,
    JobSpec,
    LinkError,
    Queue,
    ResultCode,
    RunEnd,
    Size,
    Step,
    StepKey,
    check_cell_config,
    check_job,
    check_range,
)
from daisygw.machines import (
    ActiveRun,
    EndedRun,
    RenewalReply,
    TargetInstance,
    TargetReport,
    check_report,
)
from daisygw.platform._wire import (
    WireActiveRun,
    WireAdvice,
    WireConfig,
    WireJob,
    WireListedEnd,
    WireRenewalReply,
    WireReply,
    WireReport,
    WireRoute,
    WireStep,
    WireTenant,
)

MS_PER_S = 1000
_MAX_PAYLOAD_BYTES = 4000
_ID_DIGITS = frozenset('0123456789abcdef')
_ID_LENGTH = 16
_TASK_NAME_PARTS = 4
# Scheme of the header with a caller's key, in lower case.
_KEY_SCHEME = 'token'
# Digits of a number in a task's name: fewer than those of 64 bits.
_MAX_TASK_NUMBER_DIGITS = 18
_WORKER_STATES = frozenset({'ready', 'draining'})
# How a worker says that a run ended; the others are the project's own.
_LISTED_ENDS = frozenset({
    RunEnd.DONE,
    RunEnd.FAILED,
    RunEnd.STOPPED,
    RunEnd.LAPSED,
    RunEnd.BROKEN,
    RunEnd.ALONE,
})

# Ended runs that a worker lists in one reply, the oldest first.
_ENDS_PAGE = 500

# msgspec raises RecursionError for input that is nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, TypeError, RecursionError)
_decode_wire_job = msgspec.json.Decoder(WireJob).decode
_decode_wire_config = msgspec.json.Decoder(WireConfig).decode
_decode_wire_report = msgspec.json.Decoder(WireReport).decode
_decode_wire_renewal = msgspec.json.Decoder(WireRenewalReply).decode
_decode_wire_reply = msgspec.json.Decoder(WireReply).decode
_decode_wire_advice = msgspec.json.Decoder(WireAdvice).decode
encode = msgspec.json.Encoder().encode


def _contract_error(
    reason: str, code: ResultCode = ResultCode.MALFORMED
) -> ContractError:
    return ContractError(code, reason)


@contextmanager
def _reading_request(
    code: ResultCode = ResultCode.MALFORMED,
) -> Generator[None, None, None]:
    """Turn the errors of a decoder into ``ContractError`` with ``code``."""
    try:
        yield
    except DECODE_ERRORS as exc:
        raise ContractError(code, str(exc)) from exc


@contextmanager
def _reading_reply(sender: str) -> Generator[None, None, None]:
    """Turn the errors of a decoder into ``LinkError`` (MALFORMED)."""
    try:
        yield
    except DECODE_ERRORS as exc:
        reason = f'invalid reply of the {sender}: {exc}'
        raise LinkError(ResultCode.MALFORMED, reason) from exc


def is_job_id(name: str) -> bool:
    """Return whether a name is a valid job id: 16 hexadecimal digits."""
    return len(name) == _ID_LENGTH and set(name) <= _ID_DIGITS


def decode_job(raw: bytes, name: str) -> JobSpec:
    """Decode the job with the id ``name``; raises ``ContractError``."""
    if not is_job_id(name):
        raise _contract_error(
            f'{name!r}: not 16 hexadecimal digits', ResultCode.BAD_ID
        )
    with _reading_request():
        wire = _decode_wire_job(raw)
    if len(wire.spec.encode('utf-8')) > _MAX_PAYLOAD_BYTES:
        raise _contract_error(f'spec: more than {_MAX_PAYLOAD_BYTES} bytes')
    job = JobSpec(
        name,
        wire.spec,
        tuple(map(_to_step, wire.steps)),
        wire.repeat_count,
        wire.start_at_ms / MS_PER_S,
        wire.interval_ms / MS_PER_S,
    )
    check_job(job)
    return job


def _to_step(wire: WireStep) -> Step:
    return Step(
        count=wire.count,
        size=Size(wire.cpu, wire.mem_mb, wire.gpu, 0),
        estimate=wire.estimate_ms / MS_PER_S,
        after=wire.depends_on,
        gang=wire.gang,
        same_rack=wire.same_rack,
        label=wire.required_label,
        data_rack=wire.data_rack,
        spread=wire.max_per_server,
        speculative=wire.speculative,
        lasting=wire.long_running,
        checkpoints=wire.checkpointing,
        fills=wire.fill_count,
    )


def decode_config(raw: bytes) -> CellConfig:
    """Decode and validate a configuration; raises ``ContractError``."""
    with _reading_request(ResultCode.CONFIG_INVALID):
        wire = _decode_wire_config(raw)
    services = {service.name for service in wire.services}
    route_keys = {(route.host, route.path_prefix) for route in wire.routes}
    if len(route_keys) < len(wire.routes):
        reason = 'routes: duplicate host and path prefix'
        raise _contract_error(reason, ResultCode.CONFIG_INVALID)
    for route in wire.routes:
        if route.service not in services or route.timeout_ms <= 0:
            reason = f'{route.name}: unknown service or timeout not positive'
            raise _contract_error(reason, ResultCode.CONFIG_INVALID)
    customers = None
    if wire.tenants is not None:
        with _reading_request(ResultCode.CONFIG_INVALID):
            customers = _to_customers(wire.tenants)
    cfg = CellConfig(
        wire.version,
        tuple(map(_to_queue, wire.routes)),
        tuple(sorted(services)),
        wire.limits.max_body_bytes,
        raw,
        customers,
        wire.limits.max_header_bytes,
        wire.limits.header_timeout_ms / MS_PER_S,
        wire.limits.idle_timeout_ms / MS_PER_S,
        tuple(
            (service.name, service.max_conns)
            for service in wire.services
            if service.max_conns > 0
        ),
    )
    check_cell_config(cfg)
    return cfg


def service_positions(raw: bytes) -> dict[str, int]:
    """Return the positions of services in a valid document, by name."""
    services = _decode_wire_config(raw).services
    return {service.name: at for at, service in enumerate(services)}


def _to_queue(route: WireRoute) -> Queue:
    wire = route.placement_advisor
    advisor = None
    if wire:
        advisor = Advisor(
            wire.decision_ms / MS_PER_S,
            wire.per_worker_ms / MS_PER_S,
            wire.validity_ms / MS_PER_S,
        )
    return Queue(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.timeout_ms / MS_PER_S,
        route.target_latency_ms / MS_PER_S,
        route.priority,
        route.max_attempts,
        route.slack_factor,
        advisor,
        route.public,
    )


def _to_customers(tenants: tuple[WireTenant, ...]) -> tuple[Customer, ...]:
    key_count = sum(len(tenant.api_keys) for tenant in tenants)
    check_range(
        'apiKeys of all tenants',
        key_count,
        0,
        MAX_KEYS,
        ResultCode.CONFIG_INVALID,
    )
    for tenant in tenants:
        if '' in tenant.api_keys:
            reason = f'{tenant.name}: empty key'
            raise _contract_error(reason, ResultCode.CONFIG_INVALID)
    return tuple(map(_to_customer, tenants))


def _to_customer(tenant: WireTenant) -> Customer:
    limit = tenant.max_count
    return Customer(
        tenant.name,
        tuple(_digest(key.encode('utf-8')) for key in tenant.api_keys),
        tenant.weight,
        Size(limit.cpu, limit.mem_mb, limit.gpu, 0),
        tenant.priority,
    )


def _digest(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()


def decode_key(header: str) -> bytes:
    """Return the digest of the key in an ``Authorization`` header.

    ``header`` is decoded as Latin-1, as HTTP servers do; the result is empty
    where it has no key, or has another scheme than ``Token``.
    """
    scheme, _, key = header.partition(' ')
    key = key.strip(' \t')
    if not key or scheme.lower() != _KEY_SCHEME:
        return b''
    return _digest(key.encode('latin-1'))


def decode_report(raw: bytes, name: str) -> TargetReport:
    """Decode a worker's heartbeat; raises ``ContractError``."""
    with _reading_request():
        wire = _decode_wire_report(raw)
    size = Size(wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu, 0)
    if wire.state not in _WORKER_STATES:
        raise _contract_error('state: neither ready nor draining')
    instance = TargetInstance(
        name,
        wire.born,
        wire.service,
        wire.address,
        wire.zone,
        size,
        wire.labels[0] if wire.labels else '',
        wire.labels[-1] if wire.labels else '',
    )
    report = TargetReport(
        0, name, instance, wire.sequence, wire.state == 'draining'
    )
    check_report(report)
    return report


def decode_shutdown(name: str) -> TargetReport:
    """Return the report of a worker that ends; raises ``ContractError``."""
    report = TargetReport(0, name, None, left=True)
    check_report(report)
    return report


def encode_step(key: StepKey) -> str:
    """Return the name of a step in messages."""
    return f'{key.job}.{key.occurrence}.{key.step}'


def encode_task(run: Run) -> str:
    """Return the name of a task in messages."""
    return f'{encode_step(run.step)}.{run.index}'


def _decode_task(name: str) -> tuple[StepKey, int]:
    parts = name.split('.')
    if len(parts) != _TASK_NAME_PARTS:
        raise ValueError('not a task name')
    occurrence, step, index = map(_decode_task_number, parts[1:])
    return StepKey(parts[0], occurrence, step), index


def _decode_task_number(digits: str) -> int:
    is_number = digits.isascii() and digits.isdecimal()
    if not is_number or len(digits) > _MAX_TASK_NUMBER_DIGITS:
        raise ValueError('not a number in a task name')
    return int(digits)


def encode_start(order: StartOrder, deadline: int, fence: int) -> bytes:
    """Encode a start order; ``deadline`` is on the worker's clock (ms)."""
    body = {
        'task': encode_task(order.run),
        'runNumber': order.run.number,
        'spec': order.payload,
        'deadlineMs': deadline,
        'fencingToken': fence,
    }
    if order.checkpoint:
        body['checkpoint'] = order.checkpoint
    if order.ticket:
        body['ticket'] = order.ticket
    return encode(body)


def encode_stop(run: Run, fence: int) -> bytes:
    """Encode a stop order."""
    return encode({
        'task': encode_task(run),
        'runNumber': run.number,
        'fencingToken': fence,
    })


def encode_renewal(fence: int, renewal: LeaseRenewal) -> bytes:
    """Encode a lease renewal; the worker drops the ends it acknowledges."""
    body = {
        'fencingToken': fence,
        'ackCursor': renewal.noted,
        'waitMs': int(renewal.wait * MS_PER_S),
    }
    if renewal.deadline is not None:
        body['deadlineMs'] = renewal.deadline
    return encode(body)


def decode_renewal_reply(raw: bytes) -> RenewalReply:
    """Decode a reply to a lease renewal; raises ``LinkError`` (MALFORMED)."""
    with _reading_reply('worker'):
        wire = _decode_wire_renewal(raw)
        active = tuple(map(_to_active_run, wire.active))
        ended = tuple(map(_to_listed_end, wire.finished))
    more_ended = len(ended) >= _ENDS_PAGE
    return RenewalReply(wire.born, wire.clock_ms, active, ended, more_ended)


def _to_active_run(row: WireActiveRun) -> ActiveRun:
    step, index = _decode_task(row.task)
    return ActiveRun(step, index, row.run, row.saved, int(row.percent))


def _to_listed_end(row: WireListedEnd) -> EndedRun:
    if row.how not in _LISTED_ENDS:
        raise ValueError('unknown end of a run')
    step, index = _decode_task(row.task)
    return EndedRun(row.position, step, index, row.run, row.how, row.saved)


def decode_reason(raw: bytes) -> str:
    """Decode why a worker refused an order; raises ``LinkError``."""
    with _reading_reply('worker'):
        return _decode_wire_reply(raw).reason


def decode_approvals(raw: bytes) -> tuple[tuple[str, str], ...]:
    """Decode the advisor's approvals; raises ``LinkError`` (MALFORMED)."""
    with _reading_reply('advisor'):
        return _decode_wire_advice(raw).approved
