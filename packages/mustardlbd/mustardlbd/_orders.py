"""Orders to one engine, sent only by the node that owns it.

Each order has a fencing number of its own, that only grows: the epoch of
the owner, then a count taken from the clock, so that a process that starts
anew on the same VM goes on above it. An engine that checks thus refuses a
late copy of an order that a later one overtook.
"""

from collections import abc
import functools
import math

import structlog
import trio

from mustardlb import engine
from mustardlb import errors
from mustardlb import routes
from mustardlb import steps
from mustardlbd import _target_context

log = structlog.get_logger()

# Longest time for the answer of a load or evict order, seconds.
ORDER_TIMEOUT = 8.0

# An order without answer may still reach an engine that checks no number
# for so long, seconds.
LATE_TIME = 60.0

# How often an order is sent that later ones of this node overtook.
OVERTAKEN_LIMIT = 5

# Count of one epoch in a second; it has 32 bits, which last 497 days.
_COUNTS = 100


class NotOwner(Exception):
    """This node may not order the target about, or not any more."""


class Orders:
    """Sends the orders of this node to one target."""

    def __init__(
        self, fleet: _target_context.TargetContext, target: routes.Target
    ) -> None:
        self._fleet = fleet
        self._target = target
        self._engine = fleet.engine_of(target)
        self._key = _target_context.target_key(target.name)
        self._last = 0
        self._in_flight = 0
        self._late_until = -math.inf
        self._yielded = 0

    def number(self, epoch: int) -> int:
        """Take the next number: for an order, a grant or a close."""
        count = int(self._fleet.now() * _COUNTS) & 0xFFFFFFFF
        self._last = max(self._last + 1, (epoch << 32) + count)
        return self._last

    def yield_to(self, epoch: int) -> None:
        """Send no more orders under an older epoch."""
        self._yielded = max(self._yielded, epoch)

    def is_ordering(self) -> bool:
        """Whether an order may still reach the target."""
        if self._in_flight:
            return True
        late = self._fleet.now() < self._late_until
        return late and not self._target.checks_fencing

    def check_authority(self, epoch: int) -> None:
        """Raise NotOwner unless this node may send an order now."""
        if epoch < self._yielded:
            raise NotOwner
        if not _target_context.owns(self._fleet, self._key, epoch):
            raise NotOwner
        try:
            self._fleet.check_fresh(steps.Step.LOAD)
        except errors.Error as error:
            raise NotOwner from error

    async def load(
        self,
        model: str,
        epoch: int,
        check_start: abc.Callable[[], None],
    ) -> None:
        """Order a load. Raises NotOwner, EngineError, errors.Error."""
        check_start()
        await self._send(epoch, functools.partial(self._engine.load, model))

    async def evict(self, model: str, epoch: int) -> None:
        """Order an eviction. Raises NotOwner and EngineError."""
        await self._send(epoch, functools.partial(self._engine.evict, model))

    async def set_role(self, role: str, epoch: int) -> None:
        """Order a role. Raises NotOwner and EngineError."""
        await self._send(epoch, functools.partial(self._engine.set_role, role))

    async def load_report(self) -> engine.LoadReport:
        """Read the engine's report. Raises EngineError."""
        return await self._engine.load_report()

    def _number(self, epoch: int) -> int:
        """Take the fencing number of an order."""
        return self.number(epoch)

    async def _send(
        self, epoch: int, order: abc.Callable[[int], abc.Awaitable[None]]
    ) -> None:
        """Send an order, again where a later one of ours overtook it."""
        for _ in range(OVERTAKEN_LIMIT):
            number = self._number(epoch)
            try:
                await self._send_once(epoch, lambda: order(number))  # noqa: B023
                return
            except engine.StaleFencingToken as error:
                if error.highest >> 32 != epoch:
                    raise
                self._last = max(self._last, error.highest)
        raise engine.EngineRejected('overtaken again and again')

    async def _send_once(
        self, epoch: int, order: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        self.check_authority(epoch)
        self._in_flight += 1
        try:
            # An order that left is followed to its end, also when the
            # node stops owning the target meanwhile.
            with trio.CancelScope(shield=True):
                with trio.fail_after(ORDER_TIMEOUT):
                    await order()
        except engine.EngineRejected:
            raise
        except (engine.EngineError, trio.TooSlowError) as error:
            self._late_until = self._fleet.now() + LATE_TIME
            log.warning(
                'MLB-5010', target=self._target.name, problem=repr(error)
            )
            raise engine.EngineUnavailable('no answer') from error
        finally:
            self._in_flight -= 1
