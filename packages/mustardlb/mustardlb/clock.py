"""Monotonic clock on which processes measure every duration."""

from collections import abc
import time

# Returns monotonic seconds; tests pass trio.current_time.
Clock = abc.Callable[[], float]


def boottime() -> float:
    """Return seconds since boot, including time the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
