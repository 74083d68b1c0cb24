"""Operator commands: drain, targets, report, dump."""

from typing import Any
from urllib.parse import quote

from daisygw.cli._client import Call, fetch_json, finish, show
from daisygw.cli._execution import ParsedArgs
from daisygw.context import Context, write_line
from daisygw.status import ExitStatus


def drain(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Close a target to new work, or open it again."""
    method = 'DELETE' if parsed['open'] else 'PUT'
    name = quote(parsed['target'], safe='')
    call = Call(method, f'/v1/targets/{name}/drain')
    return finish(ctx, fetch_json(parsed, ctx, call))


def targets(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """List the targets of every failure domain."""
    show(ctx, fetch_json(parsed, ctx, Call('GET', '/v1/views/targets')))
    return ExitStatus.SUCCESS


def dump(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Print the state of a host's processes."""
    show(ctx, fetch_json(parsed, ctx, Call('GET', '/v1/dump')))
    return ExitStatus.SUCCESS


def report(parsed: ParsedArgs, ctx: Context) -> ExitStatus:
    """Print the report on waits, utilization and refused requests."""
    views = fetch_json(parsed, ctx, Call('GET', '/v1/views/report'))
    if parsed['json']:
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
    for row in counts:
        write_line(
            ctx,
            '    {team:<12} {code} {name:<18} {count:>7}'.format(**row),
        )
