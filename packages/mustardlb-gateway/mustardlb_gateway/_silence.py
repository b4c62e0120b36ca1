"""Detection of connections that pass nothing more.

A connection may fall silent for good while new ones work, without a reset
that the system would report. Where a message is due but none arrives, the
other node is asked for a response, and the connection is given up if that
does not arrive either.
"""

import enum

import trio

# Checks without a byte received from the one that asks for a response to the
# one that gives the connection up. Checks are counted instead of time, since
# what arrived during a pause of this process is read after it.
UNANSWERED_CHECKS = 2


class Action(enum.Enum):
    """What a check of a connection calls for."""

    NONE = enum.auto()
    ASK = enum.auto()
    WAIT = enum.auto()
    CLOSE = enum.auto()


class Silence:
    """The checks of one connection."""

    def __init__(self) -> None:
        self._byte_count = 0
        self._quiet_checks = 0
        self._unanswered_checks = 0
        self._is_suspected = False

    def suspect(self) -> None:
        """Record that a response did not arrive in time."""
        self._is_suspected = True

    def check(self, byte_count: int, checks_until_due: int | None) -> Action:
        """Return what to do, by the number of bytes received so far.

        A message is due at every `checks_until_due` checks, at no time if
        that is None.
        """
        if byte_count != self._byte_count:
            self._byte_count = byte_count
            self._quiet_checks = self._unanswered_checks = 0
            self._is_suspected = False
            return Action.NONE
        if self._unanswered_checks:
            self._unanswered_checks += 1
            if self._unanswered_checks > UNANSWERED_CHECKS:
                return Action.CLOSE
            return Action.WAIT
        if self._is_suspected:
            checks_until_due = 1
        if checks_until_due is None:
            self._quiet_checks = 0
            return Action.NONE
        self._quiet_checks += 1
        if self._quiet_checks < checks_until_due:
            return Action.NONE
        self._unanswered_checks = 1
        return Action.ASK


class CountingStream(trio.abc.ReceiveStream):
    """Counts the bytes received.

    :ivar byte_count: number of bytes so far
    """

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        self._stream = stream
        self.byte_count = 0

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes, b'' at the end of the stream."""
        data = bytes(await self._stream.receive_some(max_bytes))
        self.byte_count += len(data)
        return data

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()
