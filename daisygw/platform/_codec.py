"""The platform's message formats, decoded once into the project's types.

Here the platform's words end: nothing outside this package knows them.
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
    ListedEnd,
    RenewalReply,
    TargetInstance,
    TargetReport,
)
from daisygw.platform._wire import (
    WireAdvice,
    WireConfig,
    WireHolding,
    WireJob,
    WireReply,
    WireReport,
    WireRoute,
    WireStep,
)

# Milliseconds in a second.
_MS = 1000
_MOST_PAYLOAD = 4000
_ID_DIGITS = frozenset('0123456789abcdef')
_ID_LENGTH = 16
_KEY_PARTS = 4
_STATES = frozenset({'ready', 'draining'})


_BAD = (msgspec.MsgspecError, ValueError, TypeError, IndexError)
_job = msgspec.json.Decoder(WireJob).decode
_config = msgspec.json.Decoder(WireConfig).decode
_report = msgspec.json.Decoder(WireReport).decode
_holding = msgspec.json.Decoder(WireHolding).decode
decode_reply = msgspec.json.Decoder(WireReply).decode
decode_advice = msgspec.json.Decoder(WireAdvice).decode
encode = msgspec.json.Encoder().encode


def _bad(reason: str, code: ResultCode = ResultCode.MALFORMED) -> ContractError:
    return ContractError(code, reason)


def is_job_id(name: str) -> bool:
    """Tell whether a name is an id of a job."""
    return len(name) == _ID_LENGTH and set(name) <= _ID_DIGITS


def decode_job(raw: bytes, name: str) -> JobSpec:
    """Decode a job called ``name``; raises ContractError."""
    if not is_job_id(name):
        raise _bad(f'{name!r}: not 16 hexadecimal digits', ResultCode.BAD_ID)
    try:
        wire = _job(raw)
    except _BAD as exc:
        raise _bad(str(exc)) from exc
    if not wire.steps or len(wire.spec.encode('utf-8')) > _MOST_PAYLOAD:
        raise _bad('no steps, or a spec that is too long')
    steps = tuple(_step(number, step) for number, step in enumerate(wire.steps))
    return JobSpec(
        name,
        wire.spec,
        steps,
        wire.repeat_count,
        wire.start_at_ms / _MS,
        wire.interval_ms / _MS,
    )


def _step(number: int, wire: WireStep) -> Step:
    amounts = (wire.cpu, wire.mem_mb, wire.gpu, wire.max_per_server)
    if wire.count < 1 or min(amounts) < 0 or wire.estimate_ms < 0:
        raise _bad(f'steps[{number}]: a bad amount', ResultCode.BAD_SIZE)
    if any(not 0 <= other < number for other in wire.depends_on):
        raise _bad(f'steps[{number}]: depends on no earlier step')
    return Step(
        count=wire.count,
        size=Size(wire.cpu, wire.mem_mb, wire.gpu, 0),
        estimate=wire.estimate_ms / _MS,
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
    """Decode and check a configuration; raises ContractError."""
    try:
        wire = _config(raw)
    except _BAD as exc:
        raise _bad(str(exc), ResultCode.CONFIG_INVALID) from exc
    services = {service.name for service in wire.services}
    places = {(route.host, route.path_prefix) for route in wire.routes}
    if len(places) < len(wire.routes):
        reason = 'routes: two with the same host and prefix'
        raise _bad(reason, ResultCode.CONFIG_INVALID)
    for route in wire.routes:
        if route.service not in services or route.timeout_ms <= 0:
            reason = f'{route.name}: an unknown service or no timeout'
            raise _bad(reason, ResultCode.CONFIG_INVALID)
    return CellConfig(
        wire.version,
        tuple(map(_queue, wire.routes)),
        tuple(sorted(services)),
        wire.limits.max_body_bytes,
        raw,
    )


def _queue(route: WireRoute) -> Queue:
    wire = route.placement_advisor
    advisor = None
    if wire:
        advisor = Advisor(
            wire.decision_ms / _MS,
            wire.per_worker_ms / _MS,
            wire.validity_ms / _MS,
        )
    return Queue(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.timeout_ms / _MS,
        route.target_latency_ms / _MS,
        route.priority,
        route.max_attempts,
        route.slack_factor,
        advisor,
    )


def decode_report(raw: bytes, name: str) -> TargetReport:
    """Decode a worker's heartbeat; raises ContractError."""
    try:
        wire = _report(raw)
    except _BAD as exc:
        raise _bad(str(exc)) from exc
    size = Size(wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu, 0)
    if wire.state not in _STATES or min(size.cpus, size.memory) < 0:
        raise _bad(f'state {wire.state!r} or a bad capacity')
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
    """Return a step's name on the wire."""
    return f'{key.job}.{key.occurrence}.{key.step}'


def encode_task(run: Run) -> str:
    """Return a task's name on the wire."""
    return f'{encode_step(run.step)}.{run.index}'


def _decode_task(name: str) -> tuple[StepKey, int]:
    parts = name.split('.')
    if len(parts) != _KEY_PARTS:
        raise ValueError(f'{name!r}: not the name of a task')
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


def encode_hold(fence: int, renewal: LeaseRenewal) -> bytes:
    """Encode a renewal; ends that are noted are forgotten by the worker."""
    body = {
        'fencingToken': fence,
        'ackCursor': renewal.noted,
        'waitMs': int(renewal.wait * _MS),
    }
    if renewal.deadline is not None:
        body['deadlineMs'] = renewal.deadline
    return encode(body)


def decode_holding(raw: bytes) -> RenewalReply:
    """Decode a worker's lists; raises LinkError where they can't be read."""
    try:
        wire = _holding(raw)
        active = tuple(_active(row) for row in wire.active)
        ended = tuple(_ended(row) for row in wire.finished)
    except _BAD as exc:
        raise LinkError(ResultCode.MALFORMED, f'lists: {exc}') from exc
    return RenewalReply(wire.born, wire.clock_ms, active, ended)


def _active(row: tuple[Any, ...]) -> ActiveRun:
    # A fifth figure (usage, or the tail of a serving task) may follow.
    name, number, checkpoint, percent, *_ = row
    step, index = _decode_task(name)
    return ActiveRun(step, index, int(number), str(checkpoint), int(percent))


def _ended(row: tuple[Any, ...]) -> ListedEnd:
    position, name, number, how, checkpoint, *_ = row
    step, index = _decode_task(name)
    return ListedEnd(position, step, index, number, RunEnd(how), checkpoint)
