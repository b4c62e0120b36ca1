"""Notification of every task that waits for a change."""

import trio


class Notifier:
    """Wakes the tasks that are waiting when it is notified."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake every waiting task."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next call of notify."""
        await self._event.wait()
