"""Clock for measuring ages. Unlike ``time.monotonic``, it advances while the VM is suspended."""

import time


def now() -> float:
    """Return a monotonic clock reading in seconds that includes time during which the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
