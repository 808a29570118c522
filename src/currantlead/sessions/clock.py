"""Clock of ages: it counts the time during which the VM is suspended, which the steady clock does not."""

import time


def now() -> float:
    """Return a reading in seconds that only grows and includes suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
