"""Limits how long received data keeps the event loop from other tasks.

One read may hold thousands of small messages or chunks, and a faulty peer may
send such reads without end. Each connection processes a limited number of
parts between two checkpoints. Those that go on for longer share turns, of
which a node gives one after the other with a pause between them, so that any
number of them leaves most of the processor to other connections.
"""

import structlog
import trio

log = structlog.get_logger()

# Parts that a connection processes between two checkpoints, each of some 10
# microseconds.
PARTS_PER_TURN = 64

# Average rate up to which a connection needs no shared turn: four times that
# of a stream of 100 events a second, each received by itself.
UNSHARED_PARTS_PER_SECOND = 800.0

# Pause before each shared turn, several times what the turn takes.
SHARED_TURN_PAUSE_SECONDS = 0.004

# A wake-up of the event loop that is this late is logged.
MIN_LAG_SECONDS = 0.1


class ReadTurns:
    """The turns of a node's connections.

    :ivar shared_turns: shared turns since the start
    """

    def __init__(self) -> None:
        self.shared_turns = 0
        self._lock = trio.Lock()
        self._parts_by_peer: dict[str, int] = {}

    def record(self, peer: str, parts: int) -> None:
        """Count parts that were processed for a peer."""
        known = self._parts_by_peer
        known[peer] = known.get(peer, 0) + parts

    async def wait(self) -> None:
        """Wait for a shared turn; connections get them in order."""
        async with self._lock:
            self.shared_turns += 1
            await trio.sleep(SHARED_TURN_PAUSE_SECONDS)

    def record_lag(self, seconds: float) -> None:
        """Log a late wake-up with the peer that sent most parts before it."""
        parts_by_peer, self._parts_by_peer = self._parts_by_peer, {}
        if seconds < MIN_LAG_SECONDS:
            return
        peer = max(
            parts_by_peer, key=lambda each: parts_by_peer[each], default=''
        )
        log.info(
            'MLB-6016',
            seconds=round(seconds, 3),
            peer=peer,
            parts=parts_by_peer.get(peer, 0),
            connections=self._lock.statistics().tasks_waiting,
        )


class Pacer:
    """Counts the parts that one connection may still process in its turn.

    >>> pacer = Pacer(ReadTurns())
    >>> for _ in range(PARTS_PER_TURN):
    ...     pacer.spend()
    >>> pacer.is_exhausted
    True
    """

    def __init__(self, turns: ReadTurns, peer: str = '') -> None:
        self._turns = turns
        self._peer = peer
        self._left = PARTS_PER_TURN
        self._renewed_at = float('-inf')

    @property
    def is_exhausted(self) -> bool:
        """Return whether `renew` has to be called before the next part."""
        return self._left <= 0

    def spend(self) -> None:
        """Count one part."""
        self._left -= 1

    async def renew(self) -> None:
        """Let other tasks run until this connection may go on."""
        self._turns.record(self._peer, PARTS_PER_TURN - self._left)
        elapsed = trio.current_time() - self._renewed_at
        if elapsed * UNSHARED_PARTS_PER_SECOND >= PARTS_PER_TURN:
            await trio.lowlevel.checkpoint()
        else:
            await self._turns.wait()
        self._renewed_at = trio.current_time()
        self._left = PARTS_PER_TURN
