"""The platform's messages as they are on the wire.

They are frozen ``msgspec`` structs, because only those can carry other
names on the wire than in the code.  Sizes are in thousandths of a core and
MiB, times in milliseconds.
"""

from typing import Any

import msgspec


class Wire(msgspec.Struct, frozen=True, rename='camel'):
    """Base of all wire types: names in camel case."""


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
    # The most tasks on one worker, whatever "server" suggests.
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    checkpointing: bool = False
    # The step's processors are not counted; the name speaks of its tasks.
    fill_count: bool = False


class WireJob(Wire):
    # What the tasks get, as it is; not a specification of the job.
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


class WireService(Wire):
    name: str


class WireLimits(Wire):
    max_body_bytes: int = 262_144


class WireConfig(Wire):
    version: int
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...]
    limits: WireLimits = WireLimits()


class WireCapacity(Wire):
    cpu: int
    mem_mb: int
    gpu: int = 0


class WireReport(Wire):
    service: str
    address: str
    zone: str
    state: str
    # The time of its start; tells one life of a worker from the next.
    born: int
    capacity: WireCapacity
    labels: tuple[str, ...] = ()
    sequence: int = 0


class WireRenewalReply(Wire):
    clock_ms: int
    born: int
    active: tuple[tuple[Any, ...], ...] = ()
    finished: tuple[tuple[Any, ...], ...] = ()


class WireReply(Wire):
    """A worker's answer to an order."""

    clock_ms: int = 0
    reason: str = ''


class WireAdvice(Wire):
    """The advisor's answer: rows of a worker's id and its ticket."""

    approved: tuple[tuple[str, str], ...] = ()
