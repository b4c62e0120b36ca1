"""How recent this node's knowledge is, and whether it may admit.

The knowledge of a tracked object is *as of* T when every version that was
accepted before T is held. Evidence moves T forward; it never moves back.
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

# Those who wait for newer knowledge are woken when T moved this far,
# seconds.
TELL_STEP = 0.2

# When a refused caller may try again, seconds.
RETRY_AFTER = 1.0


class Evidence(enum.StrEnum):
    """What moved T last."""

    NONE = 'none'
    API = 'api'
    PEER = 'peer'
    MAJORITY = 'majority'


class Freshness:
    """The moment that this node's knowledge is as of."""

    def __init__(
        self, now: clock.Clock, tracked: int, news: _notifier.Notifier
    ) -> None:
        self._now = now
        self._news = news
        self._told = -math.inf
        self._started = now()
        self._as_of = [-math.inf] * tracked
        self.evidence = Evidence.NONE

    def confirm(self, index: int, as_of: float, evidence: Evidence) -> None:
        """Note evidence for one tracked object."""
        if as_of <= self._as_of[index]:
            return
        self._as_of[index] = as_of
        self.evidence = evidence
        if self.confirmed_at() >= self._told + TELL_STEP:
            self._told = self.confirmed_at()
            self._news.notify()

    def confirm_all(self, as_of: float, evidence: Evidence) -> None:
        """Note evidence for every tracked object."""
        for index in range(len(self._as_of)):
            self.confirm(index, as_of, evidence)

    def confirmed_at(self) -> float:
        """Return T, minus infinity before any evidence."""
        return min(self._as_of)

    def staleness(self) -> float:
        """Seconds since T; infinite before any evidence of this process.

        Evidence from before the start does not count: what was held then
        may have been lost with the process.
        """
        as_of = self.confirmed_at()
        if as_of < self._started:
            return math.inf
        return self._now() - as_of

    def is_current(self) -> bool:
        """Whether this process was ever current."""
        return self.confirmed_at() >= self._started

    def check_fresh(self, step: steps.Step) -> None:
        """Raise NODE_NOT_CURRENT unless knowledge is recent enough."""
        age = self.staleness()
        if age <= MAX_AGE_SECONDS:
            return
        raise errors.Error(
            errors.Code.NODE_NOT_CURRENT,
            f'the configuration known here is {age:.1f} s old',
            step,
            not_run=True,
            retry_after=RETRY_AFTER,
        )
