"""Commands of operators: drain, targets, report, dump."""

from typing import Any
from urllib.parse import quote

from daisygw.cli._client import Call, fetch, finish, show
from daisygw.cli._execution import Given
from daisygw.context import Context, write_line
from daisygw.status import ExitStatus


def drain(given: Given, ctx: Context) -> ExitStatus:
    """Close or open a target."""
    method = 'DELETE' if given['open'] else 'PUT'
    name = quote(given['target'], safe='')
    call = Call(method, f'/v1/targets/{name}/drain')
    return finish(ctx, fetch(given, ctx, call))


def targets(given: Given, ctx: Context) -> ExitStatus:
    """List targets."""
    show(ctx, fetch(given, ctx, Call('GET', '/v1/views/targets')))
    return ExitStatus.SUCCESS


def dump(given: Given, ctx: Context) -> ExitStatus:
    """Print a host's state."""
    show(ctx, fetch(given, ctx, Call('GET', '/v1/dump')))
    return ExitStatus.SUCCESS


def report(given: Given, ctx: Context) -> ExitStatus:
    """Print the figures for the monthly meeting."""
    views = fetch(given, ctx, Call('GET', '/v1/views/report'))
    if given['json']:
        show(ctx, views)
        return ExitStatus.SUCCESS
    for domain, view in views.items():
        write_line(ctx, f'failure domain {domain}')
        if view is None:
            write_line(ctx, '  not reached')
            continue
        _print_domain(ctx, view)
    return ExitStatus.SUCCESS


def _print_domain(ctx: Context, view: dict[str, Any]) -> None:
    write_line(ctx, '  who waited (ms)')
    for waits in view['waits_ms']:
        write_line(
            ctx,
            '    {team:<12} {kind:<8} tasks {tasks:>7}  p50 {p50:>6}  '
            'p90 {p90:>6}  p99 {p99:>6}  longest {longest:>6}'.format(
                **waits,
            ),
        )
    write_line(ctx, '  how full the hosts ran (% of capacity, over time)')
    for resource, percent in view['held_percent'].items():
        shown = '-' if percent is None else percent
        write_line(ctx, f'    {resource:<12} {shown}')
    _print_counts(ctx, 'what was refused and why', view['refusals'])
    _print_counts(ctx, 'how tasks ended', view['outcomes'])


def _print_counts(
    ctx: Context,
    title: str,
    counts: list[dict[str, Any]],
) -> None:
    write_line(ctx, f'  {title}')
    for one in counts:
        write_line(
            ctx,
            '    {team:<12} {code} {name:<18} {count:>7}'.format(**one),
        )
