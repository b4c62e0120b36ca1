"""Notices that this process was stopped, or its machine suspended.

What the node knew and was permitted before may have expired meanwhile, while
its timers are yet to fire. A suspension does not count on trio's clock, so
that they even fire late.
"""

from collections import abc

import structlog
import trio

log = structlog.get_logger()

TICK_SECONDS = 0.25

# Longer than delays of a busy node, and short against the times for which
# nodes rely on what they know of targets and of each other.
MIN_PAUSE_SECONDS = 1.0

# Time after a pause in which the digests of the other nodes arrive. Until then
# this node does not know which nodes have taken over from it.
SETTLE_SECONDS = 1.0

# A node whose event loop is blocked again and again would never be settled. It
# is after so many pauses without time to settle between them.
MAX_PAUSES_IN_A_ROW = 3

# What is confirmed neither by the store nor within this time by other nodes
# is as well known as before.
UNCONFIRMED_SECONDS = 3.0


class Pauses:
    """The last pause of this process, and whether it has caught up.

    `clock` counts suspensions. `refresh` asks the store for what has changed
    and returns whether it answered. The callbacks are called with each pause.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float],
        refresh: abc.Callable[[], abc.Awaitable[bool]],
    ) -> None:
        self._clock = clock
        self._refresh = refresh
        self._ticked_at: float | None = None
        self._resumed_at = float('-inf')
        self._in_a_row = 0
        self._is_stale = False
        self._is_confirmed = True
        self._refreshed: trio.Event | None = None
        self._callbacks: list[abc.Callable[[], None]] = []

    def on_pause(self, callback: abc.Callable[[], None]) -> None:
        """Register a callback for the end of each pause."""
        self._callbacks.append(callback)

    def _check(self) -> None:
        if self._ticked_at is None:
            return
        now = self._clock()
        seconds, self._ticked_at = now - self._ticked_at, now
        if seconds < MIN_PAUSE_SECONDS:
            return
        if now - seconds > self._resumed_at + SETTLE_SECONDS:
            self._in_a_row = 0
        self._in_a_row += 1
        self._resumed_at = now
        self._is_stale, self._is_confirmed = True, False
        log.warning('MLB-6250', seconds=round(seconds, 3))
        for callback in self._callbacks:
            callback()

    def is_current(self) -> bool:
        """Return whether the store was asked since the last pause."""
        self._check()
        return not self._is_stale

    def is_settled(self) -> bool:
        """Return whether the others have been heard since the last pause."""
        self._check()
        return (
            self._in_a_row > MAX_PAUSES_IN_A_ROW
            or self._clock() >= self._resumed_at + SETTLE_SECONDS
        )

    def is_confirmed(self) -> bool:
        """Return whether what was known before the last pause holds again."""
        self._check()
        return self._is_confirmed or (
            self._clock() >= self._resumed_at + UNCONFIRMED_SECONDS
        )

    async def ensure_current(self) -> None:
        """Ask the store for what has changed, once after each pause.

        Without an answer, what was known before holds, as in an outage.
        """
        while not self.is_current():
            if self._refreshed is not None:
                await self._refreshed.wait()
                continue
            self._refreshed = trio.Event()
            resumed_at = self._resumed_at
            try:
                is_confirmed = await self._refresh()
                if self._resumed_at == resumed_at:
                    self._is_stale = False
                    self._is_confirmed = is_confirmed
                    log.info('MLB-6251', is_confirmed=is_confirmed)
            finally:
                self._refreshed.set()
                self._refreshed = None

    async def run(self) -> None:
        """Look for pauses until cancelled."""
        self._ticked_at = self._clock()
        while True:
            await trio.sleep(TICK_SECONDS)
            await self.ensure_current()
