"""A wake-up call to every task that waits for something to change."""

import trio


class Notifier:
    """Wakes the tasks that wait at the moment of a call."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake every task that waits."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next call of notify."""
        await self._event.wait()
