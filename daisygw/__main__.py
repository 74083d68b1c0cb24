"""Entry point of ``python -m daisygw`` and of the single-file program."""

import gc
import signal
import sys
from importlib import import_module

# The servers among the commands, which reload their settings on SIGHUP.
_SERVERS = (['platform', 'entry'], ['platform', 'scheduler'])

if __name__ == '__main__':
    if sys.argv[1:3] in _SERVERS:
        # Ends a process that has no handler yet: loading takes a while.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        # What is loaded stays; the process enables the collector when it runs.
        gc.disable()
    sys.exit(import_module('daisygw.core').main())
