"""Counts and bounds the data that a node buffers for clients and targets."""

from collections import abc
import math

import structlog
import trio

log = structlog.get_logger()

BYTES_PER_MB = 1_000_000

# Part of the memory that may hold buffered data. In a trial the process grew
# by up to twice the data that was held; the rest is for the node's tables.
MEMORY_RATIO = 0.2

# New requests are rejected above this part of the limit, so that the accepted
# ones have room for their responses.
ADMISSION_RATIO = 0.75

# A client for which more of a stream is buffered is disconnected: a part of
# the limit, within bounds.
CLIENT_RATIO = 1 / 32
MIN_CLIENT_BYTES = 65_536
MAX_CLIENT_BYTES = 1_048_576

# Responses of which more was received are given up, the largest first, before
# new requests are rejected.
LARGE_RESPONSE_BYTES = 1_048_576

# The system's own buffers take the first part of any output at once, which
# says little of the client.
MIN_RATE_SECONDS = 1.0


class Buffers:
    """All buffered data of a node.

    `memory_mb` returns the memory of the process, 0 for no bound.

    :ivar held: buffered bytes
    :ivar evictions: clients disconnected because of what was buffered for them
    :ivar abandoned: responses given up, since they were the largest
    """

    def __init__(self, memory_mb: abc.Callable[[], float]) -> None:
        self._memory_mb = memory_mb
        self._outputs: set[BufferedData] = set()
        self._large_inputs: set[BufferedData] = set()
        self._abandoned_inputs: set[BufferedData] = set()
        self.held = 0
        self.evictions = 0
        self.abandoned = 0

    @property
    def is_bounded(self) -> bool:
        """Return whether there is a bound."""
        return self._memory_mb() > 0

    @property
    def limit(self) -> float:
        """Return the bound in bytes, infinite if there is none."""
        if not self.is_bounded:
            return math.inf
        return self._memory_mb() * BYTES_PER_MB * MEMORY_RATIO

    @property
    def client_limit(self) -> float:
        """Return how much of a stream may be buffered for one client."""
        return min(
            MAX_CLIENT_BYTES, max(MIN_CLIENT_BYTES, self.limit * CLIENT_RATIO)
        )

    @property
    def is_full(self) -> bool:
        """Return whether new requests have to be rejected."""
        return self.held >= self.limit * ADMISSION_RATIO

    @property
    def is_exceeded(self) -> bool:
        """Return whether the data that is received now has no room."""
        return self.held > self.limit

    def open(
        self,
        disconnect: abc.Callable[[], None] | None = None,
        abandon: abc.Callable[[], None] | None = None,
    ) -> 'BufferedData':
        """Return a count of data that is empty.

        With `disconnect`, it is what a client has not read yet; the client is
        disconnected if all data together exceeds the limit. With `abandon`, it
        is what was received of a response, which may be given up.
        """
        return BufferedData(self, disconnect, abandon)

    def change(self, holding: 'BufferedData', byte_count: int) -> None:
        """Record a change of the size of some data."""
        self.held += byte_count
        if not holding.size:
            self._abandoned_inputs.discard(holding)
            self._large_inputs.discard(holding)
        if holding.abandon is not None:
            if holding.size > LARGE_RESPONSE_BYTES:
                self._large_inputs.add(holding)
            else:
                self._large_inputs.discard(holding)
        if holding.disconnect is None:
            return
        if holding.size:
            self._outputs.add(holding)
        else:
            self._outputs.discard(holding)

    def keep(self, holding: 'BufferedData') -> None:
        """Give up a response no more."""
        self._large_inputs.discard(holding)

    def make_room(self) -> None:
        """Give up large responses and slow clients while there is no room.

        A response that does not end would leave no room for new requests, so
        that the largest ones are given up before those are rejected.
        """
        while self._large_inputs and self._is_full_without_abandoned:
            self._abandon(max(self._large_inputs, key=lambda each: each.size))
        now = trio.current_time()
        while self.is_exceeded and self._outputs:
            slowest = min(self._outputs, key=lambda each: each.rate(now))
            self.evict(slowest, 'memory')

    @property
    def _is_full_without_abandoned(self) -> bool:
        """Return whether memory is short even once some has been freed."""
        freed = sum(each.size for each in self._abandoned_inputs)
        return self.held - freed >= self.limit * ADMISSION_RATIO

    def _abandon(self, holding: 'BufferedData') -> None:
        log.info('MLB-6021', buffered=holding.size, held=self.held)
        self.abandoned += 1
        abandon, holding.abandon = holding.abandon, None
        self._large_inputs.discard(holding)
        self._abandoned_inputs.add(holding)
        if abandon is not None:
            abandon()

    def evict(self, holding: 'BufferedData', reason: str) -> None:
        """Disconnect a client."""
        log.info(
            'MLB-6020',
            reason=reason,
            buffered=holding.size,
            rate=round(holding.rate(trio.current_time())),
            held=self.held,
        )
        self.evictions += 1
        disconnect = holding.disconnect
        holding.close()
        if disconnect is not None:
            disconnect()


class BufferedData:
    """Data that is buffered for one purpose.

    :ivar size: bytes
    :ivar disconnect: disconnects the client that has not read the data yet,
        None if it is no output
    :ivar abandon: gives up the response that is received, None if it is none
        or is complete
    """

    def __init__(
        self,
        buffers: Buffers,
        disconnect: abc.Callable[[], None] | None,
        abandon: abc.Callable[[], None] | None,
    ) -> None:
        self._buffers = buffers
        self.disconnect = disconnect
        self.abandon = abandon
        self.size = 0
        self._read = 0
        self._since = 0.0

    def rate(self, now: float) -> float:
        """Return the bytes a second that the client reads of the output."""
        return self._read / max(MIN_RATE_SECONDS, now - self._since)

    @property
    def has_room(self) -> bool:
        """Return whether the data of the node is within its limit."""
        return not self._buffers.is_exceeded

    def add(self, byte_count: int) -> None:
        """Record received data."""
        if not self.size:
            self._read, self._since = 0, trio.current_time()
        self.size += byte_count
        self._buffers.change(self, byte_count)
        if self._buffers.is_full:
            self._buffers.make_room()

    def complete(self) -> None:
        """Record that the response is complete, so that it is kept."""
        self.abandon = None
        self._buffers.keep(self)

    def try_add(self, byte_count: int) -> bool:
        """Record received data, unless there is no room for it."""
        self.add(byte_count)
        if self.has_room:
            return True
        self.remove(byte_count)
        return False

    def remove(self, byte_count: int) -> None:
        """Record data that is no longer held."""
        byte_count = min(byte_count, self.size)
        self._read += byte_count
        self.size -= byte_count
        self._buffers.change(self, -byte_count)

    def set(self, size: int) -> None:
        """Record the size of what is held."""
        if size > self.size:
            self.add(size - self.size)
        else:
            self.remove(self.size - size)

    def close(self) -> None:
        """Record that nothing is held any more."""
        self.remove(self.size)
