"""Exceptions that carry a numbered result code."""

from daisygw.contracts._codes import ResultCode


class DaisygwError(Exception):
    """Base of all errors that a user of the system may see."""

    def __init__(self, code: ResultCode, reason: str) -> None:
        """Keep the numbered ``code`` and a ``reason`` in plain words."""
        super().__init__(f'{code.value} {code.name}: {reason}')
        self.code = code
        self.reason = reason


class ContractError(DaisygwError):
    """A request that can not be taken as it stands; nothing was run."""


class SettingsError(DaisygwError):
    """A settings file or configuration with a wrong key or value."""


class JournalError(DaisygwError):
    """The log on disk can not be read or written."""


class LinkError(DaisygwError):
    """A process that could not be reached, or went away."""
