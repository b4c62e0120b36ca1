"""State of a call that the gateway is processing."""

import dataclasses
import http
import math

from mustardlb import errors
from mustardlb_gateway import _buffers
from mustardlb_gateway import _event_stream
from mustardlb_gateway import _outcomes
from mustardlb_gateway import domain
from mustardlb_gateway import http_server

# Clients abandon a stream after the longest of these pauses: a fixed one, and
# ratios of the latency objective and of the gap objective.
CLIENT_GAP_SECONDS = 2.0
CLIENT_GAP_PER_LATENCY = 4.0
CLIENT_GAP_PER_GAP = 8.0


@dataclasses.dataclass(slots=True)
class Job:
    """An admitted call and its progress; times are in trio time.

    :ivar priority: effective rank, 0 first
    :ivar arrived: when the request arrived
    :ivar deadline: when the client gets an error at the latest
    :ivar event_at: when the last event was forwarded, None before the first
    :ivar held: what the current attempt buffers of a response
    :ivar expires_at: the deadline on the clock that counts suspensions
    :ivar splitter: splits the stream that is forwarded to the client into
        events, None before the stream begins
    :ivar first_byte: when the first byte was sent to the client
    :ivar waited: seconds spent until a target was available
    :ivar controllers_asked: controllers that decided on a reservation
    :ivar reserved_queue: queue of the engine that accepted the reservation,
        seconds; None without a reservation
    :ivar is_trial: whether it is sent once although it is in quarantine
    :ivar trial_until: until when, seconds on the clock that counts suspensions
    :ivar software: version of the software at which the stream goes on, None
        before it begins
    :ivar turn: estimated seconds at least until the engine that was asked
        last starts to load the adapter, None if it gave no estimate
    :ivar late_turns: such estimates of the engines that would load it too
        late for the call, by target
    :ivar permitted_until: until when the call may be sent to a target with a
        limit
    :ivar cold_permits: until when the call may be sent to a cold target,
        clock seconds
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
    cold_permits: dict[str, float] = dataclasses.field(default_factory=dict)
    turn: float | None = None
    late_turns: dict[str, float] = dataclasses.field(default_factory=dict)
    trial_until: float = math.inf
    expires_at: float = math.inf
    event_at: float | None = None
    held: _buffers.BufferedData | None = None

    def hold(self, byte_count: int) -> bool:
        """Record data of a response; return whether there is room for it."""
        return self.held is None or self.held.try_add(byte_count)

    def hold_event(self, byte_count: int) -> bool:
        """Record the size of the incomplete event of a stream.

        Returns whether there is room for it.
        """
        if self.held is None:
            return True
        if byte_count > self.held.size:
            return self.held.try_add(byte_count - self.held.size)
        self.held.set(byte_count)
        return True

    def complete_response(self) -> None:
        """Record that a response is complete, so that it is kept."""
        if self.held is not None:
            self.held.complete()

    @property
    def abandoned_at(self) -> float:
        """Return when the client abandons a stream without further events.

        Infinite if the route has no gap objective.
        """
        route = self.route
        if (
            route.kind != domain.RouteKind.STREAM
            or route.gap_objective is None
        ):
            return math.inf
        since = self.arrived if self.event_at is None else self.event_at
        return since + max(
            CLIENT_GAP_SECONDS,
            CLIENT_GAP_PER_LATENCY * route.latency_objective,
            CLIENT_GAP_PER_GAP * route.gap_objective,
        )

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
        return self.possible_runs > 0

    @property
    def possible_runs(self) -> int:
        """Return the number of targets that may have executed the call."""
        return sum(
            attempt.was_sent and attempt.outcome != _outcomes.Outcome.NOT_RUN
            for attempt in self.attempts
        )

    async def send_response(
        self, response: _outcomes.BufferedResponse
    ) -> None:
        """Send a target's response to the client.

        The target that rejected the call knows nothing of the others that may
        have executed it.
        """
        is_rejection = response.status in _outcomes.NOT_RUN_STATUSES
        if is_rejection and self.possible_runs > 1:
            await self.reply.send_response(
                http.HTTPStatus.BAD_GATEWAY,
                [],
                str(errors.Code.TARGET_FAILED).encode(),
            )
            return
        await self.reply.send_response(
            response.status, response.headers, response.body
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
