"""The scheduler process, which replicates logs and leads some groups."""

from daisygw.schedulers import _snapshot_codec as snapshot_codec
from daisygw.schedulers._config_machine import ConfigState, config_state_machine
from daisygw.schedulers._process import run_scheduler

__all__ = (
    'ConfigState',
    'config_state_machine',
    'run_scheduler',
    'snapshot_codec',
)
