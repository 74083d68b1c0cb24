"""Steps that check settings through the command line."""

import tempfile
from pathlib import Path

from behave import fixture, given, then, use_fixture, when

from daisygw.cli import command_names
from tests.utils import daisygw

_BASE = """
[domains.norte]
region = "n"
[hosts.a1]
domain = "norte"
entry = "127.0.0.1:4001"
scheduler = "127.0.0.1:4002"
[limits]
body_bytes = 100
[teams.patio]
weight = 1
"""


@fixture
def folder(context):
    """Give a scenario a folder of its own."""
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


@given('a base settings file')
def write_base(context):
    """Write the base file."""
    context.folder = use_fixture(folder, context)
    context.base = context.folder / 'base.toml'
    context.base.write_text(_BASE)


@given('an overlay that says {text}')
def write_overlay(context, text):
    """Write the overlay; a table's head stands on a line of its own."""
    context.overlay = context.folder / 'overlay.toml'
    context.overlay.write_text(text.replace('] ', ']\n', 1))


def _options(context):
    return f'--config={context.base}', f'--overlay={context.overlay}'


@when('the settings are checked')
def check_settings(context):
    """Run ``config check``."""
    context.done = daisygw('config', 'check', *_options(context))


@when('a scheduler is started with them')
def start_scheduler(context):
    """Run ``scheduler``, which must end at once."""
    context.done = daisygw('scheduler', *_options(context), '--host=a1')


@then('the check ends with status {status:d} and names {named}')
def check_named(context, status, named):
    """Check the exit status, the code, the file and the key."""
    said = context.done.stderr.decode()
    assert context.done.returncode == status, context.done
    assert '701' in said and 'overlay.toml' in said, said
    assert named in said, said


@then('the check ends well')
def check_status(context):
    """Check the exit status."""
    assert context.done.returncode == 0, context.done


@then('every command prints its help')
def check_help(context):
    """Ask each command for help."""
    for name in command_names():
        done = daisygw(*name.split(), '--help')
        assert done.returncode == 0 and b'Usage' in done.stdout, name
