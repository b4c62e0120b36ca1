"""The clocks of a process; every duration is measured on the first."""

from collections import abc
import time

# A clock gives seconds that only grow; tests pass trio.current_time.
Clock = abc.Callable[[], float]


def boottime() -> float:
    """Seconds since boot, counting the time the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
