"""The cleo application, built from the command definitions."""

import sys
from collections.abc import Sequence
from functools import partial

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import argument, option
from cleo.io.inputs.argv_input import ArgvInput
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from daisygw import __version__
from daisygw.cli._definitions import COMMANDS, CommandDefinition
from daisygw.cli._execution import execute
from daisygw.context import Context
from daisygw.status import ExitStatus


class _DefinedCommand(Command):
    """A cleo command built from a definition."""

    def __init__(self, definition: CommandDefinition, ctx: Context) -> None:
        self.name = definition.name
        self.description = definition.text
        self.arguments = [
            argument(
                parameter.name,
                parameter.text,
                optional=parameter.optional,
                multiple=parameter.many,
            )
            for parameter in definition.arguments
        ]
        self.options = [
            option(
                parameter.name,
                None,
                parameter.text,
                flag=parameter.flag,
                multiple=parameter.many,
            )
            for parameter in definition.options
        ]
        self._defined = definition
        self._invocation = ctx
        super().__init__()

    def handle(self) -> int:
        """Execute the command; return its exit status."""
        parsed = {
            **{
                parameter.name: self.argument(parameter.name)
                for parameter in self.arguments
            },
            **{
                parameter.name: self.option(parameter.name)
                for parameter in self.options
            },
        }
        return int(execute(self._defined, parsed, self._invocation))


def make_application(ctx: Context) -> Application:
    """Return the application; its commands are created on first use."""
    app = Application('daisygw', __version__)
    app.auto_exits(auto_exits=False)
    factories = {
        definition.name: partial(_DefinedCommand, definition, ctx)
        for definition in COMMANDS
    }
    app.set_command_loader(FactoryCommandLoader(factories))
    return app


def run_application(
    app: Application,
    args: Sequence[str] | None,
) -> int:
    """Run a command line; ``args`` None stands for that of the process."""
    argv = sys.argv if args is None else ['daisygw', *args]
    app.catch_exceptions(catch_exceptions=False)
    try:
        return app.run(ArgvInput(list(argv)))
    except CleoError as exc:
        app.render_error(exc, app.create_io())
        return ExitStatus.USAGE
    except Exception as exc:
        app.render_error(exc, app.create_io())
        return ExitStatus.ERROR
