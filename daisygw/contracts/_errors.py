"""Exceptions that carry a numbered result code."""

from daisygw.contracts._codes import ResultCode


class DaisygwError(Exception):
    """Base class of all errors that are reported to users."""

    def __init__(self, code: ResultCode, reason: str) -> None:
        """Store the result ``code`` and a human-readable ``reason``."""
        super().__init__(f'{code.value} {code.name}: {reason}')
        self.code = code
        self.reason = reason


class ContractError(DaisygwError):
    """An invalid request; nothing was run."""


class SettingsError(DaisygwError):
    """A settings file or configuration with an invalid key or value."""


class JournalError(DaisygwError):
    """The journal on disk cannot be read or written."""


class LinkError(DaisygwError):
    """A process could not be reached, or the connection to it was lost."""
