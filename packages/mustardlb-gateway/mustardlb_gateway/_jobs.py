"""A call on its way through the gateway."""

import dataclasses

from mustardlb_gateway import _event_stream
from mustardlb_gateway import _outcomes
from mustardlb_gateway import domain
from mustardlb_gateway import http_server


@dataclasses.dataclass(slots=True)
class Job:
    """A call that was admitted.

    :ivar deadline: when it gets its final answer, trio time
    :ivar splitter: the stream as passed on so far, None before it begins
    """

    call: domain.Call
    route: domain.Route
    service: domain.Service
    account: domain.Account | None
    priority: int
    arrived: float
    deadline: float
    reply: http_server.Reply
    attempts: list[_outcomes.Attempt] = dataclasses.field(default_factory=list)
    splitter: _event_stream.EventSplitter | None = None
    first_byte: float | None = None
    waited: float = 0.0

    @property
    def sends(self) -> int:
        """Attempts that may have arrived at a target."""
        return sum(1 for attempt in self.attempts if attempt.was_sent)

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run it."""
        return any(
            attempt.was_sent and attempt.outcome != _outcomes.Outcome.NOT_RUN
            for attempt in self.attempts
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Versions:
    """The version of an adapter that a call needs.

    :ivar least: older ones will not do; 0 for any
    :ivar newest: the newest known, 0 where none is named
    """

    least: int
    newest: int


class HeldAnswer(Exception):
    """A target's failure is the best answer that there is."""

    def __init__(self, answer: _outcomes.BufferedResponse) -> None:
        super().__init__(answer.status)
        self.answer = answer
