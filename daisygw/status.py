"""Exit codes of the command line."""

import enum


@enum.unique
class ExitStatus(enum.IntEnum):
    """Exit code of a command, for use by shell scripts."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    REFUSED = 3
    FAILED = 4
    UNKNOWN = 5
    SETTINGS = 6
    UNREACHABLE = 7


@enum.unique
class CheckStatus(enum.IntEnum):
    """Exit code of ``platform check-config``.

    ``UNREADABLE`` means that the file or the version in force was not read.
    """

    SOUND = 0
    WARNINGS = 1
    ERRORS = 2
    UNREADABLE = 3
