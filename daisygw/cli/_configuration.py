"""Commands for settings files and the configuration in force."""

from pathlib import Path

from daisygw.cli._client import Call, fetch_json, finish, show
from daisygw.cli._execution import ParsedArgs
from daisygw.cli._processes import import_attribute, load_settings
from daisygw.context import Context, write_line
from daisygw.contracts import ResultCode, SettingsError
from daisygw.settings import read_text
from daisygw.status import CheckStatus, ExitStatus


def check(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Check settings files."""
    settings = load_settings(parsed)
    write_line(
        ctx,
        f'{len(settings.domains)} failure domains, '
        f'{len(settings.hosts)} hosts, {len(settings.teams)} teams: no fault',
    )
    return ExitStatus.SUCCESS


def check_platform(parsed: ParsedArgs, ctx: Context) -> CheckStatus:
    """Check a configuration of the users' platform."""
    run = import_attribute('daisygw.platform', 'check_config')
    output = parsed['format'] or 'text'
    return run(parsed['file'], parsed['against'] or '', output, ctx)


def _read_overlays(parsed: ParsedArgs) -> dict[str, str]:
    overlays = {}
    for pair in parsed['overlay']:
        site, separator, path = pair.partition('=')
        if not separator:
            reason = f'--overlay: {pair!r} is not of the form SITE=FILE'
            raise SettingsError(ResultCode.SETTINGS_INVALID, reason)
        overlays[site] = read_text(Path(path))
    return overlays


def apply(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Put a configuration in force."""
    if not parsed['config'] or not (parsed['expect'] or '').isdecimal():
        reason = '--config and --expect (a version number) are required'
        raise SettingsError(ResultCode.SETTINGS_INVALID, reason)
    document = {
        'expected': int(parsed['expect']),
        'base': read_text(Path(parsed['config'])),
        'overlays': _read_overlays(parsed),
        'operator': parsed['operator'] or ctx.env.get('USER', ''),
    }
    if parsed['change']:
        document['change'] = parsed['change']
    call = Call('POST', '/v1/configuration', document)
    return finish(ctx, fetch_json(parsed, ctx, call))


def show_in_force(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Print the configuration in force."""
    show(ctx, fetch_json(parsed, ctx, Call('GET', '/v1/configuration')))
    return ExitStatus.SUCCESS


def show_history(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Print the accepted changes."""
    call = Call('GET', '/v1/configuration/changes')
    return finish(ctx, fetch_json(parsed, ctx, call))
