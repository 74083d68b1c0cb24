"""The configuration in force: teams, policy and limits, under a version."""

from collections import deque
from dataclasses import dataclass, field

from daisygw.contracts._size import Size

# The name of the group whose log holds the configuration.
CONFIGURATION_GROUP = 'configuration'
# Changes whose ids are kept against repeats: 6 days of 1,600 (CAPACITY.md).
_CHANGES_KNOWN = 10_000
# Changes that operators are shown: more than an hour of a busy day's 1,600.
_CHANGES_SHOWN = 100


@dataclass(frozen=True, slots=True)
class Team:
    """A team, its weight in fair shares and its quota of the whole cell."""

    name: str
    weight: float = 1
    quota: Size = Size(
        cpus=10**9,
        memory=10**9,
        accelerators=10**6,
        slots=10**6,
    )


@dataclass(frozen=True, slots=True)
class WaitLimits:
    """Longest estimated wait that admission takes, seconds by priority."""

    urgent: float = 5.4
    normal: float = 600
    patient: float = 3600


@dataclass(frozen=True, slots=True)
class Policy:
    """Names of the decision functions in use, and their parameters.

    Times are in seconds, shares are from 0 to 1.
    """

    ordering: str = 'lanes'
    scoring: str = 'finish'
    admission: str = 'wait'
    max_wait: WaitLimits = WaitLimits()
    short_run: float = 1
    short_share: float = 0.25
    headroom: float = 0.12
    gang_patience: float = 1
    retries: int = 3
    retry_share: float = 0.2
    aside_failures: int = 3
    probe_every: float = 10
    lease: float = 6
    lease_margin: float = 1
    order_age: float = 3
    announce_every: float = 1
    keep_outcomes: float = 600
    park: float = 30


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a caller may send."""

    body_bytes: int = 4_194_304
    spec_bytes: int = 4096
    id_length: int = 128
    count: int = 10_000
    cpus: int = 1_024_000
    memory: int = 16_777_216
    accelerators: int = 64
    deadline: float = 604_800


@dataclass(frozen=True, slots=True)
class Configuration:
    """All that operators may change while the system runs."""

    version: int = 0
    teams: dict[str, Team] = field(default_factory=dict)
    policy: Policy = Policy()
    limits: Limits = Limits()


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """One accepted change: the whole of the settings text it came from.

    ``overlays`` holds (site, text); ``at`` is in milliseconds since the
    epoch.
    """

    version: int
    change: str
    operator: str
    at: int
    base: str
    overlays: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigAtBoot:
    """From a scheduler: no change was ever accepted, the files are in force."""

    host: str


@dataclass(frozen=True, slots=True)
class ChangeSummary:
    """What operators are shown of an accepted change; ``at`` as in it."""

    version: int
    change: str
    operator: str
    at: int


class ConfigHistory:
    """The accepted configuration and which changes led to it."""

    def __init__(self) -> None:
        """Begin before any change: version 0 is that of the files."""
        self.current: ConfigChanged | None = None
        self.versions: dict[str, int] = {}
        self.noted: deque[ChangeSummary] = deque(maxlen=_CHANGES_SHOWN)

    @property
    def version(self) -> int:
        """The newest accepted version, 0 before any change."""
        return self.current.version if self.current else 0


def apply_change(history: ConfigHistory, change: ConfigChanged) -> None:
    """Take the next committed change; an older one never comes back."""
    if change.version != history.version + 1:
        return
    history.current = change
    history.versions[change.change] = change.version
    noted = ChangeSummary(
        change.version, change.change, change.operator, change.at
    )
    history.noted.append(noted)
    while len(history.versions) > _CHANGES_KNOWN:
        history.versions.pop(next(iter(history.versions)))
