"""The clocks of a process."""

import time


def now() -> float:
    """Return seconds on a steady clock that counts a suspended host too.

    Leases are measured on it: a host that slept must find them lapsed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return the time of day, in seconds since 1970; it may jump."""
    return time.time()
