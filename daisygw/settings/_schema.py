"""The schema of a settings file."""

from dataclasses import dataclass, field

from daisygw.contracts import Configuration, Limits, Policy, Team
from daisygw.zones import Timing


@dataclass(frozen=True, slots=True)
class CellSettings:
    """The name of the cell."""

    name: str = 'cell'


@dataclass(frozen=True, slots=True)
class Domain:
    """A failure domain: its region, and the host that breaks ties.

    ``tie_breaker`` is a host of a neighbouring failure domain, or empty if
    the domain has an odd number of hosts; ``share`` is its fraction of every
    quota, or 0 for an equal share.
    """

    region: str
    tie_breaker: str = ''
    share: float = 0


@dataclass(frozen=True, slots=True)
class Host:
    """An entry host: its failure domain and its two processes' addresses.

    With ``disk``, its replicas keep a journal.
    """

    domain: str
    entry: str
    scheduler: str
    disk: bool = False


@dataclass(frozen=True, slots=True)
class ConfigurationVoters:
    """The hosts whose replicas vote on the configuration."""

    voters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Process:
    """Process settings; durations are in seconds.

    ``data`` is the data directory.  A graceful stop waits at most ``grace``
    for requests in progress; ``patience`` is how long an entry looks for a
    leader; a snapshot is taken every ``snapshot_every`` log entries.
    """

    data: str = 'run/data'
    grace: float = 60
    patience: float = 5
    snapshot_every: int = 5000
    log_level: str = 'info'


@dataclass(frozen=True, slots=True)
class Settings:
    """A complete settings file, with a site's overlay applied."""

    cell: CellSettings = CellSettings()
    domains: dict[str, Domain] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    configuration: ConfigurationVoters = ConfigurationVoters()
    process: Process = Process()
    timing: Timing = Timing()
    teams: dict[str, Team] = field(default_factory=dict)
    policy: Policy = Policy()
    limits: Limits = Limits()


def hosts_of(settings: Settings, domain: str) -> tuple[str, ...]:
    """Return the names of a failure domain's own hosts, in order."""
    return tuple(
        sorted(
            name
            for name, host in settings.hosts.items()
            if host.domain == domain
        ),
    )


def voters_of(settings: Settings, domain: str) -> tuple[str, ...]:
    """Return the hosts that vote in a failure domain's group."""
    tie_breaker = settings.domains[domain].tie_breaker
    own = hosts_of(settings, domain)
    return (*own, tie_breaker) if tie_breaker else own


def share_of_domain(settings: Settings, domain: str) -> float:
    """Return the fraction of every quota that a failure domain holds."""
    return settings.domains[domain].share or 1 / len(settings.domains)


def configuration_of(settings: Settings, version: int) -> Configuration:
    """Return the part of the settings that may change while running."""
    return Configuration(
        version,
        settings.teams,
        settings.policy,
        settings.limits,
    )
