"""Steps that compare the documentation with the code."""

import ast
import dataclasses
import re
import tempfile
from pathlib import Path

from behave import then, when

from daisygw.cli import command_names
from daisygw.contracts import Limits, Policy, ResultCode
from daisygw.settings import Process
from daisygw.zones import Timing
from standins.cell import RunningCell, plan_cell, write_settings
from tests.utils import ROOT, daisygw

_ROW = re.compile(r'^\| (\d{3}) \| (\w+) \|', re.MULTILINE)
_LINK = re.compile(r'\]\((docs/[^)]+)\)')
_COMMAND = re.compile(r'daisygw ([a-z][^`\n|]*)')


def _page(name):
    return (ROOT / name).read_text()


@then('docs/RESULT_CODES.md has a row for each code, and no other')
def check_codes(context):
    """Compare the rows of the table with the members of ``ResultCode``."""
    rows = {
        (int(code), name)
        for code, name in _ROW.findall(
            _page('docs/RESULT_CODES.md'),
        )
    }
    assert rows == {(code.value, code.name) for code in ResultCode}


@then('docs/OPERATING.md and docs/POLICY.md name every setting')
def check_settings(context):
    """Check that the name of each settings field occurs on these pages."""
    pages = _page('docs/OPERATING.md') + _page('docs/POLICY.md')
    for kind in (Policy, Limits, Process, Timing):
        for part in dataclasses.fields(kind):
            assert f'`{part.name}`' in pages, f'{kind.__name__}.{part.name}'


def _documented_commands():
    for line in _COMMAND.findall(_page('docs/OPERATING.md')):
        words = line.split()
        name = ' '.join(words[:2])
        if name not in command_names():
            name = words[0]
        yield name, re.findall(r'--([a-z-]+)', line)


@then('each command in docs/OPERATING.md has the options shown')
def check_commands(context):
    """Check that the help of each documented command lists its options."""
    documented = list(_documented_commands())
    assert len(documented) > 5
    for name, options in documented:
        help_text = daisygw(*name.split(), '--help').stdout.decode()
        for option in options:
            assert f'--{option}' in help_text, (name, option)


@when('the settings of the example cell are checked as the page says')
def check_example(context):
    """Write a cell's settings and run ``config check`` on them."""
    with tempfile.TemporaryDirectory() as folder:
        plan = plan_cell('norte', ('santander', 'oviedo', 'bilbao'))
        cell = RunningCell(plan, Path(folder))
        write_settings(cell)
        context.done = daisygw(
            'config',
            'check',
            f'--config={cell.base}',
            f'--overlay={folder}/santander.toml',
        )


@then('the example settings pass the check')
def check_example_done(context):
    """Check the exit status."""
    assert context.done.returncode == 0, context.done


@then('each link in README.md leads to a file')
def check_links(context):
    """Check that each linked file exists."""
    for link in _LINK.findall(_page('README.md')):
        assert (ROOT / link).exists(), link


_LOG_FUNCTIONS = frozenset({'log', 'log_error', 'log_event'})


def _calls():
    """Yield each call with arguments in the code of a cell's processes."""
    for folder in ('cell', 'links', 'nodes', 'platform'):
        for path in sorted((ROOT / 'daisygw' / folder).glob('*.py')):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and node.args:
                    yield node


def _events():
    """Yield the text of each event that a cell's processes log."""
    for call in _calls():
        name = getattr(call.func, 'attr', getattr(call.func, 'id', ''))
        if name in _LOG_FUNCTIONS:
            yield from _string_constants(call.args[0])


def _string_constants(node):
    for part in ast.walk(node):
        if isinstance(part, ast.Constant) and isinstance(part.value, str):
            yield part.value


@then("docs/OPERATIONS.md names each event that a cell's processes log")
def check_events(context):
    """Check that each event's text occurs on the page."""
    page = _page('docs/OPERATIONS.md')
    events = set(_events())
    assert len(events) > 30, events
    for event in events:
        assert f'`{event}`' in page, event
