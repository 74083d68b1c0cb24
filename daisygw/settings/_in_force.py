"""Settings in force after a configuration change."""

from dataclasses import replace

from daisygw.contracts import ConfigChanged
from daisygw.settings._load import build
from daisygw.settings._schema import Settings


def settings_in_force(
    boot: Settings,
    change: ConfigChanged,
    site: str,
) -> Settings:
    """Return the boot settings with a change applied for ``site``.

    Only teams, policy and limits can change while the process runs.  Raises
    ``SettingsError`` if the change is invalid for that site.
    """
    overlay = dict(change.overlays).get(site, '')
    changed = build(change.base, overlay, ('base', site))
    return replace(
        boot,
        teams=changed.teams,
        policy=changed.policy,
        limits=changed.limits,
    )
