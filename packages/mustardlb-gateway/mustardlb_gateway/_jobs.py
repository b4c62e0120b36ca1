"""State of a call that the gateway is processing."""

import dataclasses

from mustardlb_gateway import _event_stream
from mustardlb_gateway import _outcomes
from mustardlb_gateway import domain
from mustardlb_gateway import http_server


@dataclasses.dataclass(slots=True)
class Job:
    """An admitted call and its progress; times are in trio time.

    :ivar priority: effective rank, 0 first
    :ivar arrived: when the request arrived
    :ivar deadline: when the client gets an error at the latest
    :ivar splitter: splits the stream that is forwarded to the client into
        events, None before the stream begins
    :ivar first_byte: when the first byte was sent to the client
    :ivar waited: seconds spent until a target was available
    :ivar controllers_asked: controllers that decided on a reservation
    :ivar reserved_queue: queue of the engine that accepted the reservation,
        seconds; None without a reservation
    :ivar is_trial: whether it is sent once although it is in quarantine
    :ivar software: version of the software at which the stream goes on, None
        before it begins
    :ivar permitted_until: until when the call may be sent to a target with a
        limit
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
    controllers_asked: int = 0
    reserved_queue: float | None = None
    is_trial: bool = False
    software: str | None = None
    permitted_until: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def account_name(self) -> str:
        """Return the name of the account, '' if the call has none."""
        return self.account.name if self.account else ''

    @property
    def sent_attempts(self) -> int:
        """Return the number of attempts that may have reached a target."""
        return sum(1 for attempt in self.attempts if attempt.was_sent)

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have executed the call."""
        return any(
            attempt.was_sent and attempt.outcome != _outcomes.Outcome.NOT_RUN
            for attempt in self.attempts
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterVersions:
    """Versions of an adapter that a call may run on.

    :ivar minimum: lowest permitted version, 0 for any
    :ivar newest: newest known version, 0 if none is stored
    """

    minimum: int
    newest: int


class TargetErrorResponse(Exception):
    """Raised to return a target's error response to the client."""

    def __init__(self, response: _outcomes.BufferedResponse) -> None:
        super().__init__(response.status)
        self.response = response
