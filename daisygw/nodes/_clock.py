"""Monotonic and wall clocks."""

import time


def now() -> float:
    """Return monotonic time in seconds, including time spent suspended.

    Leases are measured on this clock, so that they have expired when a
    suspended host resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return the Unix time in seconds; it may jump."""
    return time.time()
