"""How many requests may be sent to a further target, over all nodes.

Each node adds a part of the ratio for each of its own requests, and holds
its even part of the slack, so the sum over all nodes stays within both
without any exchange.
"""

from collections import abc
import dataclasses

# Part of the permitted ratio and slack that is used. Requests are counted by
# the window in which they are sent; the rest covers those that move between
# two windows.
USED_PART = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimit:
    """What all nodes together may do in any window.

    :ivar ratio: further sends for each request
    :ivar slack: further sends besides
    :ivar window: seconds
    """

    ratio: float
    slack: float
    window: float


class RetryBudget:
    """Further sends to one service that this node may still make."""

    def __init__(
        self,
        limit: abc.Callable[[], RetryLimit],
        count_nodes: abc.Callable[[], int],
    ) -> None:
        self._limit = limit
        self._count_nodes = count_nodes
        self._earned = 0.0
        self._spent_at: list[float] = []

    def add_request(self) -> None:
        """Count a request of a client."""
        limit = self._limit()
        most = self._slack()
        self._earned = min(
            self._earned + limit.ratio * USED_PART, max(1.0, most)
        )

    def take(self, now: float) -> bool:
        """Take one further send; False where none is left."""
        limit = self._limit()
        since = now - limit.window
        self._spent_at = [each for each in self._spent_at if each > since]
        if self._earned >= 1:
            self._earned -= 1
            return True
        if len(self._spent_at) + 1 <= self._slack():
            self._spent_at.append(now)
            return True
        return False

    def _slack(self) -> float:
        # A part for what was earned before a window and is spent in it.
        return (
            self._limit().slack * USED_PART / 2 / max(1, self._count_nodes())
        )
