"""Commands about settings and the configuration in force."""

from pathlib import Path

from daisygw.cli._client import Call, fetch, finish, show
from daisygw.cli._execution import Given
from daisygw.cli._processes import load_settings
from daisygw.context import Context, write_line
from daisygw.contracts import ResultCode, SettingsError
from daisygw.settings import read_text
from daisygw.status import ExitStatus


def check(given: Given, ctx: Context) -> ExitStatus:
    """Check settings files."""
    settings = load_settings(given)
    write_line(
        ctx,
        f'{len(settings.domains)} failure domains, '
        f'{len(settings.hosts)} hosts, {len(settings.teams)} teams: no fault',
    )
    return ExitStatus.SUCCESS


def _overlays(given: Given) -> dict[str, str]:
    overlays = {}
    for pair in given['overlay']:
        site, found, path = pair.partition('=')
        if not found:
            reason = f'--overlay: {pair!r} is not SITE=FILE'
            raise SettingsError(ResultCode.SETTINGS_INVALID, reason)
        overlays[site] = read_text(Path(path))
    return overlays


def apply(given: Given, ctx: Context) -> ExitStatus:
    """Put a configuration in force."""
    if not given['config'] or not (given['expect'] or '').isdecimal():
        reason = '--config and --expect (a version) are needed'
        raise SettingsError(ResultCode.SETTINGS_INVALID, reason)
    document = {
        'expected': int(given['expect']),
        'base': read_text(Path(given['config'])),
        'overlays': _overlays(given),
        'operator': given['operator'] or ctx.env.get('USER', ''),
    }
    if given['change']:
        document['change'] = given['change']
    call = Call('POST', '/v1/configuration', document)
    return finish(ctx, fetch(given, ctx, call))


def show_in_force(given: Given, ctx: Context) -> ExitStatus:
    """Print the configuration in force."""
    show(ctx, fetch(given, ctx, Call('GET', '/v1/configuration')))
    return ExitStatus.SUCCESS


def show_history(given: Given, ctx: Context) -> ExitStatus:
    """Print which changes were accepted."""
    call = Call('GET', '/v1/configuration/changes')
    return finish(ctx, fetch(given, ctx, call))
