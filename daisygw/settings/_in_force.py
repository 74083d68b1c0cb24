"""Which settings are in force after a change of the configuration."""

from dataclasses import replace

from daisygw.contracts import ConfigChanged
from daisygw.settings._load import build
from daisygw.settings._schema import Settings


def settings_in_force(
    boot: Settings,
    change: ConfigChanged,
    site: str,
) -> Settings:
    """Return the boot settings with what a change may alter while running."""
    overlay = dict(change.overlays).get(site, '')
    changed = build(change.base, overlay, ('base', site))
    return replace(
        boot,
        teams=changed.teams,
        policy=changed.policy,
        limits=changed.limits,
    )
