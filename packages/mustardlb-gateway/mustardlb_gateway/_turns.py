"""Estimates when requests for adapter loads get their turn at an engine.

The estimate is made from how long requests like it have waited for each one
that was served, whichever way: for the load that they asked for, or for that
of a more urgent call with the same adapter. A model of the queue would have
to know how many urgent calls are still to come.
"""

import collections
from collections import abc
import math

# Requests and their waiting times are counted over about twice this time: a
# few tens of loads at a busy engine.
HALF_LIFE_SECONDS = 8.0

# No estimate is made before requests of a rank have waited for this time.
MIN_OBSERVED_SECONDS = 4.0

# A turn is the time by which one of ten such requests is served, since the
# waits differ widely and late responses are of use to callers too.
SERVED_SHARE = 0.1

# Standard deviations of the observed number of served requests by which more
# might have been served.
DEVIATIONS = 1.5

# Whether others come before a request, and its priority; lower ones first.
Rank = tuple[bool, bool, int]


class Turns:
    """Rates at which waiting requests are served, by rank.

    >>> turns = Turns()
    >>> rank = (False, False, 0)
    >>> for second in range(20):
    ...     turns.advance([rank] * 40, float(second))
    ...     turns.record_served(rank)
    >>> round(turns.seconds(rank, rank, 0.0), 1)
    2.6
    """

    def __init__(self) -> None:
        self._served: dict[Rank, float] = {}
        self._request_seconds: dict[Rank, float] = {}
        self._seconds: dict[Rank, float] = {}
        self._waiting: dict[Rank, int] = {}
        self._at: float | None = None

    def advance(self, waiting: abc.Iterable[Rank], now: float) -> None:
        """Count the time up to now; `waiting` has each request's rank."""
        if self._at is not None:
            seconds = now - self._at
            decay = 0.5 ** (seconds / HALF_LIFE_SECONDS)
            for sums in (self._served, self._request_seconds, self._seconds):
                for rank in list(sums):
                    sums[rank] *= decay
                    if sums[rank] < 0.001:
                        del sums[rank]
            for rank, count in self._waiting.items():
                _add(self._request_seconds, rank, seconds * count)
                _add(self._seconds, rank, seconds)
        self._at = now
        self._waiting = collections.Counter(waiting)

    def record_served(self, rank: Rank) -> None:
        """Count a waiting request that was served."""
        _add(self._served, rank, 1.0)

    def seconds(self, in_time: Rank, late: Rank, slack: float) -> float | None:
        """Return by when one of ten such requests would be served.

        None if too little was observed.

        :param in_time: rank for the next `slack` seconds
        :param late: rank afterwards
        """
        needed = -math.log(1 - SERVED_SHARE)
        if slack > 0:
            rate = self._rate(in_time)
            if rate is None:
                return None
            if rate * slack >= needed:
                return needed / rate
            needed -= rate * slack
        rate = self._rate(late)
        if rate is None:
            return None
        return max(0.0, slack) + needed / rate

    def _rate(self, rank: Rank) -> float | None:
        """Return the largest likely rate at which a request is served."""
        if self._seconds.get(rank, 0.0) < MIN_OBSERVED_SECONDS:
            return None
        served = self._served.get(rank, 0.0)
        likely = served + DEVIATIONS * math.sqrt(served) + 1
        return likely / self._request_seconds[rank]


def _add(sums: dict[Rank, float], rank: Rank, amount: float) -> None:
    sums[rank] = sums.get(rank, 0.0) + amount
