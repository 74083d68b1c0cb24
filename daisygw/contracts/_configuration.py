"""The versioned configuration: teams, policy and limits."""

from collections import deque
from dataclasses import dataclass, field

from daisygw.contracts._size import Size

# Name of the replica group whose log holds the configuration.
CONFIGURATION_GROUP = 'configuration'
# Ids of accepted changes that are kept to recognize repeated requests: 6 days
# at 1,600 changes a day (CAPACITY.md).
_MAX_REMEMBERED_CHANGE_IDS = 10_000
# Accepted changes that operators can list: more than an hour of a busy day,
# which has 1,600.
_MAX_LISTED_CHANGES = 100


@dataclass(frozen=True, slots=True)
class Team:
    """A team with its fair-share weight and its quota of the whole cell."""

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
    """Longest estimated wait that admission accepts, seconds by priority."""

    urgent: float = 5.4
    normal: float = 600
    patient: float = 3600


@dataclass(frozen=True, slots=True)
class Policy:
    """Names of the selected decision functions, and their parameters.

    Times are in seconds, shares are fractions from 0 to 1.
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
    """Upper limits on what a caller may send."""

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
    """Everything that operators can change while the system runs."""

    version: int = 0
    teams: dict[str, Team] = field(default_factory=dict)
    policy: Policy = Policy()
    limits: Limits = Limits()


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """An accepted change with the complete settings texts behind it.

    ``change`` is the id of the change, and ``overlays`` holds pairs of site
    and text.  ``at`` is in milliseconds since the Unix epoch.
    """

    version: int
    change: str
    operator: str
    at: int
    base: str
    overlays: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigAtBoot:
    """Sent by a scheduler that still uses its files: no change was accepted."""

    host: str


@dataclass(frozen=True, slots=True)
class ChangeSummary:
    """An accepted change as operators see it, without the settings texts.

    ``at`` is in milliseconds since the Unix epoch.
    """

    version: int
    change: str
    operator: str
    at: int


class ConfigHistory:
    """The newest accepted configuration and the changes that led to it.

    ``versions`` maps the id of a change to its version, for as many changes
    as are remembered; ``noted`` lists the newest changes, oldest first.
    """

    def __init__(self) -> None:
        """Start without any change: version 0 is that of the files."""
        self.current: ConfigChanged | None = None
        self.versions: dict[str, int] = {}
        self.noted: deque[ChangeSummary] = deque(maxlen=_MAX_LISTED_CHANGES)

    @property
    def version(self) -> int:
        """The newest accepted version, 0 before any change."""
        return self.current.version if self.current else 0


def apply_change(history: ConfigHistory, change: ConfigChanged) -> None:
    """Apply the next committed change; ignore any other version."""
    if change.version != history.version + 1:
        return
    history.current = change
    history.versions[change.change] = change.version
    summary = ChangeSummary(
        change.version, change.change, change.operator, change.at
    )
    history.noted.append(summary)
    while len(history.versions) > _MAX_REMEMBERED_CHANGE_IDS:
        history.versions.pop(next(iter(history.versions)))
