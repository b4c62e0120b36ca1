"""What the callers' side needs of the rest of the node."""

from collections import abc
import contextlib
import dataclasses
from typing import Any
from typing import Protocol

from mustardlb import decoded_configuration
from mustardlb import steps


def _ignore_report(*told: str) -> None:
    """Tell nobody; for placements that nothing guards."""


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A target that holds a model; the model stays until the release.

    :ivar target_name: name of the target
    :ivar url: its base URL
    :ivar model: 'adapter@version' that the request is for
    :ivar check_served: given the model that the target reports to have run,
        '' if the target does not hold the model; raises WRONG_ADAPTER
    :ivar mark_still_running: the request may continue at the target after
        the placement is released
    """

    target_name: str
    url: str
    model: str
    check_served: abc.Callable[[str], None] = _ignore_report
    mark_still_running: abc.Callable[[], None] = _ignore_report


class Reservation(Protocol):
    """Tokens set aside for one request."""

    def settle(self, tokens: int) -> None:
        """Charge what was used; the rest is free again."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedOutcome:
    """The answer that an earlier call with the same key was given."""

    status: int
    headers: abc.Sequence[tuple[bytes, bytes]]
    body: bytes


class BookingAttempt(Protocol):
    """The one run of a booking, recorded before it begins."""

    async def record_response(
        self,
        status: int,
        headers: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Record the answer."""

    async def record_not_run(self) -> None:
        """Record that nothing ran, so that a repeated call may run."""


Place = abc.Callable[
    [str, str, float, frozenset[str]],
    contextlib.AbstractAsyncContextManager[Placement],
]
BeginBooking = abc.Callable[
    [str, str, bytes], abc.Awaitable[BookingAttempt | RecordedOutcome]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """The rest of the node, as plain functions.

    :ivar configuration: the configuration in force
    :ivar check_fresh: raises NODE_NOT_CURRENT where it may be outdated
    :ivar check_ready: raises where the balancer should send nobody
    :ivar status: what `GET /v1/status` shows, without `draining`
    :ivar wait_for_revision: return once that revision is in force, or after
        that many seconds
    :ivar reserve: set tokens of an account aside, waiting at most so long
    :ivar place: model, account, longest wait, targets to avoid
    :ivar begin_booking: account, idempotency key, fingerprint of the call
    """

    configuration: abc.Callable[[], decoded_configuration.Configuration]
    check_fresh: abc.Callable[[steps.Step], None]
    check_ready: abc.Callable[[], None]
    status: abc.Callable[[], abc.Mapping[str, Any]]
    wait_for_revision: abc.Callable[[int, float], abc.Awaitable[None]]
    reserve: abc.Callable[[str, int, float], abc.Awaitable[Reservation]]
    place: Place
    begin_booking: BeginBooking
