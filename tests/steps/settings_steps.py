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
    """Yield a temporary folder."""
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


@given('a base settings file')
def write_base(context):
    """Write the base settings file."""
    context.folder = use_fixture(folder, context)
    context.base = context.folder / 'base.toml'
    context.base.write_text(_BASE)


@given('an overlay that contains {text}')
def write_overlay(context, text):
    """Write the overlay, with a line break after the first table header."""
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
    """Run ``scheduler``, which must exit at once."""
    context.done = daisygw('scheduler', *_options(context), '--host=a1')


@then('the check ends with status {status:d} and names {named}')
def check_named(context, status, named):
    """Check the exit status, and the code, file and key in the message."""
    stderr = context.done.stderr.decode()
    assert context.done.returncode == status, context.done
    assert '701' in stderr and 'overlay.toml' in stderr, stderr
    assert named in stderr, stderr


@then('the check succeeds')
def check_status(context):
    """Check the exit status."""
    assert context.done.returncode == 0, context.done


@then('every command prints its help')
def check_help(context):
    """Run each command with ``--help``."""
    for name in command_names():
        done = daisygw(*name.split(), '--help')
        assert done.returncode == 0 and b'Usage' in done.stdout, name
