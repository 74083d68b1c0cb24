"""Settings: TOML files with an overlay per site, validated completely."""

from daisygw.settings._in_force import settings_in_force
from daisygw.settings._load import build, load, read_text
from daisygw.settings._schema import (
    ConfigurationVoters,
    Domain,
    Host,
    Process,
    Settings,
    configuration_of,
    hosts_of,
    share_of_domain,
    voters_of,
)

__all__ = (
    'Domain',
    'Host',
    'Process',
    'ConfigurationVoters',
    'Settings',
    'build',
    'configuration_of',
    'hosts_of',
    'load',
    'read_text',
    'settings_in_force',
    'voters_of',
    'share_of_domain',
)
