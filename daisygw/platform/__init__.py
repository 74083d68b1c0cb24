"""Adapter to the users' platform: settings, HTTP APIs and message formats.

It makes no scheduling decisions, and no other package uses the platform's
names.
"""

from daisygw.platform._check_config import check_config
from daisygw.platform._run import run

__all__ = ('check_config', 'run')
