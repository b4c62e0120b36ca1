"""How recent this node's knowledge is, and whether it may admit.

The knowledge of a tracked object is *as of* T when every version that was
accepted before T is held. Evidence moves T forward; it never moves back.
"""

import enum
import math

import structlog

from mustardlb import clock
from mustardlb import errors
from mustardlb import steps

log = structlog.get_logger()

# Oldest knowledge with which a node admits, dispatches or spends, seconds.
MAX_AGE = 4.0

# After this time from acceptance every VM has a change or has stopped,
# seconds; above MAX_AGE by what a check may be early or late.
SETTLE_TIME = 5.0

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

    def __init__(self, now: clock.Clock, tracked: int) -> None:
        self._now = now
        self._started = now()
        self._as_of = [-math.inf] * tracked
        self.evidence = Evidence.NONE

    def confirm(self, index: int, as_of: float, evidence: Evidence) -> None:
        """Note evidence for one tracked object."""
        if as_of <= self._as_of[index]:
            return
        self._as_of[index] = as_of
        self.evidence = evidence

    def confirm_all(self, as_of: float, evidence: Evidence) -> None:
        """Note evidence for every tracked object."""
        for index in range(len(self._as_of)):
            self.confirm(index, as_of, evidence)

    def age(self) -> float:
        """Seconds since T; infinite before any evidence of this process.

        Evidence from before the start does not count: what was held then
        may have been lost with the process.
        """
        as_of = min(self._as_of)
        if as_of < self._started:
            return math.inf
        return self._now() - as_of

    def is_current(self) -> bool:
        """Whether this process was ever current."""
        return min(self._as_of) >= self._started

    def check_fresh(self, step: steps.Step) -> None:
        """Raise NODE_NOT_CURRENT unless knowledge is recent enough."""
        age = self.age()
        if age <= MAX_AGE:
            return
        raise errors.Error(
            errors.Code.NODE_NOT_CURRENT,
            f'the configuration known here is {age:.1f} s old',
            step,
            not_run=True,
            retry_after=RETRY_AFTER,
        )
