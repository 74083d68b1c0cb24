"""The command line: command definitions, kept apart from their functions."""

from daisygw.cli._app import make_application, run_application
from daisygw.cli._definitions import command_names
from daisygw.cli._processes import tune_garbage_collector

__all__ = (
    'command_names',
    'make_application',
    'run_application',
    'tune_garbage_collector',
)
