"""Outcomes of calls and of their attempts at targets."""

import dataclasses
import enum
import math

from mustardlb import errors
from mustardlb import steps
from mustardlb_gateway import _quarantine
from mustardlb_gateway import domain

# Largest Retry-After as a ratio of the time that the client still waits.
MAX_RETRY_AFTER_RATIO = 1 / 3

# To a client, these statuses guarantee that its request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Outcome(enum.StrEnum):
    """Outcome of one attempt at a target.

    NOT_RUN: the target was not reached or did not execute the request
    UNKNOWN: the target may have executed the request
    ANSWERED: the target's response was received or forwarded
    """

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    ANSWERED = 'answered'


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A target's response that was read completely."""

    status: int
    headers: domain.Headers
    body: bytes


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt at a target.

    :ivar started_at: trio time
    :ivar was_sent: whether a part of the request may have been sent
    :ivar is_broken: whether the target closed or reset the connection before
        the response was complete
    :ivar helper: node that relayed the connection, '' for none
    :ivar is_link_failure: whether only a link to the target failed, which
        says nothing of the target
    :ivar is_withheld: not sent, since the target takes no requests for now
    :ivar send_by: end of its permit for a cold target, clock seconds; None
        without one
    :ivar permitted_until: until when it may be sent, seconds on the clock that
        counts suspensions
    :ivar output_at: trio time of the first part of the response body, None
        if none was received
    :ivar response: error response that is forwarded to the client if no
        further attempt succeeds
    """

    target_id: str
    started_at: float
    outcome: Outcome = Outcome.UNKNOWN
    problem: str = ''
    was_sent: bool = False
    status: int = 0
    response: BufferedResponse | None = None
    is_broken: bool = False
    helper: str = ''
    is_link_failure: bool = False
    is_withheld: bool = False
    send_by: float | None = None
    output_at: float | None = None
    permitted_until: float = math.inf

    def describe(self, now: float) -> dict[str, object]:
        """Return the fields of a log event; `fate` is the outcome."""
        return {
            'target': self.target_id,
            'fate': str(self.outcome),
            'status': self.status,
            'problem': self.problem,
            'is_broken': self.is_broken,
            'helper': self.helper,
            'is_link_failure': self.is_link_failure,
            'output_seconds': self.output_at
            and round(now - self.output_at, 3),
            'seconds': round(now - self.started_at, 3),
        }

    def has_lasting_output(self, now: float) -> bool:
        """Return whether output went on for a while, as of a trio time."""
        return (
            self.output_at is not None
            and now - self.output_at >= _quarantine.MIN_OUTPUT_SECONDS
        )


def rejection(
    code: errors.Code,
    message: str,
    step: steps.Step,
    retry_after: float | None = None,
) -> errors.Error:
    """Return the error of a call that no target executes."""
    return errors.Error(
        code, message, step, not_run=True, retry_after=retry_after
    )


def quarantined(wait: float, step: steps.Step) -> errors.Error:
    """Return the error of a call that may be tried after some seconds."""
    return rejection(
        errors.Code.QUARANTINED,
        'targets have ended on requests like this one',
        step,
        max(_quarantine.MIN_WAIT_SECONDS, wait),
    )
