"""Commands to one engine, sent only by the node that owns it.

Each command carries its own increasing fencing token: the owner's epoch,
then a count derived from the clock, so that a process restarted on the same
VM continues above its earlier tokens. An engine that checks the tokens
rejects a delayed command that arrives after a later one.
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

COMMAND_TIMEOUT_SECONDS = 8.0

# A command without a response may reach the engine this much later. An
# engine that checks no fencing tokens would still execute it.
LATE_COMMAND_SECONDS = 60.0

# Attempts to send a command whose token is below a later one of this node.
MAX_SEND_ATTEMPTS = 5

# The count within an epoch has 32 bits, which last 497 days at this rate.
_COUNTS_PER_SECOND = 100


class NotOwner(Exception):
    """This node may not send commands to the target."""


class EngineCommands:
    """Sends this node's commands to one target."""

    def __init__(
        self, context: _target_context.TargetContext, target: routes.Target
    ) -> None:
        self._context = context
        self._target = target
        self._engine = context.engine_of(target)
        self._key = _target_context.target_key(target.name)
        self._last_number = 0
        self._in_flight = 0
        self._late_until = -math.inf
        self._min_epoch = 0

    def next_number(self, epoch: int) -> int:
        """Return a new number for a command, a grant or a close."""
        count = int(self._context.now() * _COUNTS_PER_SECOND) & 0xFFFFFFFF
        self._last_number = max(self._last_number + 1, (epoch << 32) + count)
        return self._last_number

    def reject_older_epochs(self, epoch: int) -> None:
        """Send no more commands under an epoch older than this one."""
        self._min_epoch = max(self._min_epoch, epoch)

    def has_pending(self) -> bool:
        """Return whether a sent command may still reach the target."""
        if self._in_flight:
            return True
        late = self._context.now() < self._late_until
        return late and not self._target.checks_fencing

    def check_authority(self, epoch: int) -> None:
        """Raise NotOwner unless this node may send a command now."""
        if epoch < self._min_epoch:
            raise NotOwner
        if not _target_context.owns(self._context, self._key, epoch):
            raise NotOwner
        try:
            self._context.check_fresh(steps.Step.LOAD)
        except errors.Error as error:
            raise NotOwner from error

    async def load(
        self,
        model: str,
        epoch: int,
        check_start: abc.Callable[[], None],
    ) -> None:
        """Load an adapter. Raises NotOwner, EngineError and errors.Error.

        `check_start` raises errors.Error if the permit is no longer valid.
        """
        check_start()
        await self._send(epoch, functools.partial(self._engine.load, model))

    async def evict(self, model: str, epoch: int) -> None:
        """Evict an adapter. Raises NotOwner and EngineError."""
        await self._send(epoch, functools.partial(self._engine.evict, model))

    async def set_role(self, role: str, epoch: int) -> None:
        """Set the engine's role. Raises NotOwner and EngineError."""
        await self._send(epoch, functools.partial(self._engine.set_role, role))

    async def load_report(self) -> engine.LoadReport:
        """Return the engine's load report. Raises EngineError."""
        return await self._engine.load_report()

    def _next_fence(self, epoch: int) -> int:
        """Return a new fencing token for a command."""
        return self.next_number(epoch)

    async def _send(
        self, epoch: int, command: abc.Callable[[int], abc.Awaitable[None]]
    ) -> None:
        """Send a command; retry if a later one of this node arrived first."""
        for _ in range(MAX_SEND_ATTEMPTS):
            number = self._next_fence(epoch)
            try:
                await self._send_once(epoch, lambda: command(number))  # noqa: B023
                return
            except engine.StaleFencingToken as error:
                if error.highest >> 32 != epoch:
                    raise
                self._last_number = max(self._last_number, error.highest)
        raise engine.EngineRejected(
            'later commands of this node arrived first on each attempt'
        )

    async def _send_once(
        self, epoch: int, command: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        self.check_authority(epoch)
        self._in_flight += 1
        try:
            # A command that was sent runs to its end even if the node
            # loses the target meanwhile, so that its outcome is recorded.
            with trio.CancelScope(shield=True):
                with trio.fail_after(COMMAND_TIMEOUT_SECONDS):
                    await command()
        except engine.EngineRejected:
            raise
        except (engine.EngineError, trio.TooSlowError) as error:
            self._late_until = self._context.now() + LATE_COMMAND_SECONDS
            log.warning(
                'MLB-5010', target=self._target.name, problem=repr(error)
            )
            raise engine.EngineUnavailable('no response') from error
        finally:
            self._in_flight -= 1
