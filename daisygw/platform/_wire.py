"""The platform's JSON messages.

They are frozen ``msgspec`` structs instead of data classes, because a data
class cannot map its fields to other names in JSON.  Processors are counted in
thousandths of a core, memory in MiB and times in milliseconds.  Ranges are
checked here where a leader reads many rows a second, and otherwise on the
project's types.
"""

from typing import Annotated, TypeAlias

import msgspec

from daisygw.contracts import MAX_INTEGER

# Clock readings, and leases added to them, are exact in JSON.
_MAX_CLOCK_MS = 9_007_199_254_740_992
# A job id of 16 characters and three numbers.
_MAX_TASK_NAME_CHARS = 80
# Length of a checkpoint's name or a ticket, which each start repeats.
_MAX_TOKEN_CHARS = 65_536
_Natural: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
_Clock: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=_MAX_CLOCK_MS)]
_TaskName: TypeAlias = Annotated[
    str, msgspec.Meta(max_length=_MAX_TASK_NAME_CHARS)
]
_Token: TypeAlias = Annotated[str, msgspec.Meta(max_length=_MAX_TOKEN_CHARS)]


class Wire(msgspec.Struct, frozen=True, rename='camel'):
    """Base class that maps field names to camel case in JSON."""


class WireStep(Wire):
    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    depends_on: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    # Maximum number of tasks on one worker; "server" means a worker here.
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    checkpointing: bool = False
    # Whether the step's tasks reserve no processors, only memory and
    # accelerators; the name suggests a number of tasks.
    fill_count: bool = False


class WireJob(Wire):
    # Payload passed unchanged to the tasks, not a specification of the job.
    spec: str
    steps: tuple[WireStep, ...]
    repeat_count: int = 0
    start_at_ms: float = 0
    interval_ms: float = 0


class WireAdvisor(Wire):
    decision_ms: float
    per_worker_ms: float
    validity_ms: float


class WireRoute(Wire):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1
    placement_advisor: WireAdvisor | None = None
    public: bool = False


class WireService(Wire):
    name: str
    max_conns: int = 0


class WireLimits(Wire):
    max_body_bytes: int = 262_144
    max_header_bytes: int = 0
    header_timeout_ms: float = 0
    idle_timeout_ms: float = 0


class WireMaxCount(Wire):
    """Largest amounts that a tenant may have running; 0 means no limit."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class WireTenant(Wire):
    name: str
    api_keys: tuple[str, ...]
    weight: float = 1
    priority: int = 0
    max_count: WireMaxCount = WireMaxCount()


class WireConfig(Wire):
    version: int
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...]
    limits: WireLimits = WireLimits()
    tenants: tuple[WireTenant, ...] | None = None


class WireRouteKey(Wire):
    """What tells a route from others; read where the rest may be invalid."""

    host: str
    path_prefix: str


class WireRouteService(Wire):
    """The service of a route; read where the rest may be invalid."""

    service: str


class WireTenantKey(Wire):
    """What tells a tenant from others; read where the rest may be invalid."""

    name: str
    api_keys: tuple[str, ...] = ()


class WireFinding(Wire):
    """A fault that the check of a configuration found.

    ``place`` is a path in the document, ``name`` that of the entry there.
    """

    severity: str
    place: str
    name: str
    reason: str
    hint: str
    code: int | None
    code_name: str


class WireChange(Wire):
    """A difference from the configuration in force.

    For the keys of a tenant, ``before`` and ``after`` are counts; ``added``
    and ``removed`` have the first digits of the keys' SHA-256 digests.
    """

    kind: str
    place: str
    name: str
    before: str | float | None
    after: str | float | None
    added: tuple[str, ...]
    removed: tuple[str, ...]


class WireCheck(Wire):
    """The result of checking a configuration; a version is None if unknown."""

    version: int | None
    in_force: int | None
    errors: int
    warnings: int
    findings: tuple[WireFinding, ...]
    changes: tuple[WireChange, ...]


class WireCapacity(Wire):
    cpu: int
    mem_mb: int
    gpu: int = 0


class WireReport(Wire):
    service: str
    address: str
    zone: str
    state: str
    # Start time of the worker; distinguishes its instances.
    born: int
    capacity: WireCapacity
    labels: tuple[str, ...] = ()
    sequence: int = 0


class WireActiveRun(Wire, array_like=True):
    """A row of runs; more values may follow, as the usage of a task."""

    task: _TaskName
    run: _Natural
    # Name of the newest checkpoint.
    saved: _Token
    percent: float


class WireListedEnd(Wire, array_like=True):
    """A row of ended runs; more values may follow."""

    position: _Natural
    task: _TaskName
    run: _Natural
    how: str
    saved: _Token


class WireRenewalReply(Wire):
    clock_ms: _Clock
    born: _Natural
    active: tuple[WireActiveRun, ...] = ()
    finished: tuple[WireListedEnd, ...] = ()


class WireReply(Wire):
    """A worker's reply to a start or stop order."""

    clock_ms: int = 0
    reason: str = ''


class WireAdvice(Wire):
    """The advisor's reply: rows of worker id and approval ticket."""

    approved: tuple[tuple[str, _Token], ...] = ()
