"""How recently this node's state was confirmed.

A node admits requests only while its state is confirmed recently enough.

A tracked object is confirmed at T if this node holds a version of it at least
as new as every version that was accepted before T. Evidence moves T forward,
never back. The T of the whole state is the earliest of its objects.
"""

import enum
import math

import structlog

from mustardlb import clock
from mustardlb import errors
from mustardlb import freshness
from mustardlb import steps
from mustardlbd import _notifier

log = structlog.get_logger()

MAX_AGE_SECONDS = freshness.MAX_AGE_SECONDS
PROPAGATION_SECONDS = freshness.PROPAGATION_SECONDS

# Waiting tasks are notified each time T has advanced by this much.
NOTIFY_STEP_SECONDS = 0.2

# Retry delay that a rejected request is given.
RETRY_AFTER_SECONDS = 1.0


class Evidence(enum.StrEnum):
    """Source of the latest confirmation."""

    NONE = 'none'
    API = 'api'
    PEER = 'peer'
    MAJORITY = 'majority'


class Freshness:
    """Tracks when this node's copy of each object was last confirmed."""

    def __init__(
        self, now: clock.Clock, object_count: int, changed: _notifier.Notifier
    ) -> None:
        self._now = now
        self._changed = changed
        self._notified_at = -math.inf
        self._started_at = now()
        self._confirmed_at = [-math.inf] * object_count
        self.evidence = Evidence.NONE

    def confirm(
        self, index: int, confirmed_at: float, evidence: Evidence
    ) -> None:
        """Record evidence that confirms one tracked object."""
        if confirmed_at <= self._confirmed_at[index]:
            return
        self._confirmed_at[index] = confirmed_at
        self.evidence = evidence
        if self.confirmed_at() >= self._notified_at + NOTIFY_STEP_SECONDS:
            self._notified_at = self.confirmed_at()
            self._changed.notify()

    def confirm_all(self, confirmed_at: float, evidence: Evidence) -> None:
        """Record evidence that confirms every tracked object."""
        for index in range(len(self._confirmed_at)):
            self.confirm(index, confirmed_at, evidence)

    def confirmed_at(self) -> float:
        """Return T of the whole state, minus infinity without evidence."""
        return min(self._confirmed_at)

    def staleness(self) -> float:
        """Return the seconds since T, infinite without evidence yet.

        Evidence from before the start of this process does not count: the
        versions held then may have been lost with an earlier process.
        """
        confirmed_at = self.confirmed_at()
        if confirmed_at < self._started_at:
            return math.inf
        return self._now() - confirmed_at

    def was_confirmed(self) -> bool:
        """Return whether the state was confirmed since the process started.

        It may have become stale since.
        """
        return self.confirmed_at() >= self._started_at

    def check_fresh(self, step: steps.Step) -> None:
        """Raise NODE_NOT_CURRENT if the confirmed state is too old."""
        age = self.staleness()
        if age <= MAX_AGE_SECONDS:
            return
        problem = f'the configuration was last confirmed {age:.1f} s ago'
        if age == math.inf:
            problem = 'the configuration has not been confirmed yet'
        raise errors.Error(
            errors.Code.NODE_NOT_CURRENT,
            problem,
            step,
            not_run=True,
            retry_after=RETRY_AFTER_SECONDS,
        )
