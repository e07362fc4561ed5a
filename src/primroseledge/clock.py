"""The clock that leases are measured with.

CLOCK_BOOTTIME also counts the time in which the instance is suspended,
which ``time.monotonic`` does not; a lease goes on lapsing meanwhile.
"""

from time import CLOCK_BOOTTIME
from time import clock_gettime


def boot_time() -> float:
    """Return the seconds since the instance booted."""
    return clock_gettime(CLOCK_BOOTTIME)
