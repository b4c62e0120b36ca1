"""Interfaces of the components that the callers' port depends on."""

from collections import abc
import contextlib
import dataclasses
from typing import Any
from typing import Protocol

from mustardlb import decoded_configuration
from mustardlb import steps


def _ignore(*arguments: str) -> None:
    """Do nothing; the default for placements without checks."""


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Target that holds a model, which is not evicted until the release.

    :ivar target_name: name of the target
    :ivar url: its base URL
    :ivar model: 'adapter@version' of the request
    :ivar check_served: given the model that the target reports to have run,
        '' if the target does not hold the model; raises WRONG_ADAPTER
    :ivar mark_still_running: the request may continue at the target after
        the placement is released
    """

    target_name: str
    url: str
    model: str
    check_served: abc.Callable[[str], None] = _ignore
    mark_still_running: abc.Callable[[], None] = _ignore


class Reservation(Protocol):
    """Tokens reserved for one request."""

    def settle(self, tokens: int) -> None:
        """Charge the used tokens and release the others."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedOutcome:
    """Recorded response of an earlier call with the same idempotency key."""

    status: int
    headers: abc.Sequence[tuple[bytes, bytes]]
    body: bytes


class BookingAttempt(Protocol):
    """The only attempt at a booking, recorded before it starts."""

    async def record_response(
        self,
        status: int,
        headers: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Record the response."""

    async def record_not_run(self) -> None:
        """Record that the booking did not run, so that a retry may run."""


Place = abc.Callable[
    [str, str, float, frozenset[str]],
    contextlib.AbstractAsyncContextManager[Placement],
]
BeginBooking = abc.Callable[
    [str, str, bytes], abc.Awaitable[BookingAttempt | RecordedOutcome]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Functions of other components of the node.

    :ivar configuration: returns the decoded active configuration
    :ivar check_fresh: raises NODE_NOT_CURRENT if the configuration may be
        outdated
    :ivar check_ready: raises if load balancers should not send requests
    :ivar status: returns the content of `GET /v1/status` without `draining`
    :ivar wait_for_revision: returns once the revision is active, or after the
        timeout in seconds
    :ivar reserve: reserves tokens of an account within a timeout in seconds
    :ivar place: places a call, given the model, the account, the timeout in
        seconds and the targets to exclude
    :ivar begin_booking: starts a booking, given the account, the idempotency
        key and the fingerprint of the call
    """

    configuration: abc.Callable[[], decoded_configuration.Configuration]
    check_fresh: abc.Callable[[steps.Step], None]
    check_ready: abc.Callable[[], None]
    status: abc.Callable[[], abc.Mapping[str, Any]]
    wait_for_revision: abc.Callable[[int, float], abc.Awaitable[None]]
    reserve: abc.Callable[[str, int, float], abc.Awaitable[Reservation]]
    place: Place
    begin_booking: BeginBooking
