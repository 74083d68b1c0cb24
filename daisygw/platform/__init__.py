"""The users' platform: its settings, names, message formats and calls.

Nothing here decides, and nothing outside knows the platform's names.
"""

from daisygw.platform._run import run

__all__ = ('run',)
