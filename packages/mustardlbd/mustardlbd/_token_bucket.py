"""Token bucket with refunds that never exceed the tokens that were taken.

A refund is also limited by the free space that the bucket had since: tokens
that would have overflowed are not refunded.
"""

import bisect
import dataclasses
import math

# Above this number of open holds, the oldest is charged in full.
MAX_OPEN_HOLDS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Rate and burst that a contract grants over the whole fleet.

    :ivar rate: tokens per second
    :ivar burst: tokens
    """

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Tokens that were taken and may be refunded in part.

    :ivar sequence: number of the hold in its bucket
    """

    tokens: float
    sequence: int


class Headroom:
    """Minimum free space of a bucket since each earlier hold.

    The suffix minima are kept as a monotonic stack: sequence numbers and
    spaces both increase, so the minimum since a hold is the first entry at
    or after it.
    """

    def __init__(self) -> None:
        self._sequences: list[int] = []
        self._spaces: list[float] = []

    def record(self, sequence: int, space: float) -> None:
        """Record the free space after the hold `sequence` was taken."""
        while self._spaces and self._spaces[-1] >= space:
            self._spaces.pop()
            self._sequences.pop()
        self._sequences.append(sequence)
        self._spaces.append(space)

    def min_since(self, sequence: int) -> float:
        """Return the minimum free space since a hold."""
        index = bisect.bisect_left(self._sequences, sequence)
        return self._spaces[index] if index < len(self._spaces) else 0.0

    def reduce(self, sequence: int, tokens: float) -> None:
        """Subtract a refund from the spaces recorded since a hold."""
        index = bisect.bisect_left(self._sequences, sequence)
        spaces = self._spaces[index:]
        sequences = self._sequences[index:]
        del self._spaces[index:], self._sequences[index:]
        for recorded, space in zip(sequences, spaces, strict=True):
            self.record(recorded, space - tokens)

    def discard_before(self, sequence: int) -> None:
        """Remove entries that no open hold needs."""
        index = bisect.bisect_left(self._sequences, sequence)
        del self._spaces[:index], self._sequences[:index]


class TokenBucket:
    """Tokens that refill at a rate up to a capacity, initially empty."""

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.rate = 0.0
        self.capacity = 0.0
        self._refilled_at = now
        self._sequence = 0
        self._headroom = Headroom()
        self._tokens_by_open_hold: dict[int, float] = {}

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._set_level(min(self.capacity, self.level + self.rate * elapsed))

    def resize(self, now: float, rate: float, capacity: float) -> float:
        """Change rate and capacity; return the tokens above the capacity."""
        self.refill(now)
        excess = max(0.0, self.level - capacity)
        self.rate = rate
        self.capacity = capacity
        self._set_level(self.level - excess)
        return excess

    def add(self, tokens: float) -> None:
        """Add tokens, up to the capacity."""
        self._set_level(min(self.capacity, self.level + tokens))

    def remove(self, tokens: float) -> float:
        """Remove up to `tokens` tokens and return how many."""
        removed = min(self.level, max(0.0, tokens))
        self.level -= removed
        return removed

    def try_acquire(self, now: float, tokens: float) -> Hold | None:
        """Return a hold on tokens, or None if there are too few."""
        self.refill(now)
        if tokens > self.level:
            return None
        self._sequence += 1
        self._tokens_by_open_hold[self._sequence] = tokens
        if len(self._tokens_by_open_hold) > MAX_OPEN_HOLDS:
            self._tokens_by_open_hold.pop(
                next(iter(self._tokens_by_open_hold))
            )
        self.level -= tokens
        return Hold(tokens, self._sequence)

    def settle(self, now: float, hold: Hold, used: float) -> float:
        """Refund the unused tokens of a hold; return how many.

        The refund is the difference to the level that the bucket would have
        if only the used tokens had been taken. It is smaller than the unused
        tokens if the bucket would have been full in the meantime.
        """
        self.refill(now)
        if self._tokens_by_open_hold.pop(hold.sequence, None) is None:
            return 0.0
        unused = max(0.0, hold.tokens - max(0.0, used))
        headroom = self._headroom.min_since(hold.sequence)
        credit = min(unused, max(0.0, headroom))
        self._headroom.reduce(hold.sequence, credit)
        self._set_level(self.level + credit)
        self._discard_unneeded_headroom()
        return credit

    def time_until_available(self, tokens: float) -> float:
        """Return the seconds until `tokens` tokens are there, or inf."""
        if tokens <= self.level:
            return 0.0
        if tokens > self.capacity or self.rate <= 0.0:
            return math.inf
        return (tokens - self.level) / self.rate

    def _set_level(self, level: float) -> None:
        self.level = level
        if self._tokens_by_open_hold:
            self._headroom.record(self._sequence, self.capacity - level)

    def _discard_unneeded_headroom(self) -> None:
        oldest = next(iter(self._tokens_by_open_hold), self._sequence + 1)
        self._headroom.discard_before(oldest)
