"""Settings: TOML files with an overlay per site, checked whole."""

from daisygw.settings._load import build, load, read_text
from daisygw.settings._schema import (
    Domain,
    Host,
    Process,
    Seats,
    Settings,
    configuration_of,
    hosts_of,
    seats_of,
    share_of_domain,
)

__all__ = (
    'Domain',
    'Host',
    'Process',
    'Seats',
    'Settings',
    'build',
    'configuration_of',
    'hosts_of',
    'load',
    'read_text',
    'seats_of',
    'share_of_domain',
)
