"""daisygw: a cluster scheduler for services, batch and gang jobs."""

import time

__version__ = '0.1.0'
# When this process began to run (s, on the clock of leases): loading the
# modules of a server takes some tenths of a second.
PROCESS_STARTED_AT = time.clock_gettime(time.CLOCK_BOOTTIME)
