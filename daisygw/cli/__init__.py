"""The command line: definitions of commands apart from what they do."""

from daisygw.cli._app import make_application, run_application

__all__ = (
    'make_application',
    'run_application',
)
