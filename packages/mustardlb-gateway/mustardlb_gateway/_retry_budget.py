"""Retry budget of a service that all nodes share without coordination.

Each node earns a fraction of a retry for each of its own requests, and may
use an equal share of the slack. The sum over all nodes then stays within
the ratio and the slack.
"""

from collections import abc
import dataclasses

# Used fraction of the permitted ratio and slack. The rest covers requests
# that are counted in one window and retried in the next.
USED_RATIO = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimit:
    """Retries that all nodes together may send in any window.

    :ivar ratio: retries per request
    :ivar slack: retries beyond that ratio
    :ivar window: length in seconds
    """

    ratio: float
    slack: float
    window: float


class RetryBudget:
    """Retries that this node may still send to one service."""

    def __init__(
        self,
        limit: abc.Callable[[], RetryLimit],
        count_nodes: abc.Callable[[], int],
    ) -> None:
        self._limit = limit
        self._count_nodes = count_nodes
        self._tokens = 0.0
        self._spent_at: list[float] = []

    def add_request(self) -> None:
        """Add the retries that a client's request earns."""
        limit = self._limit()
        capacity = self._node_slack()
        self._tokens = min(
            self._tokens + limit.ratio * USED_RATIO, max(1.0, capacity)
        )

    def try_acquire(self, now: float) -> bool:
        """Use one retry at the time `now`; return False if none is left."""
        limit = self._limit()
        window_start = now - limit.window
        self._spent_at = [
            spent_at for spent_at in self._spent_at if spent_at > window_start
        ]
        if self._tokens >= 1:
            self._tokens -= 1
            return True
        if len(self._spent_at) + 1 <= self._node_slack():
            self._spent_at.append(now)
            return True
        return False

    def _node_slack(self) -> float:
        # Only half of the slack is used directly. The other half covers
        # retries that were earned before a window and are sent in it.
        return (
            self._limit().slack * USED_RATIO / 2 / max(1, self._count_nodes())
        )
