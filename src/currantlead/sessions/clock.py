"""Clock for measuring ages. Unlike ``time.monotonic``, it advances while the VM is suspended."""

import time


def now() -> float:
    """Return a monotonic clock reading in seconds that includes time during which the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return the wall clock's reading in seconds since the start of 1970; it may be wrong, and it may jump."""
    return time.time()
