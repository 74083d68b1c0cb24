"""Conversion between the platform's JSON messages and the project's types.

The platform's field names do not occur outside this package.
"""

from typing import Any

import msgspec

from daisygw.cell import LeaseRenewal, Run, StartOrder
from daisygw.contracts import (
    Advisor,
    CellConfig,
    ContractError,
    JobSpec,
    LinkError,
    Queue,
    ResultCode,
    RunEnd,
    Size,
    Step,
    StepKey,
)
from daisygw.machines import (
    ActiveRun,
    EndedRun,
    RenewalReply,
    TargetInstance,
    TargetReport,
)
from daisygw.platform._wire import (
    WireAdvice,
    WireConfig,
    WireJob,
    WireRenewalReply,
    WireReply,
    WireReport,
    WireRoute,
    WireStep,
)

_MS_PER_S = 1000
_MAX_PAYLOAD_BYTES = 4000
_ID_DIGITS = frozenset('0123456789abcdef')
_ID_LENGTH = 16
_TASK_NAME_PARTS = 4
_WORKER_STATES = frozenset({'ready', 'draining'})


_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, TypeError, IndexError)
_decode_wire_job = msgspec.json.Decoder(WireJob).decode
_decode_wire_config = msgspec.json.Decoder(WireConfig).decode
_decode_wire_report = msgspec.json.Decoder(WireReport).decode
_decode_wire_renewal = msgspec.json.Decoder(WireRenewalReply).decode
decode_reply = msgspec.json.Decoder(WireReply).decode
decode_advice = msgspec.json.Decoder(WireAdvice).decode
encode = msgspec.json.Encoder().encode


def _contract_error(
    reason: str, code: ResultCode = ResultCode.MALFORMED
) -> ContractError:
    return ContractError(code, reason)


def is_job_id(name: str) -> bool:
    """Return whether a name is a valid job id: 16 hexadecimal digits."""
    return len(name) == _ID_LENGTH and set(name) <= _ID_DIGITS


def decode_job(raw: bytes, name: str) -> JobSpec:
    """Decode the job with the id ``name``; raises ``ContractError``."""
    if not is_job_id(name):
        raise _contract_error(
            f'{name!r}: not 16 hexadecimal digits', ResultCode.BAD_ID
        )
    try:
        wire = _decode_wire_job(raw)
    except _DECODE_ERRORS as exc:
        raise _contract_error(str(exc)) from exc
    if not wire.steps or len(wire.spec.encode('utf-8')) > _MAX_PAYLOAD_BYTES:
        raise _contract_error('no steps, or spec is too long')
    steps = tuple(
        _to_step(number, step) for number, step in enumerate(wire.steps)
    )
    return JobSpec(
        name,
        wire.spec,
        steps,
        wire.repeat_count,
        wire.start_at_ms / _MS_PER_S,
        wire.interval_ms / _MS_PER_S,
    )


def _to_step(number: int, wire: WireStep) -> Step:
    amounts = (wire.cpu, wire.mem_mb, wire.gpu, wire.max_per_server)
    if wire.count < 1 or min(amounts) < 0 or wire.estimate_ms < 0:
        raise _contract_error(
            f'steps[{number}]: amount out of range', ResultCode.BAD_SIZE
        )
    if any(not 0 <= other < number for other in wire.depends_on):
        raise _contract_error(
            f'steps[{number}]: depends on a step that is not earlier'
        )
    return Step(
        count=wire.count,
        size=Size(wire.cpu, wire.mem_mb, wire.gpu, 0),
        estimate=wire.estimate_ms / _MS_PER_S,
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
    try:
        wire = _decode_wire_config(raw)
    except _DECODE_ERRORS as exc:
        raise _contract_error(str(exc), ResultCode.CONFIG_INVALID) from exc
    services = {service.name for service in wire.services}
    route_keys = {(route.host, route.path_prefix) for route in wire.routes}
    if len(route_keys) < len(wire.routes):
        reason = 'routes: duplicate host and path prefix'
        raise _contract_error(reason, ResultCode.CONFIG_INVALID)
    for route in wire.routes:
        if route.service not in services or route.timeout_ms <= 0:
            reason = f'{route.name}: unknown service or timeout not positive'
            raise _contract_error(reason, ResultCode.CONFIG_INVALID)
    return CellConfig(
        wire.version,
        tuple(map(_to_queue, wire.routes)),
        tuple(sorted(services)),
        wire.limits.max_body_bytes,
        raw,
    )


def _to_queue(route: WireRoute) -> Queue:
    wire = route.placement_advisor
    advisor = None
    if wire:
        advisor = Advisor(
            wire.decision_ms / _MS_PER_S,
            wire.per_worker_ms / _MS_PER_S,
            wire.validity_ms / _MS_PER_S,
        )
    return Queue(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.timeout_ms / _MS_PER_S,
        route.target_latency_ms / _MS_PER_S,
        route.priority,
        route.max_attempts,
        route.slack_factor,
        advisor,
    )


def decode_report(raw: bytes, name: str) -> TargetReport:
    """Decode a worker's heartbeat; raises ``ContractError``."""
    try:
        wire = _decode_wire_report(raw)
    except _DECODE_ERRORS as exc:
        raise _contract_error(str(exc)) from exc
    size = Size(wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu, 0)
    if wire.state not in _WORKER_STATES or min(size.cpus, size.memory) < 0:
        raise _contract_error(f'invalid state {wire.state!r} or capacity')
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
    return TargetReport(
        0, name, instance, wire.sequence, wire.state == 'draining'
    )


def encode_step(key: StepKey) -> str:
    """Return the name of a step in messages."""
    return f'{key.job}.{key.occurrence}.{key.step}'


def encode_task(run: Run) -> str:
    """Return the name of a task in messages."""
    return f'{encode_step(run.step)}.{run.index}'


def _decode_task(name: str) -> tuple[StepKey, int]:
    parts = name.split('.')
    if len(parts) != _TASK_NAME_PARTS:
        raise ValueError(f'{name!r}: not a task name')
    occurrence, step, index = map(int, parts[1:])
    return StepKey(parts[0], occurrence, step), index


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
        'waitMs': int(renewal.wait * _MS_PER_S),
    }
    if renewal.deadline is not None:
        body['deadlineMs'] = renewal.deadline
    return encode(body)


def decode_renewal_reply(raw: bytes) -> RenewalReply:
    """Decode a reply to a lease renewal; raises ``LinkError`` (MALFORMED)."""
    try:
        wire = _decode_wire_renewal(raw)
        active = tuple(_to_active_run(row) for row in wire.active)
        ended = tuple(_to_listed_end(row) for row in wire.finished)
    except _DECODE_ERRORS as exc:
        raise LinkError(
            ResultCode.MALFORMED, f'invalid renewal reply: {exc}'
        ) from exc
    return RenewalReply(wire.born, wire.clock_ms, active, ended)


def _to_active_run(row: tuple[Any, ...]) -> ActiveRun:
    # A fifth value may follow: usage, or the tail latency of a serving task.
    name, number, checkpoint, percent, *_ = row
    step, index = _decode_task(name)
    return ActiveRun(step, index, int(number), str(checkpoint), int(percent))


def _to_listed_end(row: tuple[Any, ...]) -> EndedRun:
    position, name, number, how, checkpoint, *_ = row
    step, index = _decode_task(name)
    return EndedRun(position, step, index, number, RunEnd(how), checkpoint)
