"""Sleeps whose ends coincide, so that periodic tasks wake up together.

A process that wakes up once for several tasks takes less processor time than
one that wakes up for each of them.
"""

import math

import trio

# Largest delay of a wake-up, as a ratio of the time to sleep.
MAX_DELAY_RATIO = 1 / 4


def deadline_after(seconds: float, now: float) -> float:
    """Return a time after `seconds`, rounded up to a shared grid.

    The step of the grid is a power of two, so that the deadlines of different
    intervals coincide.

    >>> [deadline_after(0.25, now) for now in (10.0, 10.01, 10.05, 10.06)]
    [10.25, 10.3125, 10.3125, 10.3125]
    >>> deadline_after(0.6, 10.01)
    10.625
    """
    if seconds <= 0:
        return now
    step = 2.0 ** math.floor(math.log2(seconds * MAX_DELAY_RATIO))
    return math.ceil((now + seconds) / step) * step


async def sleep(seconds: float) -> None:
    """Sleep for at least `seconds`."""
    await trio.sleep_until(deadline_after(seconds, trio.current_time()))
