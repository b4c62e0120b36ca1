"""What can become of a call and of its attempts."""

import dataclasses
import enum

from mustardlb import errors
from mustardlb import steps
from mustardlb_gateway import domain


class Outcome(enum.StrEnum):
    """What became of one attempt at a target.

    NOT_RUN: the target did not run it, or was never reached
    UNKNOWN: it may have run
    ANSWERED: the target's answer is at hand, or was passed on
    """

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    ANSWERED = 'answered'


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedResponse:
    """An answer of a target that was read to its end."""

    status: int
    headers: domain.Headers
    body: bytes


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt at a target, as the log tells it.

    :ivar was_sent: at least a part of the request went out
    :ivar answer: one that was held back, to be passed on if none is better
    """

    target_id: str
    began: float
    outcome: Outcome = Outcome.UNKNOWN
    problem: str = ''
    was_sent: bool = False
    status: int = 0
    answer: BufferedResponse | None = None

    def describe(self, now: float) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            'target': self.target_id,
            'fate': str(self.outcome),
            'status': self.status,
            'problem': self.problem,
            'seconds': round(now - self.began, 3),
        }


def refusal(
    code: errors.Code,
    message: str,
    step: steps.Step,
    retry_after: float | None = None,
) -> errors.Error:
    """Return the error of a call that no target has run nor will run."""
    return errors.Error(
        code, message, step, not_run=True, retry_after=retry_after
    )
