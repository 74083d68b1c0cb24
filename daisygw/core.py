"""The main function of the program."""

from collections.abc import Sequence

from daisygw.cli import make_application, run_application
from daisygw.context import Context


def main(
    args: Sequence[str] | None = None,
    ctx: Context | None = None,
) -> int:
    """Run one command; ``args`` exclude the program's name."""
    ctx = ctx or Context()
    return run_application(make_application(ctx), args)
